//! The socket that represents one caller to the balancers.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    time::Instant, //
};

use super::{
    relay_faults::RelayPath,
    relay_shared::{
        RelayDirection,
        RelayShared, //
    },
    relay_socket::{
        enlarge_receive_buffer,
        MAX_DATAGRAM, //
    },
    task_guard::TaskGuard,
};

/// Pause after a failed receive, so that a persistent failure causes no busy loop.
const ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// The socket that represents one caller at one service address, and the task that relays
/// datagrams from it back to the caller.
///
/// A separate socket for each service address keeps responses apart when two service addresses
/// have the same port.
pub(crate) struct CallerPort {
    pub(crate) caller: SocketAddrV4,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) last_use: Instant,
    shared: Arc<RelayShared>,
    _task: TaskGuard,
}

impl CallerPort {
    /// Opens a socket for `caller`; `None` if the limit is reached or the system can't bind one.
    pub(crate) async fn open(
        shared: &Arc<RelayShared>,
        service_socket: &Arc<UdpSocket>,
        caller: SocketAddrV4,
        service: SocketAddrV4,
    ) -> Option<CallerPort> {
        if !shared.reserve_caller() {
            return None;
        }
        let bound = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let Ok(socket) = bound.map(Arc::new) else {
            shared.release_caller();
            return None;
        };
        enlarge_receive_buffer(&socket);
        let responses = relay_responses(
            Arc::clone(shared),
            Arc::clone(&socket),
            Arc::clone(service_socket),
            (caller, service),
        );
        Some(CallerPort {
            caller,
            socket,
            last_use: Instant::now(),
            shared: Arc::clone(shared),
            _task: TaskGuard::spawn(responses),
        })
    }
}

impl Drop for CallerPort {
    fn drop(&mut self) {
        self.shared.release_caller();
    }
}

/// Relays datagrams that arrive on the caller's socket to the caller, from the service address.
async fn relay_responses(
    shared: Arc<RelayShared>,
    socket: Arc<UdpSocket>,
    service_socket: Arc<UdpSocket>,
    (caller, service): (SocketAddrV4, SocketAddrV4),
) {
    let mut rng = shared.task_rng();
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let (len, source) = match socket.recv_from(&mut buffer).await {
            Ok((len, SocketAddr::V4(source))) => (len, source),
            _ => {
                tokio::time::sleep(ERROR_BACKOFF).await;
                continue;
            }
        };
        let path = RelayPath {
            caller,
            service,
            balancer: *source.ip(),
        };
        let copies = shared.faults().decide_copies(path, &mut rng);
        let direction = RelayDirection::ToCaller;
        let datagram = &buffer[..len];
        shared
            .deliver(&service_socket, datagram, caller, copies, direction)
            .await;
    }
}
