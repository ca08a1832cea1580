//! Tests of flows against a simple HTTP/3 server.

use std::time::Duration;

use bytes::Bytes;
use carobdrum_caller::{
    CallerClient,
    CallerError,
    CallerRequest,
    ClientBuilder,
    CloseReason, //
};
use rstest::rstest;

use crate::plain_server::{
    stream_chunk,
    PlainServer,
    SERVER_NAME, //
};

fn client_of(server: &PlainServer) -> ClientBuilder {
    CallerClient::builder(SERVER_NAME)
        .root_der(server.certificate.clone())
        .unwrap()
        .local_address("127.0.0.1:0".parse().unwrap())
}

/// Defines a test for each case: a GET request for the path must fail with the error.
macro_rules! error_cases {
    ($($name:ident: $path:literal => $error:pat, not_run: $not_run:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let server = PlainServer::start();
                let client = client_of(&server).build().unwrap();
                let flow = client.connect(server.address).await.unwrap();
                let request = CallerRequest::get($path).timeout(Duration::from_millis(400));
                let error = flow.request(request).await.unwrap_err();
                assert!(matches!(error, $error), "{error:?}");
                assert_eq!(error.is_not_run(), $not_run);
            }
        )+
    };
}

error_cases! {
    // Guards against a truncated body that is accepted as complete.
    truncated_body_is_an_error: "/short" =>
        CallerError::BodyTooShort { declared: 8, received: 4 }, not_run: false;
    // Guards against a body that is silently truncated to its declared length.
    overlong_body_is_an_error: "/long" =>
        CallerError::BodyTooLong { declared: 4, .. }, not_run: false;
    // Guards against a stream that is reset during the body and accepted as complete.
    reset_stream_is_an_error: "/reset" =>
        CallerError::StreamReset { code: 0x102 }, not_run: false;
    // Guards against a rejected request that isn't retried, or a processed one that is.
    rejected_request_is_not_run: "/rejected" => CallerError::RequestRejected, not_run: true;
    // Guards against a server's close code that isn't reported.
    close_code_is_reported: "/close" =>
        CallerError::ConnectionLost { cause: CloseReason::ClosedByPeer { code: 0x1234 } },
        not_run: false;
    // Guards against a request without a response that waits forever.
    unanswered_request_times_out: "/unresponsive" =>
        CallerError::DeadlinePassed { timeout_ms: 400 }, not_run: false;
}

/// Guards against bodies that lose or reorder chunks.
#[rstest]
#[tokio::test]
async fn bodies_are_received_complete(#[values(0, 1, 65_536, 3_000_001)] len: usize) {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    let request = CallerRequest::get(format!("/bytes/{len}?seed=9"));
    let response = flow.request(request).await.unwrap();
    assert_eq!(response.body, stream_chunk(9, 0, len));
    let body = stream_chunk(4, 0, len);
    let response = flow
        .request(CallerRequest::post("/echo", body.clone()))
        .await;
    assert_eq!(response.unwrap().body, body);
}

/// Guards against an early refusal that is lost because the server didn't read the request body.
#[tokio::test]
async fn early_response_ends_a_long_upload() {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    let request = CallerRequest::post("/early", Bytes::from(vec![1; 8 << 20]));
    let response = flow.request(request.timeout(Duration::from_secs(5))).await;
    assert_eq!(response.unwrap().status, 503);
    assert_eq!(flow.close_reason(), None);
}

/// Guards against requests that are sent after the server's GOAWAY.
#[tokio::test]
async fn goaway_prevents_further_requests() {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    let response = flow.request(CallerRequest::get("/goaway")).await.unwrap();
    assert_eq!(response.status, 200);
    let error = flow.request(CallerRequest::get("/bytes/1")).await;
    let error = error.unwrap_err();
    assert!(
        matches!(error, CallerError::GoingAway | CallerError::RequestRejected),
        "{error:?}"
    );
    assert!(error.is_not_run());
}

/// Guards against flows that hang until the idle timeout after the server was restarted.
#[tokio::test]
async fn stateless_reset_ends_the_flow() {
    let mut server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    server.restart_without_state().await;
    let error = flow.request(CallerRequest::get("/bytes/1")).await;
    assert!(
        matches!(
            error,
            Err(CallerError::ConnectionLost {
                cause: CloseReason::StatelessReset
            })
        ),
        "{error:?}"
    );
}

/// Guards against an unresponsive service that is reported as a refusing one.
#[tokio::test]
async fn unresponsive_service_is_a_handshake_timeout() {
    let server = PlainServer::start();
    let unresponsive = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let limit = Duration::from_millis(300);
    let client = client_of(&server).handshake_timeout(limit);
    let client = client.build().unwrap();
    let opened = client.connect(unresponsive.local_addr().unwrap());
    let error = opened.await.err().unwrap();
    assert!(
        matches!(error, CallerError::HandshakeTimeout { .. }),
        "{error:?}"
    );
}

/// Guards against a server with an untrusted certificate that is accepted.
#[tokio::test]
async fn untrusted_certificate_is_rejected() {
    let (server, other) = (PlainServer::start(), PlainServer::start());
    let client = client_of(&other).build().unwrap();
    let error = client.connect(server.address).await.err().unwrap();
    assert!(
        matches!(error, CallerError::HandshakeFailed { .. }),
        "{error:?}"
    );
}

/// Guards against a refused connection that is reported as a failed or slow handshake.
#[tokio::test]
async fn refused_connection_is_reported() {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    server.refuse_connections();
    let error = client.connect(server.address).await.err().unwrap();
    assert!(matches!(error, CallerError::Refused { .. }), "{error:?}");
    assert!(error.is_not_run());
}

/// Guards against an idle timeout that is reported as another close reason.
#[tokio::test]
async fn idle_flow_times_out() {
    let server = PlainServer::start();
    let client = client_of(&server)
        .keep_alive(None)
        .idle_timeout(Duration::from_millis(300));
    let client = client.build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    assert_eq!(flow.closed().await, CloseReason::TimedOut);
    let error = flow.request(CallerRequest::get("/bytes/1")).await;
    assert!(matches!(error, Err(CallerError::FlowEnded { .. })));
}
