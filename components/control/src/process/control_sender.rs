//! Sending of control datagrams.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::Arc,
};

use carobdrum_wire::{
    control::ControlBody,
    ControlMessage,
    DatagramKind,
    TunnelHeader,
    TunnelKey,
    TunnelSealer, //
};
use prost::Message;
use tokio::net::UdpSocket;

/// Encrypts, authenticates and sends the control datagrams of one process.
pub struct ControlSender {
    socket: Arc<UdpSocket>,
    sealer: TunnelSealer,
    control_port: u16,
    buffer: Vec<u8>,
}

impl ControlSender {
    /// Creates a sender with a random sender ID.
    pub fn new(key: &TunnelKey, socket: Arc<UdpSocket>, control_port: u16) -> ControlSender {
        ControlSender {
            socket,
            sealer: TunnelSealer::new(key, rand::random()),
            control_port,
            buffer: Vec::new(),
        }
    }

    /// Sends `body` to the control address `peer` and returns the length of the datagram in bytes.
    /// `version` is the number of the version in force.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket. If its send buffer is full, the datagram isn't sent.
    pub fn send(
        &mut self,
        peer: SocketAddrV4,
        version: u32,
        body: ControlBody,
    ) -> io::Result<usize> {
        let header = TunnelHeader {
            version,
            control_port: self.control_port,
            ..TunnelHeader::new(DatagramKind::Control)
        };
        let payload = ControlMessage::new(body).encode_to_vec();
        self.buffer.clear();
        self.sealer.seal(&header, &payload, &mut self.buffer);
        self.socket.try_send_to(&self.buffer, SocketAddr::V4(peer))
    }
}
