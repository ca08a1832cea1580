//! Connections to the backend server.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
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

/// Opens connections to the server, one for each request.
///
/// A connection isn't used again: HTTP/1.1 responses don't name their request, so a second copy of a
/// response that arrives late would be taken for the response to the next request.
pub(crate) struct ServerConnector {
    server: SocketAddr,
}

impl ServerConnector {
    pub(crate) fn new(server: SocketAddr) -> Rc<ServerConnector> {
        Rc::new(ServerConnector { server })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectError`] if no connection can be opened.
    pub(crate) async fn open(&self) -> Result<SendRequest<ServerBody>, ConnectError> {
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
        Ok(sender)
    }
}
