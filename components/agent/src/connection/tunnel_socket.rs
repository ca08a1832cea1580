//! The tunnel to balancers, as a socket for the QUIC endpoint.

use std::{
    collections::VecDeque,
    fmt,
    future::Future,
    io::{
        self,
        IoSliceMut, //
    },
    net::{
        IpAddr,
        SocketAddr,
        SocketAddrV4, //
    },
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    task::{
        ready,
        Context,
        Poll, //
    },
};

use carobdrum_wire::OVERHEAD_LEN;
use quinn::{
    AsyncUdpSocket,
    UdpPoller, //
};
use quinn_udp::{
    RecvMeta,
    Transmit,
    UdpSocketState, //
};
use tokio::{
    io::Interest,
    net::UdpSocket, //
};

use super::{
    TunnelAction, //
    TunnelState,
};

/// Buffer for one message, in bytes; a message may hold several datagrams of equal length.
const MESSAGE_LEN: usize = 65_536;
/// Maximum number of messages read by one system call.
const MESSAGES_PER_READ: usize = 8;
/// Maximum number of datagrams sent by one system call; with tunnel header and tag they stay below
/// the limit of an IP packet.
const MAX_SEGMENTS: usize = 40;

/// A caller's datagram that was read but not yet returned to the endpoint.
struct PendingDatagram {
    caller: SocketAddrV4,
    service_address: SocketAddrV4,
    message: usize,
    start: usize,
    len: usize,
}

struct ReceiveState {
    tunnel: TunnelState,
    memory: Vec<u8>,
    pending: VecDeque<PendingDatagram>,
}

/// The agent's tunnel socket. It unwraps callers' datagrams for the endpoint and wraps the
/// endpoint's datagrams for balancers.
pub(crate) struct TunnelSocket {
    socket: Arc<UdpSocket>,
    udp: UdpSocketState,
    state: Mutex<ReceiveState>,
}

impl TunnelSocket {
    /// Creates the tunnel socket on an open UDP socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket can't be configured.
    pub(crate) fn new(socket: Arc<UdpSocket>, tunnel: TunnelState) -> io::Result<TunnelSocket> {
        let udp = UdpSocketState::new((&*socket).into())?;
        let state = ReceiveState {
            tunnel,
            memory: vec![0; MESSAGE_LEN * MESSAGES_PER_READ],
            pending: VecDeque::new(),
        };
        Ok(TunnelSocket {
            socket,
            udp,
            state: Mutex::new(state),
        })
    }

    fn lock(&self) -> MutexGuard<'_, ReceiveState> {
        // A panic in another thread can't leave the state inconsistent, so a poisoned lock is
        // usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, destination: SocketAddrV4, contents: &[u8], segment: Option<usize>) {
        let transmit = Transmit {
            destination: destination.into(),
            ecn: None,
            contents,
            segment_size: segment,
            src_ip: None,
        };
        // A datagram that doesn't fit the send buffer is lost; QUIC retransmits its contents.
        let _ = self.socket.try_io(Interest::WRITABLE, || {
            self.udp.try_send((&*self.socket).into(), &transmit)
        });
    }

    /// Reads messages and handles their datagrams.
    fn read(&self, state: &mut ReceiveState) -> io::Result<()> {
        let ReceiveState {
            tunnel,
            memory,
            pending,
        } = state;
        let mut metas = [RecvMeta::default(); MESSAGES_PER_READ];
        let mut chunks = memory.chunks_mut(MESSAGE_LEN);
        let mut slices: [IoSliceMut<'_>; MESSAGES_PER_READ] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let count = self.socket.try_io(Interest::READABLE, || {
            self.udp
                .recv((&*self.socket).into(), &mut slices, &mut metas)
        })?;
        for (message, meta) in metas.iter().enumerate().take(count) {
            let SocketAddr::V4(source) = meta.addr else {
                continue;
            };
            let base = message * MESSAGE_LEN;
            let bytes = &memory[base..base + meta.len];
            for (index, datagram) in bytes.chunks(meta.stride.max(1)).enumerate() {
                match tunnel.handle(source, datagram) {
                    TunnelAction::Deliver {
                        caller,
                        service_address,
                        payload,
                    } => pending.push_back(PendingDatagram {
                        caller,
                        service_address,
                        message,
                        start: index * meta.stride + OVERHEAD_LEN - carobdrum_wire::TAG_LEN,
                        len: payload.len(),
                    }),
                    TunnelAction::Reply(peer) => self.send(peer, &tunnel.outgoing, None),
                    TunnelAction::Done => {}
                }
            }
        }
        Ok(())
    }
}

