//! The thread that serves flows.

use std::{
    cell::RefCell,
    future::poll_fn,
    io::IoSliceMut,
    net::SocketAddrV4,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use carobdrum_control::PublishedState;
use carobdrum_core::{
    request::{
        AdmissionController,
        HedgeLimits,
        RetryBudget, //
    },
    Millis,
};
use carobdrum_settings::{
    AgentSettings,
    HedgeSettings, //
};
use carobdrum_wire::TunnelKey;
use quinn::{
    AsyncUdpSocket,
    Endpoint, //
};
use snafu::ResultExt;
use tokio::{
    net::UdpSocket,
    sync::{
        mpsc,
        watch, //
    },
    task::spawn_local,
    time::timeout, //
};
use tracing::{
    info,
    warn, //
};

use super::{
    agent_error::SocketFailedSnafu,
    flow_endpoint::{
        open_endpoint,
        server_config, //
    },
    flow_server::FlowServer,
    tls_files::TlsFiles,
    AgentError,
    AgentMetrics,
    AgentShared, //
};
use crate::{
    connection::{
        ControlDatagram,
        FlowTask,
        ServerConnector,
        TunnelSocket,
        TunnelState, //
    },
    request::{
        serve_agent_calls,
        AgentCall,
        HandlerParts,
        Hedging,
        HedgingParts,
        RequestHandler,
        SharedLedger,
        SlotScheduler, //
    },
};

/// Maximum number of queued requests per slot.
const QUEUE_LEN_PER_SLOT: usize = 16;
/// Minimum capacity of the queue.
const MIN_QUEUE_LEN: usize = 64;
/// Interval between checks of the certificate files for changes.
const CERTIFICATE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between updates of the published load, which is a mean over about a second.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The balancers that the agent sends heartbeats to, and the calls of other agents.
type HedgingChannels = (
    watch::Receiver<Vec<SocketAddrV4>>,
    mpsc::Receiver<AgentCall>,
);

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
    /// The balancers in use and the calls of other agents; `None` if hedging is off.
    pub(crate) hedging: Option<HedgingChannels>,
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
        hedging,
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
    let (balancers, agent_calls) = hedging.unzip();
    let hedging = balancers.map(|balancers| {
        let parts = HedgingParts {
            address,
            data_centre: settings.process.data_centre.clone(),
            key: key.clone(),
            clock: shared.clock,
            metrics: metrics.clone(),
            balancers,
        };
        Hedging::new(hedge_limits(&settings.hedging), parts)
    });
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
        hedging,
    });
    if let Some(agent_calls) = agent_calls {
        spawn_local(serve_agent_calls(Rc::clone(&handler), agent_calls));
    }
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
    let flow = FlowTask {
        handler,
        shared,
        metrics,
        published,
        stopped,
    };
    let server = FlowServer { endpoint, flow };
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

fn hedge_limits(settings: &HedgeSettings) -> HedgeLimits {
    HedgeLimits {
        percent: settings.percent,
        min_delay: Millis(u64::from(settings.min_delay_ms)),
        cross_centre: settings.cross_centre,
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
