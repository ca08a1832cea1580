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
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    open_flows::{
        FlowSite,
        SERVER_SEQUENCE, //
    },
    role_process::{
        free_port,
        start_balancer_with,
        start_store,
        POLL_INTERVAL,
        STATE_TIMEOUT, //
    },
};

const SAVE_FLOWS: &str = "[flows]\nreset_lost = true\nsave_flows_s = 1\n";

/// Prefix of the keys of saved flows.
const SAVED: &str = "saved/";

/// Time in which several saves are due.
const SAVE_TIME: Duration = Duration::from_millis(3_500);

/// Sequence number that the caller expects after it has opened its flow.
const EXPECTED: u32 = SERVER_SEQUENCE + 1;

/// Starts a site whose server, in its run 1, holds an open flow.
async fn start(settings: &str) -> FlowSite {
    let site = FlowSite::start_with(settings).await;
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    site.open_flow().await;
    site
}

/// Sends heartbeats of run 1 for a while, and until a list is in the store; returns their last sequence number.
async fn wait_for_list(site: &FlowSite) -> u64 {
    let mut sequence = 1;
    let wait = async {
        while site.store.keys(SAVED).is_empty() {
            sleep(POLL_INTERVAL).await;
            sequence += 1;
            site.agent.send_heartbeat(1, sequence, "ready").await;
        }
    };
    timeout(STATE_TIMEOUT, wait).await.expect("flow not saved");
    assert_eq!(
        site.store.keys(SAVED),
        [format!("{SAVED}{}", site.agent.packets)]
    );
    sequence
}

/// Returns a site whose agent has saved a flow and was killed and started again, with this mode of the store.
async fn restart(mode: StoreMode) -> FlowSite {
    let mut site = start(SAVE_FLOWS).await;
    wait_for_list(&site).await;
    site.store.set_mode(mode);
    site.restart_agent();
    site.agent.wait_for_status(200).await;
    site
}

/// Guards against callers that wait after a loss of power, and against resets of the flows of a server that lives: its
/// agent was restarted alone, or the clock was set back.
#[rstest]
#[case::loss_of_power(2, true)]
#[case::agent_restarted_alone(1, false)]
#[case::clock_was_set_back(0, false)]
#[tokio::test]
async fn flows_of_a_former_run_are_reset(#[case] run: u64, #[case] is_lost: bool) {
    let site = restart(StoreMode::Open).await;
    assert!(!site.is_reset().await, "no heartbeat shows the run");
    site.agent.send_heartbeat(run, 1_000, "ready").await;
    assert_eq!(site.reset_sequence().await, is_lost.then_some(EXPECTED));
    site.forward(flags::ACK, EXPECTED + 9, b"request").await;
    let answer = site.reset_sequence().await;
    assert_eq!(answer, is_lost.then_some(EXPECTED + 9));
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
    // The backoff may take 0.4 s.
    let outcome = [site.reset_sequence().await, site.reset_sequence().await];
    assert!(outcome.contains(&Some(EXPECTED)), "{outcome:?}");
}

/// Guards against the loss of the list to a run that holds no flow: power may be lost twice in a row.
#[tokio::test]
async fn lists_survive_two_losses_of_power() {
    let mut site = restart(StoreMode::Open).await;
    site.agent.send_heartbeat(2, 1, "ready").await;
    assert!(site.is_reset().await);
    sleep(SAVE_TIME).await;
    site.restart_agent();
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(3, 1, "ready").await;
    assert_eq!(site.reset_sequence().await, Some(EXPECTED));
}

/// Guards against an agent that ends, or resets flows, because of a list that isn't one.
#[rstest]
#[case::text("not a list")]
#[case::old("\u{a}\u{3}i-1\u{10}\u{1}\u{18}\u{1}")]
#[tokio::test]
async fn odd_lists_are_ignored(#[case] value: &str) {
    let mut site = start(SAVE_FLOWS).await;
    wait_for_list(&site).await;
    site.store
        .put(&format!("{SAVED}{}", site.agent.packets), value);
    site.restart_agent();
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(2, 1, "ready").await;
    assert!(!site.is_reset().await);
    assert!(site.agent.child.try_wait().unwrap().is_none());
}

/// Guards against an agent that stops saving after a failure, or repeats failed writes faster than its interval.
#[tokio::test]
async fn failed_saves_are_repeated_at_the_next_interval() {
    let site = start(SAVE_FLOWS).await;
    site.store.set_mode(StoreMode::Unavailable);
    let before = site.store.calls("kv-txn");
    for sequence in 2..9 {
        site.agent.send_heartbeat(1, sequence, "ready").await;
        sleep(SAVE_TIME / 7).await;
    }
    let writes = site.store.calls("kv-txn") - before;
    assert!((1..=4).contains(&writes), "{writes}");
    assert!(site.store.keys(SAVED).is_empty());
    site.store.set_mode(StoreMode::Open);
    wait_for_list(&site).await;
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
    site.agent.send_heartbeat(1, 2, "ready").await;
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
    let mut site = start(SAVE_FLOWS).await;
    let listener = lives.then(|| TcpListener::bind(site.agent.backend).unwrap());
    let sequence = wait_for_list(&site).await;
    site.agent.send_heartbeat(1, sequence + 1, "draining").await;
    sleep(POLL_INTERVAL).await;
    site.agent.signal(libc::SIGTERM);
    site.agent.wait_for_exit().await;
    assert_eq!(site.store.keys(SAVED).len(), usize::from(lives));
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
    let balancer = start_balancer_with(&store, Ipv4Addr::LOCALHOST, free_port(), "", &further);
    balancer.wait_for_status(200).await;
    let wait = async {
        while !store.keys("agents/").is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(Duration::from_secs(20), wait)
        .await
        .expect("registration not deleted");
    assert_eq!(store.keys(SAVED), ["saved/127.9.0.2:12"]);
}
