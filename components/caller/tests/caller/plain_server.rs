//! A simple HTTP/3 server whose behaviour depends on the path of a request.

use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use bytes::{
    Buf,
    Bytes, //
};
use h3::{
    error::Code,
    server::RequestStream, //
};
use http::{
    Request,
    Response, //
};
use quinn::crypto::rustls::QuicServerConfig;
use quinn_proto::RandomConnectionIdGenerator;
use ring::hmac;
use rustls_pki_types::{
    CertificateDer,
    PrivateKeyDer,
    PrivatePkcs8KeyDer, //
};

/// Name in the certificate of the server.
pub(crate) const SERVER_NAME: &str = "caller.test";

type ServerStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// A running server.
pub(crate) struct PlainServer {
    /// Address on which it listens.
    pub(crate) address: SocketAddr,
    /// Its self-signed certificate.
    pub(crate) certificate: CertificateDer<'static>,
    /// Number of POST requests that it ran.
    pub(crate) runs: Arc<AtomicU64>,
    refuses_connections: Arc<AtomicBool>,
    endpoint: quinn::Endpoint,
    config: quinn::ServerConfig,
}

impl PlainServer {
    /// Starts a server on a free port.
    pub(crate) fn start() -> PlainServer {
        let signed = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()]).unwrap();
        let key = PrivatePkcs8KeyDer::from(signed.signing_key.serialize_der());
        let certificate = signed.cert.der().clone();
        let config = server_config(certificate.clone(), key.into());
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let endpoint = open_endpoint(config.clone(), socket);
        let server = PlainServer {
            address: endpoint.local_addr().unwrap(),
            certificate,
            runs: Arc::default(),
            refuses_connections: Arc::default(),
            endpoint,
            config,
        };
        server.serve();
        server
    }

    /// Restarts the server at the same address without its connection state, as after a kill; the
    /// callers aren't notified.
    pub(crate) async fn restart_without_state(&mut self) {
        // The endpoint keeps its previous socket, so only the second rebind frees the original one.
        for _ in 0..2 {
            let unused = UdpSocket::bind("127.0.0.1:0").unwrap();
            self.endpoint.rebind(unused).unwrap();
        }
        let mut socket = UdpSocket::bind(self.address);
        for _ in 0..200 {
            if socket.is_ok() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
            socket = UdpSocket::bind(self.address);
        }
        self.endpoint = open_endpoint(self.config.clone(), socket.unwrap());
        self.serve();
    }

    /// Makes the server refuse all new connections.
    pub(crate) fn refuse_connections(&self) {
        self.refuses_connections.store(true, Ordering::Relaxed);
    }

    fn serve(&self) {
        let endpoint = self.endpoint.clone();
        let runs = self.runs.clone();
        let refuses_connections = self.refuses_connections.clone();
        tokio::spawn(async move {
            while let Some(incoming) = endpoint.accept().await {
                if refuses_connections.load(Ordering::Relaxed) {
                    incoming.refuse();
                    continue;
                }
                tokio::spawn(serve_connection(incoming, runs.clone()));
            }
        });
    }
}

/// Returns the byte at `index` of the body of `/bytes`.
pub(crate) fn byte_at(seed: u64, index: u64) -> u8 {
    (seed.wrapping_add(index).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8
}

/// Returns a chunk of the body of `/bytes`.
pub(crate) fn stream_chunk(seed: u64, offset: u64, len: usize) -> Bytes {
    (0..len as u64).map(|i| byte_at(seed, offset + i)).collect()
}

fn server_config(
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
) -> quinn::ServerConfig {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![certificate], key)
        .unwrap();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls).unwrap()))
}

fn open_endpoint(config: quinn::ServerConfig, socket: UdpSocket) -> quinn::Endpoint {
    // With the same key after a restart, the server sends valid stateless resets for connections
    // from before.
    let key = hmac::Key::new(hmac::HMAC_SHA256, &[7; 64]);
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut settings = quinn::EndpointConfig::new(Arc::new(key));
    // The default generator would drop packets of connections from before the restart without a
    // reset.
    settings.cid_generator(|| Box::<RandomConnectionIdGenerator>::default());
    quinn::Endpoint::new(settings, Some(config), socket, runtime).unwrap()
}

