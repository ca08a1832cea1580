//! Behaviour and faults of the stand-in backend server, seen by an HTTP client.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use carobdrum_standins::{
    body_chunk,
    BackendServer,
    BackendSettings,
    PortMode,
    ServiceTime, //
};
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout, //
};

const SERVICE_TIME: Duration = Duration::from_millis(150);
const OVERLOAD_DOWNTIME: Duration = Duration::from_millis(300);

/// Time limit of a request; a server that doesn't respond by then counts as frozen.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

fn settings(slots: u32) -> BackendSettings {
    BackendSettings::new("placename-1", "placename-api", slots).overload_downtime(OVERLOAD_DOWNTIME)
}

/// Sends a request on a new connection; `None` stands for any failure or for no response in time.
async fn send_request(
    address: SocketAddr,
    request: http::request::Builder,
    body: impl Into<Bytes>,
) -> Option<Response<Bytes>> {
    let body = Full::new(body.into());
    let request = request.header("host", "test").body(body).unwrap();
    timeout(REQUEST_TIMEOUT, exchange(address, request))
        .await
        .ok()?
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Response<Bytes>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let (parts, body) = sender.send_request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response::from_parts(parts, body))
}

async fn get(server: &BackendServer, path: &str) -> Option<Response<Bytes>> {
    send_request(server.address(), Request::get(path), "").await
}

/// Returns all bytes received until the connection is closed.
async fn read_raw(server: &BackendServer, path: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let closed = timeout(REQUEST_TIMEOUT, stream.read_to_end(&mut received)).await;
    closed.expect("connection not closed in time").unwrap();
    received
}

async fn json(server: &BackendServer, path: &str) -> serde_json::Value {
    let response = get(server, path).await.unwrap();
    serde_json::from_slice(response.body()).unwrap()
}

