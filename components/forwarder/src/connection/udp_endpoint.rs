//! UDP socket of a traffic thread.

use std::{
    io,
    mem::MaybeUninit,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
};

use carobdrum_core::Millis;
use socket2::SockRef;
use tokio::net::UdpSocket;
use tracing::debug;

use crate::process::{
    node_error::BindSnafu,
    BootClock,
    NodeError, //
};
use snafu::ResultExt;

/// Largest datagram that is read, in bytes: a packet with its header.
const MAX_DATAGRAM_LEN: usize = 2_048;

/// Maximum number of datagrams read from one socket before the other sources are served.
pub(crate) const READ_BATCH: usize = 64;

/// UDP socket that drops the datagrams that it can't send at once.
#[derive(Debug)]
pub(crate) struct UdpEndpoint {
    socket: UdpSocket,
    port: u16,
    buffer: Box<[u8; MAX_DATAGRAM_LEN]>,
    /// Last time at which no datagram was waiting. What is read later arrived later.
    drained_at: Millis,
    /// Number of datagrams that the system didn't accept.
    pub(crate) unsent: u64,
}

impl UdpEndpoint {
    /// Opens a socket at `address`.
    pub(crate) async fn open(address: SocketAddrV4) -> Result<UdpEndpoint, NodeError> {
        // Before the socket is bound, no datagram can arrive.
        let drained_at = BootClock.now();
        let socket = UdpSocket::bind(address).await;
        Ok(UdpEndpoint {
            socket: socket.context(BindSnafu { address })?,
            port: address.port(),
            buffer: Box::new([0; MAX_DATAGRAM_LEN]),
            drained_at,
            unsent: 0,
        })
    }

    /// Returns the port that the socket was opened at.
    pub(crate) fn port(&self) -> u16 {
        self.port
    }

    /// Waits until a datagram can be read.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Returns the last time at which no datagram was known to wait.
    pub(crate) fn drained_at(&self) -> Millis {
        self.drained_at
    }

    /// Returns whether no datagram is waiting at `now`. It asks the system, as the runtime may not have
    /// seen what arrived while the process was paused.
    pub(crate) fn check_drained(&mut self, now: Millis) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.socket).peek(&mut byte);
        let is_drained = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        if is_drained {
            self.drained_at = now;
        }
        is_drained
    }

    /// Reads a datagram, if one is waiting at `now`. The system reports an earlier datagram that couldn't
    /// be delivered as an error of a later read, which is therefore repeated.
    pub(crate) fn receive(&mut self, now: Millis) -> Option<(&mut [u8], SocketAddrV4)> {
        loop {
            match self.socket.try_recv_from(&mut self.buffer[..]) {
                Ok((len, SocketAddr::V4(from))) => return Some((&mut self.buffer[..len], from)),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    if error.kind() != io::ErrorKind::WouldBlock {
                        debug!(%error, port = self.port, "datagram not read");
                    }
                    self.drained_at = now;
                    return None;
                }
            }
        }
    }

    /// Sends a datagram, or counts it as unsent.
    pub(crate) fn send(&mut self, bytes: &[u8], to: SocketAddrV4) {
        if self.socket.try_send_to(bytes, to.into()).is_err() {
            self.unsent += 1;
        }
    }
}
