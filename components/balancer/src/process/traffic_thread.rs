//! A thread that forwards datagrams.

use std::{
    cell::RefCell,
    io,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    rc::Rc,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use carobdrum_core::version::ServiceId;
use carobdrum_wire::TunnelKey;
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    task::{
        spawn_local,
        AbortHandle, //
    },
};
use tracing::{
    debug,
    warn, //
};

use super::traffic_state::TrafficState;
use crate::{
    connection::{
        BatchSocket,
        DropReason,
        ReceiveBuffer,
        SendBatch,
        SOURCE_PORTS, //
    },
    process::BalancerMetrics,
    ForwardPlan,
};

/// Addresses at which a traffic thread opens its sockets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrafficAddresses {
    /// IP address of the tunnel sockets.
    pub(crate) tunnel_ip: Ipv4Addr,
    /// IP address at which the service ports are opened; `None` means the IP addresses of the
    /// services.
    pub(crate) listen_ip: Option<Ipv4Addr>,
}

/// A service address that is open on this thread.
struct OpenService {
    address: SocketAddrV4,
    service: ServiceId,
    socket: Rc<BatchSocket>,
    task: AbortHandle,
}

/// State shared by the tasks of one traffic thread. No task holds a borrow across an await point.
struct TrafficShared {
    state: RefCell<TrafficState>,
    services: RefCell<Vec<OpenService>>,
    /// Unused receive buffers. They are large, so a task holds one only while it handles datagrams.
    buffers: RefCell<Vec<ReceiveBuffer>>,
    /// Tunnel sockets, one per source port.
    tunnels: Vec<BatchSocket>,
    metrics: BalancerMetrics,
}

/// Forwards datagrams until the sender of `plans` is dropped.
///
/// # Errors
///
/// Returns the error of a tunnel socket that can't be opened.
pub(crate) async fn run_traffic(
    state: TrafficState,
    addresses: TrafficAddresses,
    metrics: BalancerMetrics,
    mut plans: watch::Receiver<Arc<ForwardPlan>>,
) -> io::Result<()> {
    let tunnels = (0..SOURCE_PORTS)
        .map(|_| BatchSocket::open(SocketAddrV4::new(addresses.tunnel_ip, 0)))
        .collect::<io::Result<Vec<_>>>()?;
    let shared = Rc::new(TrafficShared {
        state: RefCell::new(state),
        services: RefCell::new(Vec::new()),
        buffers: RefCell::new(Vec::new()),
        tunnels,
        metrics,
    });
    let responses: Vec<_> = (0..SOURCE_PORTS)
        .map(|port| spawn_local(forward_responses(Rc::clone(&shared), port)))
        .collect();
    loop {
        let plan = Arc::clone(&plans.borrow_and_update());
        shared.open_services(&plan, addresses.listen_ip);
        shared.state.borrow_mut().set_plan(plan);
        if plans.changed().await.is_err() {
            break;
        }
    }
    for task in responses {
        task.abort();
    }
    for service in shared.services.borrow().iter() {
        service.task.abort();
    }
    Ok(())
}

impl TrafficShared {
    /// Opens the service addresses of `plan` that aren't open yet, and closes those that aren't in
    /// `plan`.
    fn open_services(self: &Rc<Self>, plan: &ForwardPlan, listen_ip: Option<Ipv4Addr>) {
        let mut services = self.services.borrow_mut();
        services.retain(|open| {
            let kept = plan.service_at(open.address) == Some(open.service);
            if !kept {
                open.task.abort();
            }
            kept
        });
        for entry in &plan.addresses {
            if services.iter().any(|open| open.address == entry.address) {
                continue;
            }
            let ip = listen_ip.unwrap_or(*entry.address.ip());
            let local = SocketAddrV4::new(ip, entry.address.port());
            match BatchSocket::open(local) {
                Ok(socket) => {
                    let socket = Rc::new(socket);
                    let task = spawn_local(forward_callers(
                        Rc::clone(self),
                        Rc::clone(&socket),
                        entry.address,
                        entry.service,
                    ));
                    services.push(OpenService {
                        address: entry.address,
                        service: entry.service,
                        socket,
                        task: task.abort_handle(),
                    });
                }
                Err(error) => warn!(address = %local, %error, "cannot open service address"),
            }
        }
        services.sort_by_key(|open| open.address);
    }

    fn take_buffer(&self) -> ReceiveBuffer {
        let spare = self.buffers.borrow_mut().pop();
        spare.unwrap_or_else(ReceiveBuffer::new)
    }

    fn socket_of(&self, address: SocketAddrV4) -> Option<Rc<BatchSocket>> {
        let services = self.services.borrow();
        let found = services.binary_search_by_key(&address, |open| open.address);
        found.ok().map(|index| Rc::clone(&services[index].socket))
    }

