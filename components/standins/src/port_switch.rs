//! A TCP port whose mode can be changed while it is in use.

use std::{
    future::Future,
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
    PortMode,
    StandinError, //
};

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Pause after a failed accept or bind, so that running out of descriptors causes no busy loop.
const ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// Binds a listening socket and returns it with its address, whose port is never 0.
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

/// Sets the mode of a port and waits until it is in effect.
pub(crate) struct PortSwitch {
    wanted: watch::Sender<PortMode>,
    applied: watch::Receiver<PortMode>,
}

impl PortSwitch {
    /// Handles connections of `listener` according to the mode, until the switch is dropped.
    ///
    /// `serve` is called with each accepted connection and passes it to [`spawn_connection`].
    pub(crate) fn start(
        listener: TcpListener,
        address: SocketAddr,
        serve: impl Fn(TcpStream, watch::Receiver<PortMode>) + Send + Sync + 'static,
    ) -> PortSwitch {
        let wanted = watch::Sender::new(PortMode::Open);
        let (report, applied) = watch::channel(PortMode::Open);
        let mode = wanted.subscribe();
        tokio::spawn(run_port(listener, address, mode, report, serve));
        PortSwitch { wanted, applied }
    }

    /// Sets the mode; open connections are closed only if it changes.
    pub(crate) fn set(&self, mode: PortMode) {
        self.wanted
            .send_if_modified(|current| std::mem::replace(current, mode) != mode);
    }

    /// Closes all connections and keeps the mode.
    pub(crate) fn close_connections(&self) {
        self.wanted.send_modify(|_| ());
    }

    /// Waits until the mode that was set last is in effect.
    pub(crate) async fn wait_until_applied(&self) {
        let mut applied = self.applied.clone();
        while *applied.borrow_and_update() != *self.wanted.borrow() {
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns a receiver of the mode that was set last, whether it is in effect or not.
    pub(crate) fn subscribe(&self) -> watch::Receiver<PortMode> {
        self.wanted.subscribe()
    }
}

/// Serves one connection until the mode changes or [`PortSwitch::close_connections`] is called.
pub(crate) fn spawn_connection(
    connection: impl Future<Output = Result<(), hyper::Error>> + Send + 'static,
    mut mode: watch::Receiver<PortMode>,
) {
    if *mode.borrow_and_update() != PortMode::Open {
        return;
    }
    tokio::spawn(async move {
        tokio::select! {
            // The client sees a failure of its connection by itself.
            _ = connection => {}
            _ = mode.changed() => {}
        }
    });
}

/// Accepts connections according to the mode, until it is [`PortMode::Stopped`] or the switch is
/// dropped.
async fn run_port(
    listener: TcpListener,
    address: SocketAddr,
    mut mode: watch::Receiver<PortMode>,
    report: watch::Sender<PortMode>,
    serve: impl Fn(TcpStream, watch::Receiver<PortMode>),
) {
    let mut listener = Some(listener);
    while mode.has_changed().is_ok() {
        let current = *mode.borrow_and_update();
        listener = match (current, listener.take()) {
            (PortMode::Stopped, open) => {
                drop(open);
                report.send_replace(current);
                return;
            }
            (PortMode::Refusing, open) => {
                drop(open);
                refuse_connections(address, &mut mode, &report).await
            }
            (_, None) => rebind(address).await,
            (_, Some(open)) => {
                report.send_replace(current);
                accept_until_change(&open, current, &mut mode, &serve).await;
                Some(open)
            }
        };
    }
}

async fn accept_until_change(
    listener: &TcpListener,
    current: PortMode,
    mode: &mut watch::Receiver<PortMode>,
    serve: impl Fn(TcpStream, watch::Receiver<PortMode>),
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if current == PortMode::Open => serve(stream, mode.clone()),
                Ok((stream, _)) => drop(stream),
                Err(_) => tokio::time::sleep(ERROR_BACKOFF).await,
            },
            _ = mode.changed() => return,
        }
    }
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    let listener = TcpListener::bind(address).await.ok();
    if listener.is_none() {
        tokio::time::sleep(ERROR_BACKOFF).await;
    }
    listener
}

/// Refuses connections until the mode changes.
///
/// Meanwhile a bound socket that doesn't listen reserves the port: the kernel refuses connections
/// to it, and no other process can bind it.
async fn refuse_connections(
    address: SocketAddr,
    mode: &mut watch::Receiver<PortMode>,
    report: &watch::Sender<PortMode>,
) -> Option<TcpListener> {
    let reserved = reserve_port(address).ok();
    report.send_replace(PortMode::Refusing);
    let _ = mode.wait_for(|mode| *mode != PortMode::Refusing).await;
    reserved.and_then(|socket| socket.listen(LISTEN_BACKLOG).ok())
}

fn reserve_port(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
