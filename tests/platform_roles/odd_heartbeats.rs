//! Heartbeats that say nothing about the server beside their agent.

use std::fs;

use rstest::rstest;

use crate::{
    open_flows::FlowSite,
    role_process::{
        heartbeat_body,
        SETTINGS_FILE, //
    },
};

/// Returns the body of a heartbeat of a later run with one change.
fn odd_body(part: &str, replacement: &str) -> String {
    let body = heartbeat_body("127.0.0.1:1", 2, 1, "ready");
    assert!(body.contains(part), "{part}");
    body.replacen(part, replacement, 1)
}

/// Guards against an agent that takes an incomplete heartbeat, or one of another service, for a new run of its server:
/// it reset the flows of the live server, and delivered flows of the other service to it. So it did with one whose start
/// isn't a whole number, which can't come from a server.
#[rstest]
#[case::without_service(r#""Service":"s","#, "")]
#[case::without_address(r#""Address":"127.0.0.1:1","#, "")]
#[case::without_zone(r#""Zone":"north","#, "")]
#[case::without_version(r#""Version":"v1","#, "")]
#[case::without_slots(r#""Slots":2,"#, "")]
#[case::without_state(r#""State":"ready","#, "")]
#[case::without_cold_remaining(r#""ColdRemainingMs":0,"#, "")]
#[case::without_sequence(r#""Sequence":1,"#, "")]
#[case::without_start(r#","born":2"#, "")]
#[case::version_of_another_type(r#""Version":"v1""#, r#""Version":1"#)]
#[case::start_with_a_fraction(r#""born":2"#, r#""born":2.5"#)]
#[case::start_of_another_type(r#""born":2"#, r#""born":"2""#)]
#[case::sequence_with_a_fraction(r#""Sequence":1"#, r#""Sequence":5000.5"#)]
#[case::slots_with_a_fraction(r#""Slots":2"#, r#""Slots":2.5"#)]
#[case::unknown_state(r#""State":"ready""#, r#""State":"asleep""#)]
#[case::another_service(r#""Service":"s""#, r#""Service":"t""#)]
#[tokio::test]
async fn heartbeats_of_other_writers_change_nothing(#[case] part: &str, #[case] replacement: &str) {
    let site = FlowSite::start_with("").await;
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    site.open_flow().await;
    let odd = odd_body(part, replacement);
    let response = site.agent.call("PUT", "i-2", &odd).await;
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(!site.is_reset().await);
    site.answer().await;
    site.agent.send_heartbeat(1, 2, "ready").await;
}

/// Guards against an agent that refuses the server of the next service at its address until it checks its settings,
/// which name that service already.
#[tokio::test]
async fn the_settings_tell_which_service_has_taken_the_address() {
    let site = FlowSite::start_with("").await;
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    let path = site.agent._folder.path().join(SETTINGS_FILE);
    let settings = fs::read_to_string(&path).unwrap();
    fs::write(&path, settings.replace("service = 's'", "service = 't'")).unwrap();
    let next = odd_body(r#""Service":"s""#, r#""Service":"t""#);
    let response = site.agent.call("PUT", "i-2", &next).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let former = heartbeat_body("127.0.0.1:1", 1, 2, "ready");
    let response = site.agent.call("PUT", "i-1", &former).await;
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
}
