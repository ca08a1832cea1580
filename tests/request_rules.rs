//! Guarantees of an agent for requests when the backend server or the agent itself fails.

mod common;

use std::{
    net::Ipv4Addr,
    time::{
        Duration,
        Instant, //
    },
};

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

use tokio::{
    io::{
        AsyncBufReadExt,
        AsyncWriteExt,
        BufReader, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

const KEY_PATH: &str = "/.well-known/carobdrum/idempotency-key";
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const IDENTITY_HEADER: HeaderName = HeaderName::from_static("x-request-identity");

async fn start_site(net: u8, servers: usize) -> TestSite {
    let mut site = TestSite::start(net, servers).await;
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    site.add_balancer("galway-a");
    for _ in 0..servers {
        site.add_agent("galway-a");
    }
    site
}

async fn fetch_key(flow: &CallerFlow) -> HeaderValue {
    let response = flow
        .request(CallerRequest::get(KEY_PATH))
        .await
        .expect("cannot fetch a key");
    HeaderValue::from_bytes(&response.body).expect("key is no valid header value")
}

fn record_request(identity: &'static str) -> CallerRequest {
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
    flow.request(request).await.expect("request failed")
}

/// Guards against running a request twice when its caller repeats it after a lost response, at the
/// agent that issued the key or at another one.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_key_gets_the_recorded_response_at_every_agent() {
    let site = start_site(51, 2).await;
    let owner = site.connect_when(|name| name.ends_with('0')).await;
    let other = site.connect_when(|name| name.ends_with('1')).await;
    let key = fetch_key(&owner).await;
    let request = || record_request("repeated").header(KEY_HEADER, key.clone());
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

/// Guards against a delayed first attempt: once another agent has answered "not run", the owner of
/// the key must not run the request.
#[tokio::test(flavor = "multi_thread")]
async fn key_used_first_at_another_agent_is_revoked_at_its_owner() {
    let site = start_site(52, 2).await;
    let owner = site.connect_when(|name| name.ends_with('0')).await;
    let other = site.connect_when(|name| name.ends_with('1')).await;
    let key = fetch_key(&owner).await;
    let request = || record_request("revoked").header(KEY_HEADER, key.clone());
    for flow in [&other, &owner] {
        let response = send(flow, request()).await;
        assert!(response.is_not_run(), "{response:?}");
    }
    assert_eq!(runs(&site, "revoked"), 0);
}

/// Guards against accepting keys that name no agent, with which a request that is repeated at
/// another agent would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn key_not_issued_by_the_system_is_refused_and_not_run() {
    let site = start_site(53, 1).await;
    let flow = site.connect().await;
    let key = HeaderValue::from_static("made-up-by-the-caller");
    let response = send(&flow, record_request("foreign").header(KEY_HEADER, key)).await;
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert!(response.is_not_run());
    assert_eq!(runs(&site, "foreign"), 0);
}

/// Guards against a restarted agent that runs a request with a key of its previous incarnation,
/// whose ledger is lost.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_an_earlier_incarnation_is_unknown_and_not_run_again() {
    let mut site = start_site(54, 1).await;
    let flow = site.connect().await;
    let key = fetch_key(&flow).await;
    let request = || record_request("restarted").header(KEY_HEADER, key.clone());
    assert_eq!(send(&flow, request()).await.status, StatusCode::OK);
    site.stop_agent(0).await;
    site.agents.clear();
    site.add_agent("galway-a");
    let flow = site.connect().await;
    // The new ledger issues the same sequence numbers, so keys differ only in the incarnation.
    fetch_key(&flow).await;
    let repeated = send(&flow, request()).await;
    assert!(repeated.is_unknown(), "{repeated:?}");
    assert_eq!(runs(&site, "restarted"), 1);
}

/// Guards against a wrong "not run", and against a response that is never sent while the
/// server refuses connections.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_answered_as_not_run() {
    let site = start_site(55, 1).await;
    let flow = site.connect().await;
    site.servers[0].set_mode(PortMode::Refusing).await;
    let response = send(&flow, record_request("refused")).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.is_not_run());
    assert_eq!(runs(&site, "refused"), 0);
    site.servers[0].set_mode(PortMode::Open).await;
    assert_eq!(
        send(&flow, record_request("after")).await.status,
        StatusCode::OK
    );
}