async fn serve_connection(incoming: quinn::Incoming, runs: Arc<AtomicU64>) {
    let Ok(connection) = incoming.await else {
        return;
    };
    let quic = h3_quinn::Connection::new(connection.clone());
    let mut h3 = h3::server::Connection::<_, Bytes>::new(quic).await.unwrap();
    while let Ok(Some(resolver)) = h3.accept().await {
        let Ok((request, stream)) = resolver.resolve_request().await else {
            return;
        };
        if request.uri().path() == "/goaway" {
            h3.shutdown(0).await.unwrap();
        }
        let runs = runs.clone();
        let connection = connection.clone();
        tokio::spawn(async move { respond(request, stream, connection, runs).await });
    }
}

async fn respond(
    request: Request<()>,
    mut stream: ServerStream,
    connection: quinn::Connection,
    runs: Arc<AtomicU64>,
) {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let seed = query.trim_start_matches("seed=").parse().unwrap_or(0);
    let head = Response::builder().header("x-target", "plain-1");
    let mut parts = path.split('/').skip(1);
    match (parts.next().unwrap(), parts.next().unwrap_or_default()) {
        ("bytes" | "goaway", len) => {
            let len = len.parse().unwrap_or(3);
            send(&mut stream, head, stream_chunk(seed, 0, len), len).await;
            let _ = stream.finish().await;
        }
        ("short", _) => {
            send(&mut stream, head, Bytes::from_static(b"half"), 8).await;
            let _ = stream.finish().await;
        }
        ("long", _) => {
            send(&mut stream, head, Bytes::from_static(b"too much"), 4).await;
            let _ = stream.finish().await;
        }
        ("reset", _) => {
            send(&mut stream, head, Bytes::from_static(b"half"), 8).await;
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
        ("rejected", _) => {
            stream.stop_sending(Code::H3_REQUEST_REJECTED);
            stream.stop_stream(Code::H3_REQUEST_REJECTED);
        }
        ("close", _) => connection.close(0x1234_u32.into(), b"bye"),
        ("unresponsive", _) => std::future::pending().await,
        ("early", _) => {
            send(&mut stream, head.status(503), Bytes::new(), 0).await;
            let _ = stream.finish().await;
            std::future::pending().await
        }
        ("echo", _) => {
            runs.fetch_add(1, Ordering::Relaxed);
            let body = read_body(&mut stream).await;
            let len = body.len();
            send(&mut stream, head, body, len).await;
            let _ = stream.finish().await;
        }
        ("record", _) => record(&mut stream, &runs).await,
        _ => {
            send(&mut stream, head.status(404), Bytes::new(), 0).await;
            let _ = stream.finish().await;
        }
    }
}

/// Refuses every third request without running it; of the others, reports every fifth as unknown.
async fn record(stream: &mut ServerStream, runs: &AtomicU64) {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let _ = read_body(stream).await;
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let head = Response::builder();
    let head = if call % 3 == 0 {
        head.status(503).header("carobdrum-outcome", "not-run")
    } else {
        runs.fetch_add(1, Ordering::Relaxed);
        match call % 5 {
            0 => head.status(502).header("carobdrum-outcome", "unknown"),
            _ => head,
        }
    };
    send(stream, head, Bytes::new(), 0).await;
    let _ = stream.finish().await;
}

async fn send(
    stream: &mut ServerStream,
    head: http::response::Builder,
    body: Bytes,
    declared: usize,
) {
    let head = head.header("content-length", declared).body(()).unwrap();
    let _ = stream.send_response(head).await;
    if !body.is_empty() {
        let _ = stream.send_data(body).await;
    }
}

async fn read_body(stream: &mut ServerStream) -> Bytes {
    let mut body = Vec::new();
    while let Ok(Some(mut chunk)) = stream.recv_data().await {
        let len = chunk.remaining();
        body.extend_from_slice(&chunk.copy_to_bytes(len));
    }
    Bytes::from(body)
}
