//! The server of control connections with unauthenticated peers, idle peers and peers that don't
//! read.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration, //
};

use carobdrum_control::{
    call_control,
    call_control_within,
    serve_control, //
};
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchStatus,
        StatusReply, //
    },
    ControlMessage,
    FrameCodec,
    FrameRole,
    TunnelKey,
    CHALLENGE_LEN, //
};
use futures_util::SinkExt;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::mpsc,
    time::{
        sleep,
        timeout,
        Instant, //
    },
};
use tokio_util::codec::Framed;

/// Time within which a connection without a valid request must be closed, with a margin.
const MAX_HOLD_TIME: Duration = Duration::from_secs(9);
/// Maximum number of connections that the server serves at once.
const MAX_CONNECTIONS: usize = 64;

fn key() -> TunnelKey {
    TunnelKey::new(&[3; 32])
}

/// Starts a server that answers each request with `len` bytes.
async fn start(len: usize) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    tokio::spawn(serve_control(listener, key(), move |_| async move {
        let json = "x".repeat(len);
        ControlMessage::new(ControlBody::Status(StatusReply { json }))
    }));
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn request() -> ControlMessage {
    ControlMessage::new(ControlBody::FetchStatus(FetchStatus {}))
}

/// Guards against random bytes that end the server or that it answers.
#[tokio::test]
async fn random_bytes_get_no_answer() {
    let address = start(10).await;
    let mut random = SmallRng::seed_from_u64(42);
    for len in [1, 4, 5, 100, 5_000] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let mut bytes = vec![0; len];
        random.fill(&mut bytes[..]);
        // A valid length makes the server read the whole frame.
        bytes[0] = 0;
        stream.write_all(&bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut read = Vec::new();
        // The read may fail with a reset; the bytes received before it are checked.
        let _ = timeout(MAX_HOLD_TIME, stream.read_to_end(&mut read))
            .await
            .expect("the server should close the connection");
        assert!(read.len() <= CHALLENGE_LEN, "{} bytes", read.len());
        assert!(call_control(address, &key(), request()).await.is_ok());
    }
    let other_key = TunnelKey::new(&[4; 32]);
    assert!(call_control(address, &other_key, request()).await.is_err());
}

/// Guards against idle peers that use up all connections of the server.
#[tokio::test]
async fn idle_connections_are_closed() {
    let address = start(10).await;
    let mut idle = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.read_exact(&mut [0; CHALLENGE_LEN]).await.unwrap();
        idle.push(stream);
    }
    let start = Instant::now();
    while call_control(address, &key(), request()).await.is_err() {
        assert!(
            start.elapsed() < MAX_HOLD_TIME,
            "idle connections not closed in time"
        );
    }
}

/// Guards against a peer that stops reading and so holds its connection without limit.
#[tokio::test]
async fn connection_of_a_peer_that_does_not_read_is_closed() {
    const ANSWERS: usize = 16;
    const ANSWER_LEN: usize = 1 << 20;
    let address = start(ANSWER_LEN).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 * 1_024).unwrap();
    let mut stream = socket.connect(address.into()).await.unwrap();
    let mut challenge = [0; CHALLENGE_LEN];
    stream.read_exact(&mut challenge).await.unwrap();
    let codec = FrameCodec::new(&key(), &challenge, FrameRole::Client);
    let mut framed = Framed::new(stream, codec);
    for _ in 0..ANSWERS {
        framed.send(request()).await.unwrap();
    }
    sleep(MAX_HOLD_TIME).await;
    let mut read = Vec::new();
    // The read may fail with a reset; the bytes received before it are checked.
    let _ = timeout(MAX_HOLD_TIME, framed.get_mut().read_to_end(&mut read)).await;
    assert!(
        read.len() < ANSWERS * ANSWER_LEN,
        "the server waited until all responses were read"
    );
}

/// Guards against work that goes on for a peer that has closed its connection.
#[tokio::test]
async fn handler_is_dropped_when_the_peer_closes() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let (sender, mut running) = mpsc::channel::<()>(1);
    let (started, mut starts) = mpsc::channel(1);
    // The channel closes when the last future with a sender is dropped.
    let sender = std::sync::Mutex::new(Some(sender));
    tokio::spawn(serve_control(listener, key(), move |request| {
        let sender = sender.lock().unwrap().take();
        let started = started.clone();
        async move {
            started.send(()).await.unwrap();
            std::future::pending::<()>().await;
            drop(sender);
            request
        }
    }));
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let limit = Duration::from_millis(200);
    let response = call_control_within(address, &key(), request(), limit).await;
    assert!(response.is_err());
    assert!(starts.recv().await.is_some());
    let ended = timeout(Duration::from_secs(2), running.recv()).await;
    assert_eq!(ended, Ok(None));
}