/// Sends `count` requests at once and returns how many got a response.
async fn count_answered(server: &BackendServer, count: usize) -> usize {
    let tasks = (0..count).map(|_| {
        let server = server.clone();
        tokio::spawn(async move { get(&server, "/whoami").await })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut answered = 0;
    for task in tasks {
        answered += usize::from(task.await.unwrap().is_some());
    }
    answered
}

/// Waits until a request is in flight.
async fn wait_until_in_flight(server: &BackendServer) {
    let arrived = async {
        while server.stats().in_flight == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(REQUEST_TIMEOUT, arrived)
        .await
        .expect("no request arrived in time");
}

macro_rules! body_cases {
    ($($name:ident: $path:expr => $len:expr, $seed:expr;)*) => {
        /// Guards against a body that differs from what a caller computes to check it.
        #[rstest]
        $(#[case::$name($path, $len, $seed)])*
        #[tokio::test]
        async fn body_is_the_stream_of_its_seed(
            #[case] path: &str,
            #[case] len: usize,
            #[case] seed: u64,
        ) {
            let server = BackendServer::start(settings(2)).await.unwrap();
            let response = get(&server, path).await.unwrap();
            assert_eq!(response.body(), &body_chunk(seed, 0, len));
            assert_eq!(server.stats().answered, 1);
            assert_eq!(server.stats().in_flight, 0);
        }
    };
}

body_cases! {
    empty: "/bytes/0?seed=5" => 0, 5;
    odd: "/bytes/13?seed=5" => 13, 5;
    several_frames: "/bytes/100001?seed=9" => 100_001, 9;
    no_seed: "/bytes/8" => 8, 0;
}

/// Guards against a stream whose bytes depend on how it is divided into chunks.
#[test]
fn chunks_join_to_one_stream() {
    let stream = body_chunk(3, 0, 100);
    for offset in 0..100 {
        let tail = body_chunk(3, offset, 100 - offset as usize);
        assert_eq!(tail, stream[offset as usize..]);
    }
    assert_ne!(stream, body_chunk(4, 0, 100));
}

/// Guards against repeated runs that aren't counted, and against counting idempotent requests.
#[tokio::test]
async fn each_run_is_counted() {
    let server = BackendServer::start(settings(2)).await.unwrap();
    let post = |path: &str, identity: &str| {
        let request = Request::post(path).header("x-request-identity", identity);
        send_request(server.address(), request, "sign 7")
    };
    assert_eq!(post("/echo", "a").await.unwrap().body(), "sign 7");
    assert_eq!(post("/record", "a").await.unwrap().body(), r#"{"runs":2}"#);
    assert_eq!(post("/record", "b").await.unwrap().body(), r#"{"runs":1}"#);
    let read = Request::get("/whoami").header("x-request-identity", "c");
    send_request(server.address(), read, "").await.unwrap();
    let runs: Vec<(String, u32)> = server
        .runs()
        .iter()
        .map(|entry| (entry.identity.to_string(), entry.runs))
        .collect();
    assert_eq!(runs, [("a".into(), 2), ("b".into(), 1)]);
    assert_eq!((server.runs_of("a"), server.runs_of("c")), (2, 0));
}

/// Guards against a server that accepts any load, or that stays down after an overload.
#[tokio::test]
async fn overloaded_server_goes_down_and_restarts() {
    let slow = settings(2).service_time(ServiceTime::Fixed(SERVICE_TIME));
    let server = BackendServer::start(slow).await.unwrap();
    assert_eq!(count_answered(&server, 2).await, 2);
    assert_eq!(server.stats().overload_failures, 0);
    let instance = json(&server, "/whoami").await["instance"].clone();
    assert_eq!(count_answered(&server, 3).await, 0);
    assert_eq!(server.stats().overload_failures, 1);
    assert!(TcpStream::connect(server.address()).await.is_err());
    tokio::time::sleep(2 * OVERLOAD_DOWNTIME).await;
    assert_ne!(json(&server, "/whoami").await["instance"], instance);
    assert_eq!(server.stats().in_flight, 0);
}

/// Guards against a cold server that handles full load at once, or never warms up.
#[tokio::test]
async fn capacity_grows_during_warm_up() {
    let warm_up = Duration::from_millis(600);
    let cold = settings(4).warm_up(warm_up);
    let cold = cold.service_time(ServiceTime::Fixed(SERVICE_TIME));
    let server = BackendServer::start(cold).await.unwrap();
    assert_eq!(count_answered(&server, 1).await, 1);
    tokio::time::sleep(warm_up).await;
    assert_eq!(count_answered(&server, 4).await, 4);
    assert_eq!(json(&server, "/health").await["state"], "ok");
    server.reset_warm_up();
    assert_eq!(json(&server, "/health").await["state"], "cold");
    assert_eq!(count_answered(&server, 4).await, 0);
    assert_eq!(server.stats().overload_failures, 1);
}

/// Guards against a wrong integral of requests in flight, from which imbalance is computed.
#[tokio::test]
async fn in_flight_time_adds_up_all_requests() {
    let slow = settings(4).service_time(ServiceTime::Fixed(SERVICE_TIME));
    let server = BackendServer::start(slow).await.unwrap();
    assert_eq!(count_answered(&server, 3).await, 3);
    let stats = server.stats();
    assert_eq!((stats.answered, stats.in_flight), (3, 0));
    assert_eq!(stats.max_in_flight, 3);
    // Timers fire late on a busy machine, but never early.
    let (least, most) = (3 * SERVICE_TIME, 9 * SERVICE_TIME);
    assert!((least..most).contains(&stats.in_flight_time), "{stats:?}");
    server.reset_stats();
    assert_eq!(server.stats().in_flight_time, Duration::ZERO);
}

/// Guards against faults without effect, and against request headers that aren't recorded.
#[tokio::test]
async fn faults_start_and_end() {
    let server = BackendServer::start(settings(4)).await.unwrap();
    let request = Request::get("/whoami").header("traceparent", "00-aa-bb-01");
    let request = request.header("request-timeout-ms", "250");
    send_request(server.address(), request, "").await.unwrap();
    let stats = server.stats();
    assert_eq!(stats.traceparent.as_deref(), Some("00-aa-bb-01"));
    assert_eq!(stats.request_timeout.as_deref(), Some("250"));

    server.set_shed_probability(1.0);
    let shed = get(&server, "/whoami").await.unwrap();
    assert_eq!(shed.status(), StatusCode::SERVICE_UNAVAILABLE);
    server.set_shed_probability(0.0);

    server.set_draining(true);
    assert_eq!(json(&server, "/health").await["state"], "draining");
    let closing = get(&server, "/whoami").await.unwrap();
    assert_eq!(closing.headers()["connection"], "close");
    server.set_draining(false);

    server.truncate_responses(1);
    assert!(get(&server, "/bytes/50000").await.is_none());
    assert!(get(&server, "/bytes/50000").await.is_some());
    server.truncate_responses(1);
    let received = read_raw(&server, "/bytes/50000").await;
    assert!(
        (25_000..50_000).contains(&received.len()),
        "{}",
        received.len()
    );

    server.set_frozen(true);
    assert!(get(&server, "/health").await.is_none());
    server.set_frozen(false);
    assert!(get(&server, "/health").await.is_some());

    server.set_mode(PortMode::Refusing).await;
    assert!(get(&server, "/health").await.is_none());
    server.set_mode(PortMode::Open).await;
    assert!(get(&server, "/health").await.is_some());
}

/// Guards against a health endpoint whose reports can't be made stale or overridden.
#[tokio::test]
async fn health_report_can_be_stale_or_overridden() {
    let slow = settings(4).service_time(ServiceTime::Fixed(REQUEST_TIMEOUT / 2));
    let server = BackendServer::start(slow).await.unwrap();
    server.set_health_cache_age(Duration::from_secs(60));
    assert_eq!(json(&server, "/health").await["in_flight"], 0);
    let busy = server.clone();
    let request = tokio::spawn(async move { get(&busy, "/whoami").await });
    wait_until_in_flight(&server).await;
    assert_eq!(json(&server, "/health").await["in_flight"], 0);
    server.set_health_cache_age(Duration::ZERO);
    assert_eq!(json(&server, "/health").await["in_flight"], 1);
    server.override_health(Some(Bytes::from_static(br#"{"in_flight":99}"#)));
    assert_eq!(json(&server, "/health").await["in_flight"], 99);
    assert!(request.await.unwrap().is_some());
}

/// Guards against a restart that keeps connections open, or that also closes later ones.
#[tokio::test]
async fn restart_breaks_requests_in_flight_once() {
    let slow = settings(4).service_time(ServiceTime::Fixed(SERVICE_TIME));
    let server = BackendServer::start(slow).await.unwrap();
    let busy = server.clone();
    let request = tokio::spawn(async move { get(&busy, "/whoami").await });
    wait_until_in_flight(&server).await;
    server.restart();
    assert!(request.await.unwrap().is_none());
    assert_eq!(json(&server, "/whoami").await["instance"], 2);
}