impl fmt::Debug for TunnelSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TunnelSocket")
            .field("socket", &self.socket)
            .finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for TunnelSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: Arc::clone(&self.socket),
            pending: None,
        })
    }

    fn try_send(&self, transmit: &quinn::udp::Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Ok(());
        };
        let Some(IpAddr::V4(service_ip)) = transmit.src_ip else {
            return Ok(());
        };
        let len = transmit.segment_size.unwrap_or(transmit.contents.len());
        let mut state = self.lock();
        let tunnel = &mut state.tunnel;
        let Some(balancer) = tunnel.seal_response(caller, service_ip, transmit.contents, len)
        else {
            return Ok(());
        };
        let sealed = Transmit {
            destination: balancer.into(),
            ecn: None,
            contents: &tunnel.outgoing,
            segment_size: transmit.segment_size.map(|len| len + OVERHEAD_LEN),
            src_ip: None,
        };
        self.socket.try_io(Interest::WRITABLE, || {
            self.udp.try_send((&*self.socket).into(), &sealed)
        })
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        metas: &mut [quinn::udp::RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        loop {
            let filled = fill_buffers(&mut state, buffers, metas);
            if filled > 0 {
                return Poll::Ready(Ok(filled));
            }
            ready!(self.socket.poll_recv_ready(context))?;
            match self.read(&mut state) {
                Ok(()) => {}
                // An unreachable peer can cause an error on the next read; the socket remains
                // usable.
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => {
                    tracing::debug!(%error, "cannot read tunnel datagrams");
                }
                Err(_) => {}
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.udp.max_gso_segments().min(MAX_SEGMENTS)
    }

    fn may_fragment(&self) -> bool {
        self.udp.may_fragment()
    }
}

/// Copies pending datagrams to the endpoint's buffers and returns how many buffers were filled.
fn fill_buffers(
    state: &mut ReceiveState,
    buffers: &mut [IoSliceMut<'_>],
    metas: &mut [quinn::udp::RecvMeta],
) -> usize {
    let mut filled = 0;
    while filled < buffers.len() {
        let Some(datagram) = state.pending.pop_front() else {
            break;
        };
        let start = datagram.message * MESSAGE_LEN + datagram.start;
        let payload = &state.memory[start..start + datagram.len];
        let Some(buffer) = buffers[filled].get_mut(..datagram.len) else {
            // Callers are told the maximum length, so a longer datagram is dropped.
            continue;
        };
        buffer.copy_from_slice(payload);
        metas[filled] = quinn::udp::RecvMeta {
            addr: datagram.caller.into(),
            len: datagram.len,
            stride: datagram.len,
            ecn: None,
            dst_ip: Some(IpAddr::V4(*datagram.service_address.ip())),
        };
        filled += 1;
    }
    filled
}

type WritableFuture = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits until the tunnel socket is writable. Each connection has its own poller, so that none
/// consumes another's wake-up.
struct WritePoller {
    socket: Arc<UdpSocket>,
    pending: Option<WritableFuture>,
}

impl fmt::Debug for WritePoller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WritePoller")
            .finish_non_exhaustive()
    }
}

impl UdpPoller for WritePoller {
    fn poll_writable(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = Arc::clone(&self.socket);
        let pending = self
            .pending
            .get_or_insert_with(|| Box::pin(async move { socket.writable().await }));
        let result = ready!(pending.as_mut().poll(context));
        self.pending = None;
        Poll::Ready(result)
    }
}
