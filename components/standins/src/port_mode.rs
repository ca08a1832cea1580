//! A TCP port whose behaviour can be changed while it is in use.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use snafu::ResultExt;
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::watch,
};

use crate::{
    standin_error::BindSnafu,
    StandinError, //
};

/// Length of the queue of connections that wait for acceptance.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept or bind, so that a lack of descriptors causes no busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// What a port does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PortMode {
    /// Connections are accepted and served.
    #[default]
    Open,
    /// Connections are refused, and established ones are closed.
    Refusing,
    /// Connections are accepted and closed at once, and established ones are closed.
    Closing,
    /// The port is given up for good.
    Stopped,
}

/// Binds a listening socket.
///
/// # Errors
///
/// Returns [`StandinError::Bind`] if the address can't be bound.
pub(crate) async fn bind_port(
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StandinError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(BindSnafu { address })?;
    let bound = listener.local_addr().context(BindSnafu { address })?;
    Ok((listener, bound))
}

/// Accepts connections as the mode says, until it is [`PortMode::Stopped`] or all handles are gone.
///
/// `serve` starts the service of one connection and must end it when the mode changes.
pub(crate) async fn run_port(
    listener: TcpListener,
    address: SocketAddr,
    mut mode: watch::Receiver<PortMode>,
    serve: impl Fn(TcpStream),
) {
    let mut listener = Some(listener);
    loop {
        let current = *mode.borrow_and_update();
        let next = match (current, listener.take()) {
            (PortMode::Stopped, _) => return,
            (PortMode::Refusing, open) => {
                drop(open);
                refuse(address, &mut mode).await
            }
            (_, None) => TcpListener::bind(address).await.ok(),
            (_, Some(open)) => {
                accept_until_change(&open, current, &mut mode, &serve).await;
                Some(open)
            }
        };
        if next.is_none() {
            tokio::time::sleep(ERROR_PAUSE).await;
        }
        if mode.has_changed().is_err() {
            return;
        }
        listener = next;
    }
}

async fn accept_until_change(
    listener: &TcpListener,
    current: PortMode,
    mode: &mut watch::Receiver<PortMode>,
    serve: impl Fn(TcpStream),
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if current == PortMode::Open => serve(stream),
                Ok((stream, _)) => drop(stream),
                Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
            },
            _ = mode.changed() => return,
        }
    }
}

/// Refuses connections until the mode changes.
///
/// A bound socket that doesn't listen keeps the port from other processes while the kernel refuses
/// connections to it.
async fn refuse(address: SocketAddr, mode: &mut watch::Receiver<PortMode>) -> Option<TcpListener> {
    let holder = hold_port(address).ok();
    let _ = mode.wait_for(|mode| *mode != PortMode::Refusing).await;
    holder.and_then(|socket| socket.listen(BACKLOG).ok())
}

fn hold_port(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