    /// Sends the datagrams of `batch` to callers, each group from its service address.
    async fn send_responses(&self, batch: &mut SendBatch) {
        // The groups refer to addresses by their index in the plan with which the datagrams were
        // handled, and a newer plan may be set while this task waits.
        let plan = Arc::clone(self.state.borrow().plan());
        for (index, caller, bytes, segment_len) in batch.groups() {
            let address = plan.address_at(index);
            let Some(socket) = address.and_then(|address| self.socket_of(address)) else {
                self.metrics.drop(DropReason::NoAddress);
                continue;
            };
            self.send(&socket, caller, bytes, segment_len).await;
        }
        batch.clear();
    }

    /// Sends the datagrams of `batch` to agents.
    async fn send_tunnel(&self, batch: &mut SendBatch) {
        for (port, agent, bytes, segment_len) in batch.groups() {
            self.send(&self.tunnels[usize::from(port)], agent, bytes, segment_len)
                .await;
        }
        batch.clear();
    }

    async fn send(
        &self,
        socket: &BatchSocket,
        destination: SocketAddrV4,
        bytes: &[u8],
        segment_len: Option<usize>,
    ) {
        if let Err(error) = socket.send(destination, bytes, segment_len).await {
            debug!(%destination, %error, "cannot send datagrams");
            self.metrics.drop(DropReason::SendFailed);
        }
    }
}

/// Forwards the datagrams that callers send to one service address.
async fn forward_callers(
    shared: Rc<TrafficShared>,
    socket: Rc<BatchSocket>,
    address: SocketAddrV4,
    service: ServiceId,
) {
    let mut tunnel = SendBatch::default();
    let mut resets = SendBatch::default();
    loop {
        let mut buffer = match read_batch(&shared, &socket).await {
            Some(buffer) => buffer,
            None => continue,
        };
        for (caller, packet) in buffer.datagrams() {
            shared.state.borrow_mut().handle_caller(
                address,
                service,
                caller,
                packet,
                &mut tunnel,
                &mut resets,
            );
            if tunnel.is_full() {
                shared.send_tunnel(&mut tunnel).await;
            }
        }
        buffer.clear();
        shared.buffers.borrow_mut().push(buffer);
        shared.send_tunnel(&mut tunnel).await;
        for (_, caller, bytes, segment_len) in resets.groups() {
            shared.send(&socket, caller, bytes, segment_len).await;
        }
        resets.clear();
    }
}

/// Forwards the responses that agents send to one source port.
async fn forward_responses(shared: Rc<TrafficShared>, port: u16) {
    let mut responses = SendBatch::default();
    loop {
        let mut buffer = match read_batch(&shared, &shared.tunnels[usize::from(port)]).await {
            Some(buffer) => buffer,
            None => continue,
        };
        for (source, datagram) in buffer.datagrams() {
            shared
                .state
                .borrow_mut()
                .handle_tunnel(port, source, datagram, &mut responses);
            if responses.is_full() {
                shared.send_responses(&mut responses).await;
            }
        }
        buffer.clear();
        shared.buffers.borrow_mut().push(buffer);
        shared.send_responses(&mut responses).await;
    }
}

/// Waits for datagrams and reads them into a buffer of the thread. Returns `None` if waiting
/// failed.
async fn read_batch(shared: &TrafficShared, socket: &BatchSocket) -> Option<ReceiveBuffer> {
    if let Err(error) = socket.wait().await {
        warn!(%error, "cannot wait for datagrams");
        return None;
    }
    shared.state.borrow_mut().set_time();
    let mut buffer = shared.take_buffer();
    if let Err(error) = socket.read(&mut buffer) {
        // An unreachable peer can cause an error on the next read; the socket remains usable.
        debug!(%error, "cannot read datagrams");
    }
    Some(buffer)
}

/// Forwards with a fixed plan on the calling thread until `stop` is set. For benchmarks.
///
/// # Errors
///
/// Returns the error of a socket that can't be opened.
#[doc(hidden)]
pub fn forward_for_benchmark(
    plan: ForwardPlan,
    tunnel_ip: Ipv4Addr,
    stop: &AtomicBool,
) -> io::Result<()> {
    const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
    let (notice_sender, _notice_receiver) = mpsc::channel(1);
    let metrics = BalancerMetrics::default();
    let key = TunnelKey::new(&[0; 32]);
    let state = TrafficState::new(&key, 1, metrics.clone(), notice_sender);
    let (plans, watched) = watch::channel(Arc::new(plan));
    let addresses = TrafficAddresses {
        tunnel_ip,
        listen_ip: None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let watch_stop = async {
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    let work = async {
        tokio::select! {
            ended = run_traffic(state, addresses, metrics, watched) => ended,
            () = watch_stop => Ok(()),
        }
    };
    let ended = tokio::task::LocalSet::new().block_on(&runtime, work);
    drop(plans);
    ended
}
