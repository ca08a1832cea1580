//! The server of control connections, met by strangers, idle peers and peers that don't read.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_control::{
    call_control,
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
    time::{
        sleep,
        timeout,
        Instant, //
    },
};
use tokio_util::codec::Framed;

/// Longest time in which a peer without a sound request may hold a connection, and a margin.
const LONGEST_HOLD: Duration = Duration::from_secs(9);
/// Connections that the server serves at once.
const MAX_CONNECTIONS: usize = 64;

fn key() -> TunnelKey {
    TunnelKey::new(&[3; 32])
}

/// Starts a server that answers everything with `len` bytes.
async fn start(ip: &str, len: usize) -> SocketAddrV4 {
    let address = SocketAddrV4::new(ip.parse().unwrap(), 7400);
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(serve_control(listener, key(), move |_| async move {
        let json = "x".repeat(len);
        ControlMessage::new(ControlBody::Status(StatusReply { json }))
    }));
    address
}

fn request() -> ControlMessage {
    ControlMessage::new(ControlBody::FetchStatus(FetchStatus {}))
}

/// Guards against a server that a stranger's bytes end or that answers them.
#[tokio::test]
async fn random_bytes_get_no_answer() {
    let address = start("127.42.0.1", 10).await;
    let mut random = SmallRng::seed_from_u64(42);
    for len in [1, 4, 5, 100, 5_000] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let mut bytes = vec![0; len];
        random.fill(&mut bytes[..]);
        // A length that is sound lets the server read the whole frame.
        bytes[0] = 0;
        stream.write_all(&bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut read = Vec::new();
        // The server may reset the connection; what it sent before counts.
        let _ = timeout(LONGEST_HOLD, stream.read_to_end(&mut read))
            .await
            .expect("the server closes the connection");
        assert!(read.len() <= CHALLENGE_LEN, "{} bytes", read.len());
        assert!(call_control(address, &key(), request()).await.is_ok());
    }
    let stranger = TunnelKey::new(&[4; 32]);
    assert!(call_control(address, &stranger, request()).await.is_err());
}

/// Guards against idle peers that keep all others from the control channel.
#[tokio::test]
async fn idle_peers_are_cut_off() {
    let address = start("127.42.0.2", 10).await;
    let mut idle = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.read_exact(&mut [0; CHALLENGE_LEN]).await.unwrap();
        idle.push(stream);
    }
    let start = Instant::now();
    while call_control(address, &key(), request()).await.is_err() {
        assert!(start.elapsed() < LONGEST_HOLD, "idle peers hold the server");
    }
}

/// Guards against a peer that stops in the middle and holds its connection for ever.
#[tokio::test]
async fn peer_that_does_not_read_is_cut_off() {
    const ANSWERS: usize = 16;
    const ANSWER_LEN: usize = 1 << 20;
    let address = start("127.42.0.3", ANSWER_LEN).await;
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
    sleep(LONGEST_HOLD).await;
    let mut read = Vec::new();
    // The server may reset the connection; what it sent before counts.
    let _ = timeout(LONGEST_HOLD, framed.get_mut().read_to_end(&mut read)).await;
    assert!(read.len() < ANSWERS * ANSWER_LEN, "all answers waited");
}
