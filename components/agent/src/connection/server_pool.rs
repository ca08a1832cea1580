//! Connections to the backend server.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use snafu::{
    ResultExt,
    Snafu, //
};
use tokio::net::TcpStream;
use tracing::debug;

/// Body of a request to the server.
pub(crate) type ServerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Maximum number of idle connections.
const MAX_IDLE: usize = 16;
/// Time after which an idle connection is no longer used. It is short because something between the
/// two ends may have dropped its state of the connection.
const IDLE_TTL: Duration = Duration::from_secs(5);
/// Time limit for opening a connection; the server runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reasons why no connection to the server could be opened. No part of the request was sent.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// The connection was refused or failed.
    #[snafu(display("cannot connect to the backend server: {source}"))]
    Refused {
        /// Cause of the failure.
        source: io::Error,
    },
    /// The connection was not opened within the time limit.
    #[snafu(display("no server connection within {} ms", CONNECT_TIMEOUT.as_millis()))]
    ConnectTimedOut,
    /// The HTTP handshake on the connection failed.
    #[snafu(display("HTTP handshake with the backend server failed: {source}"))]
    Setup {
        /// Cause of the failure.
        source: hyper::Error,
    },
}

/// A connection to the server.
pub(crate) struct ServerConnection {
    pub(crate) sender: SendRequest<ServerBody>,
    /// Whether the connection was used for a request before.
    pub(crate) reused: bool,
}

struct IdleConnection {
    sender: SendRequest<ServerBody>,
    since: Instant,
}

/// Opens connections to the server and keeps idle ones for idempotent requests.
pub(crate) struct ServerPool {
    server: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
}

impl ServerPool {
    pub(crate) fn new(server: SocketAddr) -> Rc<ServerPool> {
        Rc::new(ServerPool {
            server,
            idle: RefCell::new(Vec::new()),
        })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectError`] if no connection can be opened.
    pub(crate) async fn open(&self) -> Result<ServerConnection, ConnectError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.server));
        let Ok(connected) = connecting.await else {
            return ConnectTimedOutSnafu.fail();
        };
        let stream = connected.context(RefusedSnafu)?;
        // Small requests must not be delayed by Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(stream);
        let (sender, connection) = hyper::client::conn::http1::handshake(io)
            .await
            .context(SetupSnafu)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                debug!(%error, "connection to the backend server failed");
            }
        });
        Ok(ServerConnection {
            sender,
            reused: false,
        })
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectError`] if no connection can be opened.
    pub(crate) async fn reuse_or_open(&self) -> Result<ServerConnection, ConnectError> {
        while let Some(mut connection) = self.take_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok(ServerConnection {
                    sender: connection.sender,
                    reused: true,
                });
            }
        }
        self.open().await
    }

    /// Keeps a connection for reuse. Its last response must have been read to the end.
    pub(crate) fn keep_idle(&self, sender: SendRequest<ServerBody>) {
        let mut idle = self.idle.borrow_mut();
        if sender.is_closed() || idle.len() >= MAX_IDLE {
            return;
        }
        idle.push(IdleConnection {
            sender,
            since: Instant::now(),
        });
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            connection.since.elapsed() < IDLE_TTL && !connection.sender.is_closed()
        });
        idle.pop()
    }
}
