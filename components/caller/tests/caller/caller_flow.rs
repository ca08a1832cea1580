//! Tests of flows against a plain HTTP/3 server.

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
    stream_piece,
    PlainServer,
    SERVER_NAME, //
};

fn client_of(server: &PlainServer) -> ClientBuilder {
    CallerClient::builder(SERVER_NAME)
        .root_der(server.certificate.clone())
        .unwrap()
        .local_address("127.0.0.1:0".parse().unwrap())
}

/// Names each case: the path that is requested and the error that it must give.
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
    // Guards against a truncated body that is taken for the whole.
    short_body_is_an_error: "/short" =>
        CallerError::BodyTooShort { announced: 8, received: 4 }, not_run: false;
    // Guards against a mismatched answer that is cut to its announced length.
    long_body_is_an_error: "/long" =>
        CallerError::BodyTooLong { announced: 4, .. }, not_run: false;
    // Guards against a stream that was reset in the middle and passes for a complete one.
    reset_stream_is_an_error: "/cut" =>
        CallerError::StreamReset { code: 0x102 }, not_run: false;
    // Guards against a rejected request that isn't repeated, or a processed one that is.
    rejection_says_not_run: "/rejected" => CallerError::RequestRejected, not_run: true;
    // Guards against the loss of the code with which a server closed.
    close_keeps_its_code: "/close" =>
        CallerError::ConnectionLost { cause: CloseReason::ClosedByPeer { code: 0x1234 } },
        not_run: false;
    // Guards against a request that waits forever.
    silence_meets_the_deadline: "/silent" =>
        CallerError::DeadlinePassed { after_ms: 400 }, not_run: false;
}

/// Guards against bodies that lose or reorder pieces.
#[rstest]
#[tokio::test]
async fn whole_bodies_arrive(#[values(0, 1, 65_536, 3_000_001)] len: usize) {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    let request = CallerRequest::get(format!("/bytes/{len}?seed=9"));
    let answer = flow.request(request).await.unwrap();
    assert_eq!(answer.body, stream_piece(9, 0, len));
    let body = stream_piece(4, 0, len);
    let answer = flow
        .request(CallerRequest::post("/echo", body.clone()))
        .await;
    assert_eq!(answer.unwrap().body, body);
}

/// Guards against an early refusal that is lost because the body wasn't read.
#[tokio::test]
async fn early_answer_ends_a_long_upload() {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    let request = CallerRequest::post("/early", Bytes::from(vec![1; 8 << 20]));
    let answer = flow.request(request.timeout(Duration::from_secs(5))).await;
    assert_eq!(answer.unwrap().status, 503);
    assert_eq!(flow.close_reason(), None);
}

/// Guards against requests that are sent after the server has announced its end.
#[tokio::test]
async fn goaway_refuses_further_requests() {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    let answer = flow.request(CallerRequest::get("/goaway")).await.unwrap();
    assert_eq!(answer.status, 200);
    let error = flow.request(CallerRequest::get("/bytes/1")).await;
    let error = error.unwrap_err();
    assert!(
        matches!(error, CallerError::GoingAway | CallerError::RequestRejected),
        "{error:?}"
    );
    assert!(error.is_not_run());
}

/// Guards against a restarted server whose flows hang until the idle timeout.
#[tokio::test]
async fn stateless_reset_ends_the_flow() {
    let mut server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    let flow = client.connect(server.address).await.unwrap();
    server.forget().await;
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

/// Guards against a silent service that passes for a refusing one.
#[tokio::test]
async fn silence_is_a_handshake_timeout() {
    let server = PlainServer::start();
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let limit = Duration::from_millis(300);
    let client = client_of(&server).handshake_timeout(limit);
    let client = client.build().unwrap();
    let opened = client.connect(silent.local_addr().unwrap());
    let error = opened.await.err().unwrap();
    assert!(
        matches!(error, CallerError::HandshakeTimeout { .. }),
        "{error:?}"
    );
}

/// Guards against an untrusted server that is accepted.
#[tokio::test]
async fn foreign_certificate_is_refused() {
    let (server, other) = (PlainServer::start(), PlainServer::start());
    let client = client_of(&other).build().unwrap();
    let error = client.connect(server.address).await.err().unwrap();
    assert!(
        matches!(error, CallerError::HandshakeFailed { .. }),
        "{error:?}"
    );
}

/// Guards against a refusal that passes for a broken or slow service.
#[tokio::test]
async fn refusal_is_told_apart() {
    let server = PlainServer::start();
    let client = client_of(&server).build().unwrap();
    server.refuse();
    let error = client.connect(server.address).await.err().unwrap();
    assert!(matches!(error, CallerError::Refused { .. }), "{error:?}");
    assert!(error.is_not_run());
}

/// Guards against an idle flow whose end has the wrong cause.
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
