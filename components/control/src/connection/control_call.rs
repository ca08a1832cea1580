//! Control calls: one request and its response over TCP to the control address of another process.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_wire::{
    ControlMessage,
    FrameCodec,
    FrameError,
    FrameRole,
    TunnelKey,
    CHALLENGE_LEN, //
};
use futures_util::{
    SinkExt,
    StreamExt, //
};
use snafu::{
    OptionExt,
    ResultExt,
    Snafu, //
};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::timeout, //
};
use tokio_util::codec::Framed;

/// Time limit of one call, from connecting to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reasons why a call returns no response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened, or it failed before the first frame.
    #[snafu(display("cannot open control connection to {peer}: {source}"))]
    Unreachable {
        /// Control address of the called process.
        peer: SocketAddrV4,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A frame could not be sent or read.
    #[snafu(display("control connection to {peer}: {source}"))]
    BadFrame {
        /// Control address of the called process.
        peer: SocketAddrV4,
        /// Error of the frame codec.
        source: FrameError,
    },
    /// The called process closed the connection without a response.
    #[snafu(display("{peer} closed the control connection without a response"))]
    Closed {
        /// Control address of the called process.
        peer: SocketAddrV4,
    },
    /// No response arrived within the time limit.
    #[snafu(display("no response from {peer} within {} ms", limit.as_millis()))]
    TimedOut {
        /// Control address of the called process.
        peer: SocketAddrV4,
        /// The time limit.
        limit: Duration,
    },
}

/// Sends `message` to the control address `peer` and returns the response. `key` is the tunnel key
/// of the deployment, which authenticates both.
///
/// # Errors
///
/// Returns a [`CallError`] if the connection fails or no response arrives within 2 s.
pub async fn call_control(
    peer: SocketAddrV4,
    key: &TunnelKey,
    message: ControlMessage,
) -> Result<ControlMessage, CallError> {
    call_control_within(peer, key, message, CALL_TIMEOUT).await
}

/// Sends `message` to the control address `peer` and returns the response, like [`call_control`],
/// but with a time limit of its own. A call that is dropped closes the connection, by which the
/// called process learns that nobody waits for the response.
///
/// # Errors
///
/// Returns a [`CallError`] if the connection fails or no response arrives within `limit`.
pub async fn call_control_within(
    peer: SocketAddrV4,
    key: &TunnelKey,
    message: ControlMessage,
    limit: Duration,
) -> Result<ControlMessage, CallError> {
    let call = call_without_timeout(peer, key, message);
    match timeout(limit, call).await {
        Ok(response) => response,
        Err(_) => TimedOutSnafu { peer, limit }.fail(),
    }
}

async fn call_without_timeout(
    peer: SocketAddrV4,
    key: &TunnelKey,
    message: ControlMessage,
) -> Result<ControlMessage, CallError> {
    let mut stream = TcpStream::connect(peer)
        .await
        .context(UnreachableSnafu { peer })?;
    let mut challenge = [0; CHALLENGE_LEN];
    let read = stream.read_exact(&mut challenge).await;
    read.context(UnreachableSnafu { peer })?;
    let codec = FrameCodec::new(key, &challenge, FrameRole::Client);
    let mut framed = Framed::new(stream, codec);
    framed.send(message).await.context(BadFrameSnafu { peer })?;
    let response = framed.next().await.context(ClosedSnafu { peer })?;
    response.context(BadFrameSnafu { peer })
}
