//! A request to the control address of another process.

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

/// Longest time for one call, from connecting to the whole answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reasons why a call brings no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection, or it failed before the first frame.
    #[snafu(display("no control connection to {peer}: {source}"))]
    Unreachable {
        /// The process called.
        peer: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// A frame can't be sent or read.
    #[snafu(display("control connection to {peer}: {source}"))]
    BadFrame {
        /// The process called.
        peer: SocketAddrV4,
        /// The cause.
        source: FrameError,
    },
    /// The process closed the connection without an answer.
    #[snafu(display("{peer} closed the control connection without an answer"))]
    Closed {
        /// The process called.
        peer: SocketAddrV4,
    },
    /// The answer took too long.
    #[snafu(display("no answer from {peer} within {} ms", CALL_TIMEOUT.as_millis()))]
    TimedOut {
        /// The process called.
        peer: SocketAddrV4,
    },
}

/// Sends `message` to the control address `peer` and returns the answer.
///
/// # Errors
///
/// Returns a [`CallError`] if no answer came within 2 s.
pub async fn call_control(
    peer: SocketAddrV4,
    key: &TunnelKey,
    message: ControlMessage,
) -> Result<ControlMessage, CallError> {
    let call = call_untimed(peer, key, message);
    match timeout(CALL_TIMEOUT, call).await {
        Ok(answer) => answer,
        Err(_) => TimedOutSnafu { peer }.fail(),
    }
}

async fn call_untimed(
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
    let answer = framed.next().await.context(ClosedSnafu { peer })?;
    answer.context(BadFrameSnafu { peer })
}
