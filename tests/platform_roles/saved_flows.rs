//! Flows that agents save in the store, and their resets after a loss of power.

use std::{
    net::{
        Ipv4Addr,
        TcpListener, //
    },
    time::Duration,
};

use carobdrum_platform_standins::{
    flags,
    StoreMode, //
};
use rstest::rstest;
use tokio::time::sleep;

use crate::{
    open_flows::{
        FlowSite,
        SERVER_SEQUENCE, //
    },
    role_process::{
        free_port,
        start_balancer_with,
        start_store,
        POLL_INTERVAL, //
    },
};

const SAVE_FLOWS: &str = "[flows]\nreset_lost = true\nsave_flows_s = 1\n";

/// Time in which several saves are due.
const SAVE_TIME: Duration = Duration::from_millis(3_500);

/// Sequence number that the caller expects after it has opened its flow.
const EXPECTED: u32 = SERVER_SEQUENCE + 1;

/// Returns a site whose server, in its run 1, holds an open flow, after it has sent heartbeats for several saves.
async fn start(mode: StoreMode) -> FlowSite {
    let site = FlowSite::start_with(SAVE_FLOWS).await;
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    site.open_flow().await;
    site.store.set_mode(mode);
    send_heartbeats(&site, 2).await;
    site
}

/// Sends heartbeats of run 1 from this sequence number for several saves.
async fn send_heartbeats(site: &FlowSite, first: u64) {
    for sequence in first..first + 7 {
        sleep(SAVE_TIME / 7).await;
        site.agent.send_heartbeat(1, sequence, "ready").await;
    }
}

/// Returns a site whose agent has saved a flow, was killed, and starts again with this mode of the store.
async fn restart(mode: StoreMode) -> FlowSite {
    let mut site = start(StoreMode::Open).await;
    let key = format!("saved/{}", site.agent.packets);
    assert_eq!(site.store.keys("saved/"), [key]);
    site.store.set_mode(mode);
    site.restart_agent().await;
    site
}

/// Guards against callers that wait after a loss of power, or after two in a row, and against resets of the flows of a
/// server that lives: its agent was restarted alone, or the clock was set back.
#[rstest]
#[case::loss_of_power(2, true)]
#[case::agent_restarted_alone(1, false)]
#[case::clock_was_set_back(0, false)]
#[tokio::test]
async fn flows_of_a_former_run_are_reset(#[case] run: u64, #[case] is_lost: bool) {
    let mut site = restart(StoreMode::Open).await;
    assert!(!site.is_reset().await, "no heartbeat shows the run");
    site.agent.send_heartbeat(run, 1_000, "ready").await;
    assert_eq!(site.reset_sequence().await, is_lost.then_some(EXPECTED));
    site.forward(flags::ACK, EXPECTED + 9, b"request").await;
    let answer = site.reset_sequence().await;
    assert_eq!(answer, is_lost.then_some(EXPECTED + 9));
    if is_lost {
        sleep(SAVE_TIME).await;
        site.restart_agent().await;
        site.agent.send_heartbeat(3, 1, "ready").await;
        assert_eq!(site.reset_sequence().await, Some(EXPECTED));
    }
}

/// Guards against an agent that gives up its list because the store is away when it starts, and that overwrites it.
#[rstest]
#[case::unavailable(StoreMode::Unavailable)]
#[case::unresponsive(StoreMode::Unresponsive)]
#[tokio::test]
async fn lists_are_read_once_the_store_answers(#[case] mode: StoreMode) {
    let site = restart(mode).await;
    site.agent.send_heartbeat(2, 1, "ready").await;
    assert!(!site.is_reset().await);
    sleep(SAVE_TIME).await;
    site.store.set_mode(StoreMode::Open);
    // The backoff and a repeated request may take 0.4 s each.
    let outcome = [site.reset_sequence().await, site.reset_sequence().await];
    assert!(outcome.contains(&Some(EXPECTED)), "{outcome:?}");
}

