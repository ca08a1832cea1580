//! What an agent promises for requests, against a backend server that fails.

mod common;

use std::time::Duration;

use carobdrum_caller::{
    CallerError,
    CallerFlow,
    CallerRequest, //
    CallerResponse,
};
use carobdrum_standins::{
    PortMode,
    ServiceTime, //
};
use common::{
    TestSite,
    POOLS, //
};
use http::{
    HeaderName,
    HeaderValue,
    StatusCode, //
};

const KEY_PATH: &str = "/.well-known/carobdrum/idempotency-key";
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const IDENTITY_HEADER: HeaderName = HeaderName::from_static("x-request-identity");

async fn site(net: u8, servers: usize) -> TestSite {
    let mut site = TestSite::start(net, servers).await;
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    site.add_balancer("galway-a");
    for _ in 0..servers {
        site.add_agent("galway-a");
    }
    site
}

async fn take_key(flow: &CallerFlow) -> HeaderValue {
    let answer = flow
        .request(CallerRequest::get(KEY_PATH))
        .await
        .expect("a key");
    HeaderValue::from_bytes(&answer.body).expect("a header value")
}

fn correction(identity: &'static str) -> CallerRequest {
    CallerRequest::post("/record", "spelling")
        .header(IDENTITY_HEADER, HeaderValue::from_static(identity))
        .timeout(Duration::from_secs(5))
}

fn runs(site: &TestSite, identity: &str) -> u32 {
    site.servers
        .iter()
        .map(|server| server.runs_of(identity))
        .sum()
}

async fn send(flow: &CallerFlow, request: CallerRequest) -> CallerResponse {
    flow.request(request).await.expect("an answer")
}

/// Guards against running a correction again when its caller repeats it after a lost answer, at the
/// agent that issued the key and at another one.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_key_gets_the_recorded_answer_everywhere() {
    let site = site(51, 2).await;
    let owner = site.connect_when(|name| name.ends_with('0')).await;
    let other = site.connect_when(|name| name.ends_with('1')).await;
    let key = take_key(&owner).await;
    let request = || correction("repeated").header(KEY_HEADER, key.clone());
    let first = send(&owner, request()).await;
    assert_eq!(first.status, StatusCode::OK);
    for flow in [&owner, &other] {
        let repeated = send(flow, request()).await;
        assert_eq!(
            (repeated.status, &repeated.body),
            (first.status, &first.body)
        );
    }
    assert_eq!(runs(&site, "repeated"), 1);
}

/// Guards against a first try that arrives late: once another agent has been told "not run", the
/// owner must not run the request any more.
#[tokio::test(flavor = "multi_thread")]
async fn key_used_elsewhere_first_is_fenced_at_its_owner() {
    let site = site(52, 2).await;
    let owner = site.connect_when(|name| name.ends_with('0')).await;
    let other = site.connect_when(|name| name.ends_with('1')).await;
    let key = take_key(&owner).await;
    let request = || correction("fenced").header(KEY_HEADER, key.clone());
    for flow in [&other, &owner] {
        let answer = send(flow, request()).await;
        assert!(answer.is_not_run(), "{answer:?}");
    }
    assert_eq!(runs(&site, "fenced"), 0);
}

/// Guards against taking keys that the system can't tie to an agent, under which a repeat elsewhere
/// would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_key_is_refused_and_not_run() {
    let site = site(53, 1).await;
    let flow = site.connect().await;
    let key = HeaderValue::from_static("made-up-by-the-caller");
    let answer = send(&flow, correction("foreign").header(KEY_HEADER, key)).await;
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert!(answer.is_not_run());
    assert_eq!(runs(&site, "foreign"), 0);
}