/// Guards against a truncated response that passes for a complete one, and against running a
/// non-idempotent request twice because its response was truncated.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_not_accepted_and_request_runs_once() {
    let site = start_site(56, 1).await;
    let flow = site.connect().await;
    site.servers[0].truncate_responses(1);
    let outcome = flow.request(record_request("truncated")).await;
    match &outcome {
        Ok(response) => assert!(response.is_unknown(), "{response:?}"),
        Err(CallerError::StreamReset { .. }) => {}
        Err(error) => panic!("{error}"),
    }
    assert_eq!(runs(&site, "truncated"), 1);
}

/// Guards against failures of idempotent requests on a reused connection that the server has
/// closed: they must be retried on a new one.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_survives_server_connections_closed_while_idle() {
    let site = start_site(57, 1).await;
    let flow = site.connect().await;
    for _ in 0..5 {
        site.servers[0].set_mode(PortMode::Closing).await;
        site.servers[0].set_mode(PortMode::Open).await;
        let response = send(&flow, CallerRequest::get("/bytes/500?seed=2")).await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.body, carobdrum_standins::body_chunk(2, 0, 500));
    }
}

/// Guards against a request to a frozen server that isn't answered at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_frozen_server_ends_at_its_deadline_with_outcome_unknown() {
    let site = start_site(58, 1).await;
    let flow = site.connect().await;
    site.servers[0].set_frozen(true);
    let timeout = HeaderName::from_static("request-timeout-ms");
    let request = record_request("frozen").header(timeout, HeaderValue::from_static("400"));
    let start = std::time::Instant::now();
    let response = send(&flow, request).await;
    assert!(response.is_unknown(), "{response:?}");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    site.servers[0].set_frozen(false);
}

/// Guards against a graceful shutdown that breaks a request, or that never completes.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_completes_running_requests() {
    let mut site = start_site(59, 1).await;
    let flow = site.connect().await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_millis(800)));
    let request = record_request("stopped");
    let running = tokio::spawn(async move { flow.request(request).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let start = std::time::Instant::now();
    site.stop_agent(0).await;
    let response = running
        .await
        .expect("request task panicked")
        .expect("request failed");
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(runs(&site, "stopped"), 1);
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against running more concurrent requests on a server than its pool allows slots.
#[tokio::test(flavor = "multi_thread")]
async fn slots_of_the_pool_are_never_exceeded() {
    let site = start_site(60, 1).await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_millis(20)));
    let flow = site.connect().await;
    site.servers[0].reset_stats();
    let requests = (0..60).map(|_| flow.request(CallerRequest::get("/bytes/10?seed=1")));
    for outcome in futures_util::future::join_all(requests).await {
        let response = outcome.expect("request failed");
        assert!(
            response.status == StatusCode::OK || response.is_not_run(),
            "{response:?}"
        );
    }
    let largest = site.servers[0].stats().max_in_flight;
    assert!(
        largest <= 4,
        "{largest} concurrent requests; the pool allows 4 slots"
    );
}

/// Starts a backend server that answers each request with its path. On a connection that is used
/// again, it first sends the response before once more.
async fn start_repeating_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(repeat_responses(stream));
        }
    });
    address
}

async fn repeat_responses(stream: TcpStream) {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let mut path = String::new();
    let mut last_response = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(rest) = line.strip_prefix("GET ") {
            path = rest.split(' ').next().unwrap_or_default().to_owned();
        }
        if !line.is_empty() {
            continue;
        }
        let length = path.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}");
        let sent = std::mem::replace(&mut last_response, response.clone());
        if writer.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
        if writer.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against a caller that gets the response to an earlier request, because the server sends a
/// second copy of it when its connection is in use again.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_response_reaches_no_other_caller() {
    let mut site = TestSite::start(50, 0).await;
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    let server = start_repeating_server().await;
    site.add_agent_of("galway-a", server);
    let deadline = Instant::now() + Duration::from_secs(10);
    let flow = loop {
        if let Ok(flow) = site.caller().connect(site.service().into()).await {
            break flow;
        }
        assert!(Instant::now() < deadline, "no flow within 10 s");
    };
    for number in 0..20 {
        let path = format!("/places/{number}");
        let response = send(&flow, CallerRequest::get(&path)).await;
        assert_eq!(response.body, path.as_bytes());
    }
}
