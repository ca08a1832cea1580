//! UDP sockets with batched receiving and segmented sending.

use std::{
    io::{
        self,
        IoSliceMut, //
    },
    net::SocketAddrV4,
};

use quinn_udp::{
    RecvMeta,
    Transmit,
    UdpSocketState, //
};
use socket2::{
    Domain,
    Protocol,
    Socket,
    Type, //
};
use tokio::{
    io::Interest,
    net::UdpSocket, //
};

/// Maximum number of messages read by one system call, low enough that they stay in the CPU cache
/// until they are forwarded.
const MESSAGES_PER_READ: usize = 8;
/// Buffer for one message, in bytes; a message may hold several datagrams of equal length.
const MESSAGE_LEN: usize = 65_536;
/// Kernel buffer per direction, in bytes; enough for a burst of a few milliseconds.
const KERNEL_BUFFER_LEN: usize = 4 << 20;

/// The messages read by one system call.
pub(crate) struct ReceiveBuffer {
    memory: Vec<u8>,
    metas: [RecvMeta; MESSAGES_PER_READ],
    filled: usize,
}

impl ReceiveBuffer {
    pub(crate) fn new() -> ReceiveBuffer {
        ReceiveBuffer {
            memory: vec![0; MESSAGE_LEN * MESSAGES_PER_READ],
            metas: [RecvMeta::default(); MESSAGES_PER_READ],
            filled: 0,
        }
    }

    /// Removes the datagrams and keeps the memory.
    pub(crate) fn clear(&mut self) {
        self.filled = 0;
    }

    /// Returns the datagrams of the last read with their sources.
    pub(crate) fn datagrams(&self) -> impl Iterator<Item = (SocketAddrV4, &[u8])> + '_ {
        let messages = self.memory.chunks(MESSAGE_LEN).zip(&self.metas);
        messages.take(self.filled).flat_map(|(bytes, meta)| {
            let source = match meta.addr {
                std::net::SocketAddr::V4(source) => Some(source),
                std::net::SocketAddr::V6(_) => None,
            };
            let stride = meta.stride.max(1);
            let datagrams = bytes[..meta.len].chunks(stride);
            datagrams.filter_map(move |datagram| Some((source?, datagram)))
        })
    }
}

/// A UDP socket of a traffic thread.
pub(crate) struct BatchSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchSocket {
    /// Opens a socket at `address`. Several threads may open the same address, unless its port is
    /// 0.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub(crate) fn open(address: SocketAddrV4) -> io::Result<BatchSocket> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_port(address.port() != 0)?;
        // The kernel may grant a smaller buffer, with which the socket still works.
        let _ = socket.set_recv_buffer_size(KERNEL_BUFFER_LEN);
        let _ = socket.set_send_buffer_size(KERNEL_BUFFER_LEN);
        socket.bind(&address.into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new((&socket).into())?;
        Ok(BatchSocket { socket, state })
    }

    /// Waits until the socket is readable.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub(crate) async fn wait(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads the datagrams that one system call returns, possibly none.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub(crate) fn read(&self, buffer: &mut ReceiveBuffer) -> io::Result<()> {
        buffer.filled = 0;
        let mut chunks = buffer.memory.chunks_mut(MESSAGE_LEN);
        let mut slices: [IoSliceMut<'_>; MESSAGES_PER_READ] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let metas = &mut buffer.metas;
        let read = self.socket.try_io(Interest::READABLE, || {
            self.state.recv((&self.socket).into(), &mut slices, metas)
        });
        match read {
            Ok(filled) => {
                buffer.filled = filled;
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Sends `contents`, split into datagrams of `segment_len` bytes if that is given. Waits while
    /// the send buffer is full.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub(crate) async fn send(
        &self,
        destination: SocketAddrV4,
        contents: &[u8],
        segment_len: Option<usize>,
    ) -> io::Result<()> {
        let transmit = Transmit {
            destination: destination.into(),
            ecn: None,
            contents,
            segment_size: segment_len,
            src_ip: None,
        };
        loop {
            let sent = self.socket.try_io(Interest::WRITABLE, || {
                self.state.try_send((&self.socket).into(), &transmit)
            });
            match sent {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.socket.writable().await?;
                }
                other => return other,
            }
        }
    }
}
