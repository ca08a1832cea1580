//! The thread that serves flows.

use std::{
    cell::RefCell,
    future::poll_fn,
    io::IoSliceMut,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use carobdrum_control::PublishedState;
use carobdrum_core::request::{
    AdmissionController,
    RetryBudget, //
};
use carobdrum_settings::AgentSettings;
use carobdrum_telemetry::TraceContext;
use carobdrum_wire::TunnelKey;
use quinn::{
    AsyncUdpSocket,
    Endpoint,
    Incoming,
    VarInt, //
};
use snafu::ResultExt;
use tokio::{
    net::UdpSocket,
    sync::{
        mpsc,
        watch, //
    },
    task::{
        spawn_local,
        JoinSet, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tracing::{
    debug,
    info,
    warn, //
};

use super::{
    agent_error::SocketFailedSnafu,
    flow_endpoint::{
        open_endpoint,
        server_config, //
    },
    tls_files::TlsFiles,
    AgentError,
    AgentMetrics,
    AgentShared, //
};
use crate::{
    connection::{
        ControlDatagram,
        ServerConnector,
        TunnelSocket,
        TunnelState, //
    },
    request::{
        HandlerParts,
        RequestHandler,
        SharedLedger,
        SlotScheduler, //
    },
};

/// Maximum number of queued requests per slot.
const QUEUE_LEN_PER_SLOT: usize = 16;
/// Minimum capacity of the queue.
const MIN_QUEUE_LEN: usize = 64;
/// Number of unfinished handshakes above which callers must validate their address.
const MAX_UNFINISHED_HANDSHAKES: usize = 64;
/// Time limit of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a connection stays open for acknowledgements unless the caller closes it: enough for
/// several retransmissions at the round-trip times of one region.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks of the certificate files for changes.
const CERTIFICATE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between updates of the published load, which is a mean over about a second.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum length of a request's header section, in bytes.
const MAX_HEAD_LEN: u64 = 16 * 1024;
/// Error code for closing a connection without an error (RFC 9114).
const H3_NO_ERROR: VarInt = VarInt::from_u32(0x100);

pub(crate) struct TrafficParts {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: u64,
    pub(crate) key: TunnelKey,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) shared: Arc<AgentShared>,
    pub(crate) metrics: AgentMetrics,
    pub(crate) published: watch::Receiver<PublishedState>,
    pub(crate) control: mpsc::Sender<ControlDatagram>,
    pub(crate) ledger: SharedLedger,
    pub(crate) stopped: watch::Receiver<bool>,
}

/// Serves flows until the agent is stopped and its requests have ended or the drain timeout has
/// expired.
///
/// # Errors
///
/// Returns an [`AgentError`] if the tunnel socket or the certificate can't be used.
pub(crate) async fn run_traffic(parts: TrafficParts) -> Result<(), AgentError> {
    let TrafficParts {
        settings,
        incarnation,
        key,
        socket,
        shared,
        metrics,
        mut published,
        control,
        ledger,
        stopped,
    } = parts;
    let address = settings.process.address;
    let socket = UdpSocket::from_std(socket).context(SocketFailedSnafu { address })?;
    let tunnel = TunnelState::new(&key, Arc::clone(&shared), control, metrics.clone());
    let tunnel = TunnelSocket::new(Arc::new(socket), tunnel);
    let tunnel = tunnel.context(SocketFailedSnafu { address })?;
    if !wait_for_keys(&tunnel, &mut published, stopped.clone()).await {
        return Ok(());
    }
    let slots = slots_of(&published.borrow(), &settings.process.name);
    let controller = AdmissionController::builder(slots)
        .queue((slots as usize * QUEUE_LEN_PER_SLOT).max(MIN_QUEUE_LEN))
        .build();
    let slots = SlotScheduler::new(controller, Arc::clone(&shared), metrics.clone());
    let handler = RequestHandler::new(HandlerParts {
        name: settings.process.name.clone(),
        address,
        key,
        shared: Arc::clone(&shared),
        metrics: metrics.clone(),
        published: published.clone(),
        slots: Rc::clone(&slots),
        connector: ServerConnector::new(settings.server),
        ledger,
        budget: RefCell::new(RetryBudget::new(shared.clock.now())),
    });
    let files = TlsFiles::new(settings.certificate_file.clone(), settings.key_file.clone());
    let endpoint = open_endpoint(tunnel, &settings.process, incarnation, &published)?;
    let config = server_config(files.load()?, &published.borrow())?;
    endpoint.set_server_config(Some(config));
    spawn_local(refresh_load(Rc::clone(&slots)));
    spawn_local(update_slots(
        published.clone(),
        slots,
        settings.process.name.clone(),
    ));
    spawn_local(reload_certificate(
        endpoint.clone(),
        files,
        published.clone(),
    ));
    info!(%address, "agent accepts flows");
    let server = FlowServer {
        endpoint,
        handler,
        shared,
        metrics,
        published,
        stopped,
    };
    let drain = Duration::from_millis(u64::from(settings.drain_timeout_ms));
    server.run(drain).await;
    Ok(())
}

/// Waits for the first key ring. Meanwhile reads from the tunnel, so that control datagrams are
/// handled.
///
/// Returns false if the agent was stopped or the tunnel failed.
async fn wait_for_keys(
    tunnel: &TunnelSocket,
    published: &mut watch::Receiver<PublishedState>,
    mut stopped: watch::Receiver<bool>,
) -> bool {
    let mut memory = [0; 2048];
    let mut metas = [quinn::udp::RecvMeta::default()];
    let discard = async {
        loop {
            let mut buffers = [IoSliceMut::new(&mut memory)];
            let read = poll_fn(|context| tunnel.poll_recv(context, &mut buffers, &mut metas));
            if read.await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        found = published.wait_for(|state| state.keys.is_some()) => found.is_ok(),
        _ = stopped.wait_for(|stop| *stop) => false,
        () = discard => false,
    }
}

fn slots_of(state: &PublishedState, name: &str) -> u32 {
    let config = state.config.as_deref();
    let pool = config.and_then(|config| config.pools.pool_for_server(name));
    pool.map_or(0, |pool| pool.slots)
}

/// Sets the number of slots from each version that comes into force.
async fn update_slots(
    mut published: watch::Receiver<PublishedState>,
    slots: Rc<SlotScheduler>,
    name: compact_str::CompactString,
) {
    loop {
        let count = slots_of(&published.borrow_and_update(), &name);
        slots.set_slots(count);
        if published.changed().await.is_err() {
            return;
        }
    }
}

/// Updates the published load periodically, also while no request starts or ends.
async fn refresh_load(slots: Rc<SlotScheduler>) {
    let mut interval = tokio::time::interval(LOAD_UPDATE_INTERVAL);
    loop {
        interval.tick().await;
        slots.refresh();
    }
}

/// Reloads the certificate when its files or the key ring change.
async fn reload_certificate(
    endpoint: Endpoint,
    files: TlsFiles,
    mut published: watch::Receiver<PublishedState>,
) {
    let mut changed = files.modified_at();
    loop {
        let keys_changed = match timeout(CERTIFICATE_CHECK_INTERVAL, published.changed()).await {
            Ok(Ok(())) => true,
            Ok(Err(_)) => return,
            Err(_) => false,
        };
        let found = files.modified_at();
        if !keys_changed && found == changed {
            continue;
        }
        let state = published.borrow_and_update().clone();
        match files.load().and_then(|tls| server_config(tls, &state)) {
            Ok(config) => {
                changed = found;
                endpoint.set_server_config(Some(config));
            }
            Err(error) => {
                warn!(%error, "cannot reload the certificate; the previous one stays in use")
            }
        }
    }
}

/// Accepts flows and serves their requests.
struct FlowServer {
    endpoint: Endpoint,
    handler: Rc<RequestHandler>,
    shared: Arc<AgentShared>,
    metrics: AgentMetrics,
    published: watch::Receiver<PublishedState>,
    stopped: watch::Receiver<bool>,
}

impl FlowServer {
    async fn run(mut self, drain: Duration) {
        let handshakes = Rc::new(());
        let mut flows = JoinSet::new();
        loop {
            let incoming = tokio::select! {
                incoming = self.endpoint.accept() => incoming,
                _ = self.stopped.wait_for(|stop| *stop) => break,
                Some(_) = flows.join_next() => continue,
            };
            let Some(incoming) = incoming else {
                break;
            };
            self.admit(incoming, &handshakes, &mut flows);
        }
        self.drain(flows, drain).await;
    }

    /// Accepts or refuses a new flow, or asks its caller to validate the address.
    fn admit(&self, incoming: Incoming, handshakes: &Rc<()>, flows: &mut JoinSet<()>) {
        let unfinished = Rc::strong_count(handshakes) - 1;
        let unvalidated =
            unfinished > MAX_UNFINISHED_HANDSHAKES && !incoming.remote_address_validated();
        if unvalidated && incoming.may_retry() {
            self.metrics.retries_asked.inc();
            // The retry can't fail, because `may_retry` was checked.
            let _ = incoming.retry();
            return;
        }
        if !self.shared.has_room() || !self.shared.add_connection() {
            incoming.refuse();
            return;
        }
        let flow = FlowTask {
            handler: Rc::clone(&self.handler),
            shared: Arc::clone(&self.shared),
            metrics: self.metrics.clone(),
            published: self.published.clone(),
            stopped: self.stopped.clone(),
        };
        let handshake = Rc::clone(handshakes);
        flows.spawn_local(flow.serve(incoming, handshake));
    }

    /// Waits for the flows to end for at most `limit`, and refuses new ones meanwhile.
    async fn drain(self, mut flows: JoinSet<()>, limit: Duration) {
        let refuse = async {
            while let Some(incoming) = self.endpoint.accept().await {
                incoming.refuse();
            }
        };
        let ended = async { while flows.join_next().await.is_some() {} };
        let work = async {
            tokio::select! {
                () = ended => {}
                () = refuse => {}
            }
        };
        if timeout(limit, work).await.is_err() {
            warn!(
                connections = self.shared.connections(),
                "drain timeout expired"
            );
        }
        self.endpoint.close(H3_NO_ERROR, b"planned stop");
        let _ = timeout(LINGER_TIMEOUT, self.endpoint.wait_idle()).await;
    }
}

/// One flow of a caller.
struct FlowTask {
    handler: Rc<RequestHandler>,
    shared: Arc<AgentShared>,
    metrics: AgentMetrics,
    published: watch::Receiver<PublishedState>,
    stopped: watch::Receiver<bool>,
}

impl FlowTask {
    async fn serve(self, incoming: Incoming, handshake: Rc<()>) {
        let trace = TraceContext::from_flow(&incoming.orig_dst_cid());
        self.metrics
            .connections
            .set(i64::from(self.shared.connections()));
        let mut stopped = self.stopped.clone();
        let accepted = tokio::select! {
            accepted = accept(incoming) => accepted,
            // No request has arrived yet, so the caller can safely use another agent.
            _ = stopped.wait_for(|stop| *stop) => None,
        };
        if let Some(connection) = accepted {
            drop(handshake);
            self.serve_requests(connection, trace).await;
        }
        self.shared.remove_connection();
        self.metrics
            .connections
            .set(i64::from(self.shared.connections()));
    }

    async fn serve_requests(&self, connection: quinn::Connection, trace: TraceContext) {
        let mut builder = h3::server::builder();
        builder.max_field_section_size(MAX_HEAD_LEN);
        let built = builder.build(h3_quinn::Connection::new(connection.clone()));
        let mut http: h3::server::Connection<_, bytes::Bytes> = match built.await {
            Ok(http) => http,
            Err(error) => {
                debug!(%error, "HTTP/3 setup failed");
                return;
            }
        };
        let mut requests = JoinSet::new();
        let mut stopped = self.stopped.clone();
        let mut published = self.published.clone();
        let mut draining = false;
        loop {
            let resolver = tokio::select! {
                accepted = http.accept() => match accepted {
                    Ok(Some(resolver)) => resolver,
                    // The stream of requests ends after GOAWAY, once the last request has ended.
                    Ok(None) => break,
                    Err(error) => {
                        debug!(%error, "flow ended");
                        break;
                    }
                },
                _ = stopped.wait_for(|stop| *stop), if !draining => {
                    draining = true;
                    if http.shutdown(0).await.is_err() {
                        break;
                    }
                    continue;
                }
                // The flows of an evacuated data centre are closed.
                _ = published.wait_for(|state| self.shared.is_evacuated_in(state)) => {
                    connection.close(H3_NO_ERROR, b"data centre taken out");
                    break;
                }
                Some(_) = requests.join_next() => continue,
                () = sleep(LINGER_TIMEOUT), if draining && requests.is_empty() => break,
            };
            let handler = Rc::clone(&self.handler);
            let closed = connection.clone();
            requests.spawn_local(async move {
                let serving = async {
                    match resolver.resolve_request().await {
                        Ok((request, stream)) => handler.serve(request, stream, trace).await,
                        Err(error) => debug!(%error, "malformed request"),
                    }
                };
                // Requests of a closed flow are cancelled, because their responses can't be
                // delivered.
                tokio::select! {
                    () = serving => {}
                    _ = closed.closed() => {}
                }
            });
        }
        while requests.join_next().await.is_some() {}
        // While the flow is polled, new requests are rejected as not processed. Closing the flow
        // now would drop data that the caller hasn't acknowledged. A caller that has all its
        // responses closes the flow itself after GOAWAY.
        let reject = async { while let Ok(Some(_)) = http.accept().await {} };
        let _ = timeout(LINGER_TIMEOUT, async {
            tokio::join!(reject, connection.closed())
        })
        .await;
    }
}

async fn accept(incoming: Incoming) -> Option<quinn::Connection> {
    let connecting = match incoming.accept() {
        Ok(connecting) => connecting,
        Err(error) => {
            debug!(%error, "cannot accept flow");
            return None;
        }
    };
    match timeout(HANDSHAKE_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            debug!(%error, "handshake failed");
            None
        }
        Err(_) => None,
    }
}
