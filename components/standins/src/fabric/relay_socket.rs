//! Limits and options of the relay's sockets.

use socket2::SockRef;
use tokio::net::UdpSocket;

/// Largest datagram that the relay forwards, in bytes; QUIC over Ethernet needs less than 1,500.
pub(crate) const MAX_DATAGRAM: usize = 2048;

/// Receive buffer of each socket, in bytes.
///
/// The usual default of 208 KiB holds about 90 full datagrams; a burst of 300 lost 124 of them.
/// Losses that aren't injected would count as broken flows.
const RECEIVE_BUFFER_LEN: usize = 4 << 20;

/// Sets the size of the receive buffer; the relay also works with less, if the system limits it.
pub(crate) fn enlarge_receive_buffer(socket: &UdpSocket) {
    let _ = SockRef::from(socket).set_recv_buffer_size(RECEIVE_BUFFER_LEN);
}
