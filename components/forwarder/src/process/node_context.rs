//! Parts that both daemons have in common.

use std::{
    future::Future,
    net::SocketAddrV4,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use carobdrum_control::spawn_thread;
use carobdrum_core::Millis;
use carobdrum_flows::version::SiteConfig;
use carobdrum_platform::{
    StoreEndpoint,
    StoreEra,
    OPERATOR_PREFIX, //
};
use carobdrum_settings::{
    FlowSettings,
    LeaseStoreSettings,
    NodeSettings, //
};
use carobdrum_telemetry::MetricsServer;
use prometheus_client::registry::Registry;
use snafu::{
    OptionExt,
    ResultExt, //
};
use tokio::{
    signal::unix::{
        signal,
        Signal,
        SignalKind, //
    },
    sync::{
        oneshot,
        watch, //
    },
    task::LocalSet, //
};

use super::{
    config_tasks::{
        follow_balancers,
        follow_config,
        follow_peers, //
    },
    node_error::{
        MetricsSnafu,
        StartSnafu,
        TrafficEndedSnafu, //
    },
    site_state::SiteState,
    snapshot_port::serve_snapshots,
    store_watch::KeyWatcher,
    NodeError,
    NodeMetrics, //
};
use crate::connection::{
    PeerRevision,
    PeerRevisions, //
};

/// Share of the time within which a change has to be in force that a lost response to a watch may go unnoticed. The
/// rest is left for reading the keys and passing them on.
const WATCH_SHARE: f64 = 0.8;

/// Time for which the store may lag behind a peer before the configuration is fetched from that
/// peer. It exceeds the delay between two watches, in which every process may lag behind briefly.
const LAG_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Signals, metrics and site state of a daemon.
pub(crate) struct NodeContext {
    /// Signal for a graceful shutdown.
    pub(crate) stop: Signal,
    /// Signal to read the settings again.
    pub(crate) reload: Signal,
    /// The configuration in force and the agents, as the control thread knows them.
    pub(crate) state: Rc<SiteState>,
    /// Era of the store, which all its clients share.
    pub(crate) era: Arc<StoreEra>,
    /// Publishes the revisions of other processes; used by the traffic thread.
    pub(crate) peers: PeerRevisions,
    /// Receives the highest revision of another process.
    pub(crate) peer_revisions: watch::Receiver<PeerRevision>,
    /// Receives the configuration in force, for the traffic thread.
    pub(crate) in_force: watch::Receiver<Option<Arc<SiteConfig>>>,
    /// Number of outages of the store that have ended, as the watcher of the configuration counts them.
    pub(crate) recoveries: watch::Sender<u64>,
    /// Metrics of the daemon.
    pub(crate) metrics: NodeMetrics,
    _server: Option<MetricsServer>,
}

impl NodeContext {
    /// Installs the signal handlers, and serves the metrics and snapshots of the daemon.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] if an address can't be bound, or if a signal handler or the metrics
    /// server can't be started.
    pub(crate) async fn start(node: &NodeSettings) -> Result<NodeContext, NodeError> {
        let stop = signal(SignalKind::terminate()).context(StartSnafu)?;
        let reload = signal(SignalKind::hangup()).context(StartSnafu)?;
        let mut registry = Registry::default();
        let metrics = NodeMetrics::register(&mut registry);
        let server = node
            .metrics
            .map(|address| MetricsServer::spawn(address.into(), registry));
        let era: Arc<StoreEra> = Arc::default();
        let peers = PeerRevisions::new(era.clone());
        let (config, in_force) = watch::channel(None);
        let state = SiteState::new(config, era.clone(), flow_lifetime(node));
        serve_snapshots(SocketAddrV4::new(node.ip, node.peer_port), state.clone()).await?;
        Ok(NodeContext {
            stop,
            reload,
            state,
            era,
            peer_revisions: peers.subscribe(),
            peers,
            in_force,
            recoveries: watch::channel(0).0,
            metrics,
            _server: server.transpose().context(MetricsSnafu)?,
        })
    }

    /// Returns the store, with the era that all its clients share.
    pub(crate) fn store(&self, settings: &FlowSettings) -> StoreEndpoint {
        StoreEndpoint {
            address: settings.store.address,
            era: self.era.clone(),
        }
    }

    /// Spawns the tasks that follow the configuration of a balancer in the store and at peers.
    pub(crate) fn follow_config(&self, settings: &FlowSettings) {
        let store = self.store(settings);
        let watcher = KeyWatcher::new(store, OPERATOR_PREFIX, self.peer_revisions.clone())
            .limited_to(watch_limit(&settings.store))
            .count_recoveries(self.recoveries.clone());
        let (state, peer_revisions) = (self.state.clone(), self.peer_revisions.clone());
        tokio::task::spawn_local(follow_config(
            state.clone(),
            watcher.urgent(),
            peer_revisions.clone(),
        ));
        let port = settings.node.peer_port;
        tokio::task::spawn_local(follow_peers(state, peer_revisions, port, LAG_TIMEOUT));
    }

    /// Spawns the task that follows the configuration of the balancers that send to an agent.
    pub(crate) fn follow_balancers(&self, settings: &FlowSettings) {
        tokio::task::spawn_local(follow_balancers(
            self.state.clone(),
            self.peer_revisions.clone(),
            settings.node.peer_port,
            self.store(settings),
        ));
    }
}

/// Returns the time within which a lost response to a watch has to be noticed, so that a change that it would have shown
/// is in force in time.
fn watch_limit(store: &LeaseStoreSettings) -> Duration {
    let apply = Duration::from_secs_f64(store.config_apply_ms / 1_000.0);
    apply.mul_f64(WATCH_SHARE)
}

/// Returns the longest lifetime of a flow.
pub(crate) fn flow_lifetime(node: &NodeSettings) -> Millis {
    Millis((node.flow_lifetime_s * 1_000.0) as u64)
}

/// Runs the control task of a daemon on the current thread.
///
/// # Errors
///
/// Returns [`NodeError::Start`] if the runtime can't be created, or the error of the task.
pub(crate) fn run_control(
    control: impl Future<Output = Result<(), NodeError>>,
) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    LocalSet::new().block_on(&runtime, control)
}

/// Spawns the traffic thread of a daemon, which runs `run` with what `open` returns, and waits until `open`
/// has ended. A daemon whose sockets are open when it is ready loses no packet.
///
/// # Errors
///
/// Returns [`NodeError::Start`] if the thread can't be started, and [`NodeError::TrafficEnded`] if
/// `open` fails.
pub(crate) async fn spawn_traffic<T, O, R>(
    open: impl FnOnce() -> O + Send + 'static,
    run: impl FnOnce(T) -> R + Send + 'static,
) -> Result<(), NodeError>
where
    O: Future<Output = Result<T, NodeError>>,
    R: Future<Output = Result<(), NodeError>>,
{
    let (sender, opened) = oneshot::channel();
    let work = move || async move {
        let traffic = open().await?;
        // The control thread may have ended.
        let _ = sender.send(());
        run(traffic).await
    };
    spawn_thread("traffic", work).context(StartSnafu)?;
    opened.await.ok().context(TrafficEndedSnafu)
}
