//! The socket that stands for one caller towards the balancers.

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
    service_port::{
        widen_buffer,
        MAX_DATAGRAM, //
    },
    task_guard::TaskGuard,
};

/// Pause after a failed receive, so that a lasting failure causes no busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The socket that stands for one caller at one service address, with the task that returns what
/// arrives on it.
///
/// A socket of its own for each service address keeps answers apart when two service addresses
/// have the same port.
pub(crate) struct CallerPort {
    pub(crate) caller: SocketAddrV4,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) last_use: Instant,
    shared: Arc<RelayShared>,
    _task: TaskGuard,
}

impl CallerPort {
    /// Opens a socket for `caller`, unless the bound is reached or the system has none left.
    pub(crate) async fn open(
        shared: &Arc<RelayShared>,
        service_socket: &Arc<UdpSocket>,
        caller: SocketAddrV4,
        service: SocketAddrV4,
    ) -> Option<CallerPort> {
        if !shared.enter_caller() {
            return None;
        }
        let bound = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let Ok(socket) = bound.map(Arc::new) else {
            shared.leave_caller();
            return None;
        };
        widen_buffer(&socket);
        let answers = return_answers(
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
            _task: TaskGuard::spawn(answers),
        })
    }
}

impl Drop for CallerPort {
    fn drop(&mut self) {
        self.shared.leave_caller();
    }
}

/// Sends what arrives on the caller's socket to the caller, from the service address.
async fn return_answers(
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
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        let path = RelayPath {
            caller,
            service,
            balancer: *source.ip(),
        };
        let copies = shared.faults().judge(path, &mut rng);
        let direction = RelayDirection::ToCaller;
        let datagram = &buffer[..len];
        shared
            .deliver(&service_socket, datagram, caller, copies, direction)
            .await;
    }
}
