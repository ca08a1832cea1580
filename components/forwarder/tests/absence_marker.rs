//! Marks on agents that are gone for good.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_flows::version::StoreRevision;
use carobdrum_forwarder::{
    AbsenceMarker,
    MarkOutcome, //
};
use carobdrum_platform_standins::{
    LeaseServer,
    StoreMode, //
};
use rstest::rstest;

const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 9, 0, 1), 1);

/// Returns the order number of the first key in the store.
fn revision() -> u64 {
    StoreRevision::stated(Some(1), 2).order()
}

/// Guards against a mark on an agent that lives or may be back, and against one for another registration.
#[rstest]
#[case::gone(MarkOutcome::Marked, None, None, None)]
#[case::answers(MarkOutcome::Answered, None, None, Some(4))]
#[case::answers_the_first_probe(MarkOutcome::Answered, None, None, Some(1))]
#[case::has_an_entry(MarkOutcome::Changed, Some("agents/127.9.0.1:1"), None, None)]
#[case::is_marked(MarkOutcome::Changed, Some("agents/127.9.0.1:1/absent"), None, None)]
#[case::registers_again(
    MarkOutcome::Changed,
    None,
    Some("agents/127.9.0.1:1/registered"),
    None
)]
#[case::writes_its_entry(MarkOutcome::Changed, None, Some("agents/127.9.0.1:1"), None)]
#[tokio::test]
async fn only_an_absent_agent_is_marked(
    #[case] expected: MarkOutcome,
    #[case] before: Option<&str>,
    #[case] meanwhile: Option<&str>,
    #[case] answered: Option<u32>,
) {
    let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
    store.put("agents/127.9.0.1:1/registered", "x");
    if let Some(key) = before {
        store.put(key, "x");
    }
    let mut marker = AbsenceMarker::new(store.address());
    let mut probes = 0;
    let probe = async |_| {
        probes += 1;
        if let Some(key) = meanwhile.filter(|_| probes == 3) {
            store.put(key, "x");
        }
        answered.is_some_and(|number| probes >= number)
    };
    let outcome = marker.mark(AGENT, revision(), probe).await.unwrap();
    assert_eq!(outcome, expected);
    let marks = store.values("agents/127.9.0.1:1/absent");
    let is_marked = marks == [revision().to_string().into_bytes()];
    assert_eq!(is_marked, expected == MarkOutcome::Marked);
    let is_silent = answered == Some(1);
    assert_eq!(store.calls("kv-range"), usize::from(!is_silent));
}

/// Guards against a mark although the store is away, so that the agent may be unable to write its entry.
#[tokio::test]
async fn nothing_is_marked_while_the_store_is_away() {
    let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
    store.put("agents/127.9.0.1:1/registered", "x");
    store.set_mode(StoreMode::Unavailable);
    let mut marker = AbsenceMarker::new(store.address());
    let outcome = marker.mark(AGENT, revision(), async |_| false).await;
    assert!(outcome.is_err());
    assert_eq!(store.keys("agents/").len(), 1);
}