/// Guards against an agent that ends, or resets flows, because of a list that is malformed or too old.
#[rstest]
#[case::malformed("not a list")]
#[case::old("\u{a}\u{3}i-1\u{10}\u{1}\u{18}\u{1}")]
#[tokio::test]
async fn odd_lists_are_ignored(#[case] value: &str) {
    let mut site = FlowSite::start_with(SAVE_FLOWS).await;
    let key = format!("saved/{}", site.agent.packets);
    site.store.put(&key, value);
    site.restart_agent().await;
    site.agent.send_heartbeat(2, 1, "ready").await;
    assert!(!site.is_reset().await);
    assert!(site.agent.child.try_wait().unwrap().is_none());
}

/// Guards against an agent that stops saving after a failure, or repeats failed writes faster than its interval.
#[tokio::test]
async fn failed_saves_are_repeated_at_the_next_interval() {
    let site = start(StoreMode::Unavailable).await;
    // One write is that of the entry.
    let writes = site.store.calls("kv-txn") - 1;
    assert!((1..=4).contains(&writes), "{writes}");
    site.store.set_mode(StoreMode::Open);
    sleep(SAVE_TIME).await;
    assert_eq!(site.store.keys("saved/").len(), 1);
}

/// Guards against a list that is missing after the store's return from a copy without it, as its flows haven't changed.
#[tokio::test]
async fn lists_are_saved_again_after_a_return_of_the_store() {
    let site = FlowSite::start_with(SAVE_FLOWS).await;
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    let copy = site.store.copy();
    site.open_flow().await;
    send_heartbeats(&site, 2).await;
    assert_eq!(site.store.keys("saved/").len(), 1);
    site.store.restore(&copy, POLL_INTERVAL);
    assert_eq!(site.store.keys("saved/").len(), 0);
    send_heartbeats(&site, 9).await;
    assert_eq!(site.store.keys("saved/").len(), 1);
}

/// Guards against calls to the store that tell nothing: without the setting, or without long flows.
#[rstest]
#[case::off("[flows]\nreset_lost = true\n", 1)]
#[case::on(SAVE_FLOWS, 2)]
#[tokio::test]
async fn nothing_is_saved_without_long_flows(#[case] settings: &str, #[case] reads: usize) {
    let site = FlowSite::start_with(settings).await;
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    sleep(SAVE_TIME).await;
    // One read is that of the configuration; the write is that of the entry.
    let calls = (site.store.calls("kv-range"), site.store.calls("kv-txn"));
    assert_eq!(calls, (reads, 1));
}

/// Guards against lists that stay in the store when their agent is gone, and against the loss of the list of a server
/// that lives.
#[rstest]
#[case::server_has_ended(false)]
#[case::server_lives(true)]
#[tokio::test]
async fn shutdown_deletes_the_list_of_a_server_that_has_ended(#[case] lives: bool) {
    let mut site = start(StoreMode::Open).await;
    let listener = lives.then(|| TcpListener::bind(site.agent.backend).unwrap());
    site.agent.send_heartbeat(1, 9, "draining").await;
    sleep(POLL_INTERVAL).await;
    site.agent.signal(libc::SIGTERM);
    site.agent.wait_for_exit().await;
    assert_eq!(site.store.keys("saved/").len(), usize::from(lives));
    drop(listener);
}

/// Guards against lists that stay in the store for ever after their agents were killed.
#[tokio::test]
async fn balancers_delete_the_list_with_the_registration() {
    let store = start_store().await;
    let value = r#"{"centre":"north","service":"s"}"#;
    store.put("agents/127.9.0.2:1/registered", value);
    store.put("saved/127.9.0.2:1", "list");
    store.put("saved/127.9.0.2:12", "list");
    let further = format!("{SAVE_FLOWS}registration_retention_s = 1\n");
    let _balancer = start_balancer_with(&store, Ipv4Addr::LOCALHOST, free_port(), "", &further);
    while !store.keys("agents/").is_empty() {
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(store.keys("saved/"), ["saved/127.9.0.2:12"]);
}
