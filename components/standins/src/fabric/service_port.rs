//! The socket of one service address.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration,
};

use rand::rngs::SmallRng;
use snafu::ResultExt;
use tokio::{
    net::UdpSocket,
    time::Instant, //
};

use super::{
    caller_port::CallerPort,
    relay_faults::RelayPath,
    relay_shared::{
        RelayDirection,
        RelayShared, //
    },
    relay_socket::{
        enlarge_receive_buffer,
        MAX_DATAGRAM, //
    },
};
use crate::{
    standin_error::BindSnafu,
    StandinError, //
};

/// Longest interval of the check for idle callers.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Binds the socket of a service address and returns it with its address, whose port is never 0.
///
/// # Errors
///
/// Returns [`StandinError::Bind`] if the address can't be bound.
pub(crate) fn bind_service(
    address: SocketAddrV4,
) -> Result<(Arc<UdpSocket>, SocketAddrV4), StandinError> {
    let context = BindSnafu { address };
    let socket = std::net::UdpSocket::bind(address).context(context)?;
    socket.set_nonblocking(true).context(context)?;
    let socket = UdpSocket::from_std(socket).context(context)?;
    enlarge_receive_buffer(&socket);
    let bound = match socket.local_addr().context(context)? {
        SocketAddr::V4(bound) => bound,
        SocketAddr::V6(_) => address,
    };
    Ok((Arc::new(socket), bound))
}

/// Forwards datagrams of callers to balancers, until the task is aborted.
pub(crate) async fn run_service(
    shared: Arc<RelayShared>,
    socket: Arc<UdpSocket>,
    address: SocketAddrV4,
) {
    let mut port = ServicePort {
        rng: shared.task_rng(),
        shared,
        socket,
        address,
        callers: Vec::new(),
    };
    let interval =
        (port.shared.idle_timeout() / 4).clamp(Duration::from_millis(1), MAX_SWEEP_INTERVAL);
    let mut sweep = tokio::time::interval(interval);
    let mut buffer = [0; MAX_DATAGRAM];
    let socket = Arc::clone(&port.socket);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, SocketAddr::V4(caller))) = received {
                    port.forward(caller, &buffer[..len]).await;
                }
            }
            _ = sweep.tick() => port.close_idle(),
        }
    }
}

/// State of one service address; `callers` is sorted by address.
struct ServicePort {
    shared: Arc<RelayShared>,
    socket: Arc<UdpSocket>,
    address: SocketAddrV4,
    callers: Vec<CallerPort>,
    rng: SmallRng,
}

impl ServicePort {
    async fn forward(&mut self, caller: SocketAddrV4, datagram: &[u8]) {
        self.shared.observe(caller, datagram);
        let Some(at) = self.caller_index(caller).await else {
            self.shared.count_dropped();
            return;
        };
        let (balancer, copies) = {
            let faults = self.shared.faults();
            let Some(balancer) = faults.pick_balancer(&mut self.rng) else {
                return;
            };
            let path = RelayPath {
                caller,
                service: self.address,
                balancer,
            };
            (balancer, faults.decide_copies(path, &mut self.rng))
        };
        let target = SocketAddrV4::new(balancer, self.address.port());
        let socket = &self.callers[at].socket;
        self.shared
            .deliver(socket, datagram, target, copies, RelayDirection::ToBalancer)
            .await;
    }

    /// Returns the index of the caller's socket, which is opened for a new caller; `None` if that
    /// fails.
    async fn caller_index(&mut self, caller: SocketAddrV4) -> Option<usize> {
        match self
            .callers
            .binary_search_by_key(&caller, |port| port.caller)
        {
            Ok(at) => {
                self.callers[at].last_use = Instant::now();
                Some(at)
            }
            Err(at) => {
                let opened = CallerPort::open(&self.shared, &self.socket, caller, self.address);
                self.callers.insert(at, opened.await?);
                Some(at)
            }
        }
    }

    fn close_idle(&mut self) {
        let idle_timeout = self.shared.idle_timeout();
        self.callers
            .retain(|port| port.last_use.elapsed() < idle_timeout);
    }
}
