//! UDP sockets with batched reading and segmented writing.

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

/// Messages read by one system call. Few, so that they stay in the processor's cache until they are
/// forwarded.
const MESSAGES_PER_READ: usize = 8;
/// Room for one message, which may hold many datagrams of equal length.
const MESSAGE_LEN: usize = 65_536;
/// Kernel buffer for each direction, in bytes; a burst of a few milliseconds fits.
const KERNEL_BUFFER_LEN: usize = 4 << 20;

/// Messages read by one system call.
pub(crate) struct ReceiveBuffer {
    memory: Vec<u8>,
    metas: [RecvMeta; MESSAGES_PER_READ],
    filled: usize,
}

impl ReceiveBuffer {
    /// Allocates the buffer.
    pub(crate) fn new() -> ReceiveBuffer {
        ReceiveBuffer {
            memory: vec![0; MESSAGE_LEN * MESSAGES_PER_READ],
            metas: [RecvMeta::default(); MESSAGES_PER_READ],
            filled: 0,
        }
    }

    /// Forgets the datagrams and keeps the memory.
    pub(crate) fn clear(&mut self) {
        self.filled = 0;
    }

    /// Returns the datagrams read last, with their sources.
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

/// A UDP socket on a traffic thread.
pub(crate) struct BatchSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchSocket {
    /// Opens a socket at `address`, which several threads may share.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub(crate) fn open(address: SocketAddrV4) -> io::Result<BatchSocket> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_port(address.port() != 0)?;
        // The kernel may grant less than what is asked for; that is no reason to fail.
        let _ = socket.set_recv_buffer_size(KERNEL_BUFFER_LEN);
        let _ = socket.set_send_buffer_size(KERNEL_BUFFER_LEN);
        socket.bind(&address.into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new((&socket).into())?;
        Ok(BatchSocket { socket, state })
    }

    /// Waits until datagrams may be read.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub(crate) async fn wait(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads as many datagrams as one system call gives, which may be none.
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

    /// Sends `contents`, as several datagrams if `segment_len` is given.
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
