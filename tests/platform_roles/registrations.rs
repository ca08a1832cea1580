//! Registrations of agents in the store.

use std::{
    net::{
        Ipv4Addr,
        TcpListener, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_platform_standins::{
    LeaseServer,
    StoreMode, //
};
use rstest::rstest;
use tokio::time::{
    sleep,
    timeout, //
};

use crate::role_process::{
    free_port,
    start_agent_with,
    start_balancer_with,
    start_store,
    RoleProcess,
    POLL_INTERVAL,
    STATE_TIMEOUT, //
};

pub(crate) const RESET_LOST: &str = "[flows]\nreset_lost = true\n";

/// Value of an agent's keys.
pub(crate) const VALUE: &str = r#"{"centre":"north","service":"s","leaving":false}"#;

/// Time within which a registration is deleted that was left for the lifetime of a flow, one second: up to
/// twice that time, two intervals between checks, and the wait for an agent that lives.
const CLEANUP_TIME: Duration = Duration::from_secs(12);

/// Waits until the store has this many keys of agents.
pub(crate) async fn wait_for_keys(store: &LeaseServer, count: usize, limit: Duration) {
    let wait = async {
        while store.keys("agents/").len() != count {
            sleep(POLL_INTERVAL).await;
        }
    };
    let outcome = timeout(limit, wait).await;
    assert!(outcome.is_ok(), "{:?}", store.keys("agents/"));
}

/// Starts an agent whose server has sent a heartbeat.
async fn start_registered(store: &LeaseServer) -> RoleProcess {
    let agent = start_agent_with(store, free_port(), free_port(), RESET_LOST);
    agent.wait_for_status(200).await;
    agent.send_heartbeat(1, 1, "ready").await;
    agent
}

/// Guards against more calls to the store than without registrations, and against a registration that ends
/// with the lease: a balancer that starts then wouldn't know the agent.
#[tokio::test]
async fn registration_is_written_with_the_entry_and_outlives_its_lease() {
    let store = start_store().await;
    let agent = start_registered(&store).await;
    wait_for_keys(&store, 2, STATE_TIMEOUT).await;
    let entry = format!("agents/{}", agent.packets);
    let registration = format!("{entry}/registered");
    assert_eq!(store.keys("agents/"), [entry, registration.clone()]);
    let values = store.values("agents/");
    assert_eq!(values[0], values[1]);
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!((store.calls("kv-txn"), store.calls("kv-lease")), (1, 1));
    store.end_leases();
    assert_eq!(store.keys("agents/"), [registration]);
    wait_for_keys(&store, 2, STATE_TIMEOUT).await;
    assert_eq!((store.calls("kv-txn"), store.calls("kv-lease")), (2, 2));
}

/// Guards against an agent that gives up a write whose response was lost.
#[tokio::test]
async fn lost_responses_are_followed_by_another_write() {
    let store = start_store().await;
    store.set_mode(StoreMode::DropsWriteResponses);
    let _agent = start_registered(&store).await;
    sleep(Duration::from_millis(500)).await;
    store.set_mode(StoreMode::Open);
    wait_for_keys(&store, 2, STATE_TIMEOUT).await;
}

/// Guards against flows that are taken for lost while their server lives, since its agent was stopped, and
/// against registrations of servers that have ended, which delay the resets of lost flows.
#[rstest]
#[case::server_has_ended("draining", false, 0)]
#[case::server_lives("draining", true, 2)]
#[case::server_is_not_leaving("ready", false, 2)]
#[tokio::test]
async fn shutdown_deletes_the_registration_of_a_server_that_has_ended(
    #[case] state: &str,
    #[case] lives: bool,
    #[case] left: usize,
) {
    let store = start_store().await;
    let mut agent = start_registered(&store).await;
    let listener = lives.then(|| TcpListener::bind(agent.backend).unwrap());
    agent.send_heartbeat(1, 2, state).await;
    wait_for_keys(&store, 2, STATE_TIMEOUT).await;
    let is_written = || {
        let shown = format!(r#""leaving":{}"#, state == "draining");
        let values = store.values("agents/");
        let mut texts = values.iter().map(|value| String::from_utf8_lossy(value));
        texts.all(|text| text.contains(&shown))
    };
    while !is_written() {
        sleep(POLL_INTERVAL).await;
    }
    agent.signal(libc::SIGTERM);
    agent.wait_for_exit().await;
    assert_eq!(store.keys("agents/").len(), left);
    assert_eq!(
        store.calls("kv-lease-end"),
        0,
        "the entry shows that the agent may come back"
    );
    drop(listener);
}

/// Guards against the deletion of the registration of another process that serves the address.
#[tokio::test]
async fn shutdown_keeps_a_registration_that_has_changed() {
    let store = start_store().await;
    let mut agent = start_registered(&store).await;
    agent.send_heartbeat(1, 2, "draining").await;
    wait_for_keys(&store, 2, STATE_TIMEOUT).await;
    sleep(Duration::from_millis(300)).await;
    store.put(&format!("agents/{}/registered", agent.packets), VALUE);
    agent.signal(libc::SIGTERM);
    agent.wait_for_exit().await;
    assert_eq!(store.keys("agents/").len(), 2);
}

/// Starts an agent whose server has sent a heartbeat, and then, in this mode of the store, one that says that
/// it drains.
pub(crate) async fn start_draining(store: &LeaseServer, mode: StoreMode) -> RoleProcess {
    let agent = start_registered(store).await;
    wait_for_keys(store, 2, STATE_TIMEOUT).await;
    store.set_mode(mode);
    agent.send_heartbeat(1, 2, "draining").await;
    sleep(Duration::from_millis(300)).await;
    agent
}

/// Guards against registrations that stay although the store is back before the agent is killed, also if it
/// has not answered the write that showed the server to be leaving.
#[rstest]
#[case::refuses(StoreMode::Unavailable, StoreMode::Unavailable)]
#[case::is_silent(StoreMode::Unresponsive, StoreMode::Unresponsive)]
#[case::is_silent_during_the_shutdown(StoreMode::Open, StoreMode::Unresponsive)]
#[case::writes_unanswered(StoreMode::DropsWriteResponses, StoreMode::Unavailable)]
#[case::nothing_answered(StoreMode::DropsWriteResponses, StoreMode::DropsWriteResponses)]
#[tokio::test]
async fn shutdown_deletes_the_registration_after_an_outage_of_the_store(
    #[case] before: StoreMode,
    #[case] during: StoreMode,
) {
    let store = start_store().await;
    let mut agent = start_draining(&store, before).await;
    store.set_mode(during);
    agent.signal(libc::SIGTERM);
    sleep(Duration::from_secs(2)).await;
    store.set_mode(StoreMode::Open);
    wait_for_keys(&store, 0, Duration::from_millis(1_500)).await;
    agent.wait_for_exit().await;
    assert_eq!(store.keys("agents/").len(), 0);
}

/// Guards against an agent that is killed since it waits for the store beyond its grace period, six seconds.
#[tokio::test]
async fn shutdown_ends_in_time_without_the_store() {
    let store = start_store().await;
    let mut agent = start_draining(&store, StoreMode::Unresponsive).await;
    let begin = Instant::now();
    agent.signal(libc::SIGTERM);
    sleep(Duration::from_secs(4)).await;
    assert!(
        agent.child.try_wait().unwrap().is_none(),
        "it must still try"
    );
    agent.wait_for_exit().await;
    assert!(begin.elapsed() < Duration::from_secs(6));
    let registration = format!("agents/{}/registered", agent.packets);
    assert!(store.keys("agents/").contains(&registration.into()));
}

/// Guards against a mark of absence that stays beside the registration of an agent that is back, and against a
/// registration that stays since its revision isn't the last one of the write that deleted a mark.
#[tokio::test]
async fn registration_deletes_the_mark_of_absence() {
    let store = start_store().await;
    let agent = start_agent_with(&store, free_port(), free_port(), RESET_LOST);
    store.put(&format!("agents/{}/absent", agent.packets), "1");
    agent.wait_for_status(200).await;
    agent.send_heartbeat(1, 1, "draining").await;
    wait_for_keys(&store, 2, STATE_TIMEOUT).await;
    let mut agent = agent;
    agent.signal(libc::SIGTERM);
    agent.wait_for_exit().await;
    assert_eq!(store.keys("agents/").len(), 0);
}

/// Guards against the deletion of a registration that another process has written, or whose server was started
/// again, while the agent waited for the store.
#[rstest]
#[case::another_process_has_registered(true)]
#[case::server_was_started_again(false)]
#[tokio::test]
async fn shutdown_keeps_the_registration_of_a_later_run(#[case] is_registered: bool) {
    let store = start_store().await;
    let mut agent = start_draining(&store, StoreMode::Unavailable).await;
    agent.signal(libc::SIGTERM);
    sleep(Duration::from_secs(1)).await;
    let _listener = if is_registered {
        store.put(&format!("agents/{}", agent.packets), VALUE);
        store.put(&format!("agents/{}/registered", agent.packets), VALUE);
        None
    } else {
        Some(TcpListener::bind(agent.backend).unwrap())
    };
    sleep(Duration::from_millis(700)).await;
    store.set_mode(StoreMode::Open);
    agent.wait_for_exit().await;
    let registration = format!("agents/{}/registered", agent.packets);
    assert!(store.keys("agents/").contains(&registration.into()));
}

/// Guards against registrations that stay for ever, and against the deletion of those of agents that have an
/// entry or an older lifetime.
#[tokio::test]
async fn balancers_delete_registrations_without_an_entry() {
    let store = start_store().await;
    store.put("agents/127.9.0.1:1", VALUE);
    store.put("agents/127.9.0.1:1/registered", VALUE);
    store.put("agents/127.9.0.2:1/registered", VALUE);
    store.put("agents/127.9.0.2:1/absent", "4");
    let further = format!("{RESET_LOST}registration_retention_s = 1\n");
    let balancer = start_balancer_with(&store, Ipv4Addr::LOCALHOST, free_port(), "", &further);
    balancer.wait_for_status(200).await;
    wait_for_keys(&store, 2, CLEANUP_TIME).await;
    sleep(Duration::from_secs(3)).await;
    let expected = ["agents/127.9.0.1:1", "agents/127.9.0.1:1/registered"];
    assert_eq!(store.keys("agents/"), expected);
}

/// Guards against calls to the store that a balancer with the setting makes although no flow is searched for,
/// and against registrations that one without it takes for malformed entries.
#[rstest]
#[case::off("")]
#[case::on(RESET_LOST)]
#[tokio::test]
async fn balancers_list_once(#[case] further: &str) {
    let store = start_store().await;
    store.put("agents/127.9.0.1:1", VALUE);
    store.put("agents/127.9.0.1:1/registered", VALUE);
    store.put("agents/127.9.0.2:1/registered", VALUE);
    let balancer = start_balancer_with(&store, Ipv4Addr::LOCALHOST, free_port(), "", further);
    balancer.wait_for_status(200).await;
    sleep(Duration::from_secs(3)).await;
    // One listing of the configuration, and one of the agents.
    assert_eq!((store.calls("kv-range"), store.calls("kv-txn")), (2, 0));
}