/// Guards against a restarted agent that runs a key of its predecessor, whose ledger is gone.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_an_earlier_incarnation_is_unknown_and_not_run_again() {
    let mut site = site(54, 1).await;
    let flow = site.connect().await;
    let key = take_key(&flow).await;
    let request = || correction("restarted").header(KEY_HEADER, key.clone());
    assert_eq!(send(&flow, request()).await.status, StatusCode::OK);
    site.stop_agent(0).await;
    site.agents.clear();
    site.add_agent("galway-a");
    let flow = site.connect().await;
    // The new ledger issues the same sequence again, so only the incarnation tells the keys apart.
    take_key(&flow).await;
    let repeated = send(&flow, request()).await;
    assert!(repeated.is_unknown(), "{repeated:?}");
    assert_eq!(runs(&site, "restarted"), 1);
}

/// Guards against a "not run" that isn't true, and against an answer that never comes while the
/// server refuses connections.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_answered_as_not_run() {
    let site = site(55, 1).await;
    let flow = site.connect().await;
    site.servers[0].set_mode(PortMode::Refusing).await;
    let answer = send(&flow, correction("refused")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.is_not_run());
    assert_eq!(runs(&site, "refused"), 0);
    site.servers[0].set_mode(PortMode::Open).await;
    assert_eq!(
        send(&flow, correction("after")).await.status,
        StatusCode::OK
    );
}

/// Guards against a part of an answer that passes for the whole, and against running a correction
/// twice because its answer broke off.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_of_a_correction_is_no_answer_and_no_second_run() {
    let site = site(56, 1).await;
    let flow = site.connect().await;
    site.servers[0].truncate_responses(1);
    let outcome = flow.request(correction("cut")).await;
    match &outcome {
        Ok(answer) => assert!(answer.is_unknown(), "{answer:?}"),
        Err(CallerError::StreamReset { .. }) => {}
        Err(error) => panic!("{error}"),
    }
    assert_eq!(runs(&site, "cut"), 1);
}

/// Guards against a reused connection that the server has closed in the meantime: an idempotent
/// request moves to a fresh one.
#[tokio::test(flavor = "multi_thread")]
async fn lookup_survives_server_connections_closed_while_idle() {
    let site = site(57, 1).await;
    let flow = site.connect().await;
    for _ in 0..5 {
        site.servers[0].set_mode(PortMode::Closing).await;
        site.servers[0].set_mode(PortMode::Open).await;
        let answer = send(&flow, CallerRequest::get("/bytes/500?seed=2")).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, carobdrum_standins::body_chunk(2, 0, 500));
    }
}

/// Guards against a caller that waits for a frozen server beyond its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_server_ends_at_the_deadline_with_outcome_unknown() {
    let site = site(58, 1).await;
    let flow = site.connect().await;
    site.servers[0].set_frozen(true);
    let timeout = HeaderName::from_static("request-timeout-ms");
    let request = correction("frozen").header(timeout, HeaderValue::from_static("400"));
    let start = std::time::Instant::now();
    let answer = send(&flow, request).await;
    assert!(answer.is_unknown(), "{answer:?}");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    site.servers[0].set_frozen(false);
}

/// Guards against a planned stop that cuts a request, and against a stop that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_lets_running_requests_end() {
    let mut site = site(59, 1).await;
    let flow = site.connect().await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_millis(800)));
    let request = correction("stopped");
    let running = tokio::spawn(async move { flow.request(request).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let start = std::time::Instant::now();
    site.stop_agent(0).await;
    let answer = running.await.expect("a task").expect("a whole answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(runs(&site, "stopped"), 1);
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against running more requests on a server than the pool gives it slots.
#[tokio::test(flavor = "multi_thread")]
async fn slots_of_the_pool_are_never_exceeded() {
    let site = site(60, 1).await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_millis(20)));
    let flow = site.connect().await;
    site.servers[0].reset_stats();
    let requests = (0..60).map(|_| flow.request(CallerRequest::get("/bytes/10?seed=1")));
    for outcome in futures_util::future::join_all(requests).await {
        let answer = outcome.expect("an answer");
        assert!(
            answer.status == StatusCode::OK || answer.is_not_run(),
            "{answer:?}"
        );
    }
    let largest = site.servers[0].stats().max_in_flight;
    assert!(
        largest <= 4,
        "{largest} requests at once; the pool gives 4 slots"
    );
}
