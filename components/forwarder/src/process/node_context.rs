//! What both daemons have around their traffic thread.

use std::{
    future::Future,
    net::SocketAddrV4,
    rc::Rc,
    sync::Arc, //
};

use carobdrum_flows::version::SiteConfig;
use carobdrum_platform::OPERATOR_PREFIX;
use carobdrum_settings::{
    FlowSettings,
    NodeSettings, //
};
use carobdrum_telemetry::MetricsServer;
use prometheus_client::registry::Registry;
use snafu::ResultExt;
use tokio::{
    signal::unix::{
        signal,
        Signal,
        SignalKind, //
    },
    sync::watch,
    task::LocalSet, //
};

use super::{
    node_error::{
        MetricsSnafu,
        StartSnafu, //
    },
    site_state::{
        follow_config,
        follow_peers,
        SiteState, //
    },
    snapshot_port::serve_snapshots,
    store_watch::KeyWatcher,
    NodeError,
    NodeMetrics, //
};
use crate::connection::PeerRevision;

/// Signals, metrics and the knowledge of the site of one daemon.
pub(crate) struct NodeContext {
    /// Planned stop.
    pub(crate) stop: Signal,
    /// Changed settings.
    pub(crate) reload: Signal,
    /// What the control thread knows of the site.
    pub(crate) state: Rc<SiteState>,
    /// Where the traffic thread notes the revisions that other processes show.
    pub(crate) seen: watch::Sender<PeerRevision>,
    /// Revisions that other processes have shown.
    pub(crate) peer_revisions: watch::Receiver<PeerRevision>,
    /// Configuration for the traffic thread.
    pub(crate) in_force: watch::Receiver<Option<Arc<SiteConfig>>>,
    /// Counters of the daemon.
    pub(crate) metrics: NodeMetrics,
    _server: Option<MetricsServer>,
}

impl NodeContext {
    /// Takes the signals, and serves the metrics and the snapshots of the daemon.
    ///
    /// # Errors
    ///
    /// Returns why an address or a signal can't be had.
    pub(crate) async fn start(node: &NodeSettings) -> Result<NodeContext, NodeError> {
        let stop = signal(SignalKind::terminate()).context(StartSnafu)?;
        let reload = signal(SignalKind::hangup()).context(StartSnafu)?;
        let mut registry = Registry::default();
        let metrics = NodeMetrics::register(&mut registry);
        let server = node
            .metrics
            .map(|address| MetricsServer::spawn(address.into(), registry));
        let (seen, peer_revisions) = watch::channel(PeerRevision::default());
        let (config, in_force) = watch::channel(None);
        let state = SiteState::new(config);
        serve_snapshots(SocketAddrV4::new(node.ip, node.peer_port), state.clone()).await?;
        Ok(NodeContext {
            stop,
            reload,
            state,
            seen,
            peer_revisions,
            in_force,
            metrics,
            _server: server.transpose().context(MetricsSnafu)?,
        })
    }

    /// Follows the configuration in the store and at other processes, for as long as the daemon
    /// runs. `adjust` may change the follower of the store.
    pub(crate) fn follow_config(
        &self,
        settings: &FlowSettings,
        adjust: impl FnOnce(KeyWatcher) -> KeyWatcher,
    ) {
        let store = settings.store.address;
        let watcher = KeyWatcher::new(store, OPERATOR_PREFIX, self.peer_revisions.clone());
        let (state, peer_revisions) = (self.state.clone(), self.peer_revisions.clone());
        tokio::task::spawn_local(follow_config(
            state.clone(),
            adjust(watcher),
            peer_revisions.clone(),
        ));
        tokio::task::spawn_local(follow_peers(state, peer_revisions, settings.node.peer_port));
    }
}

/// Runs the control task of a daemon on the current thread.
///
/// # Errors
///
/// Returns why there is no runtime, or the error of the task.
pub(crate) fn run_control(
    control: impl Future<Output = Result<(), NodeError>>,
) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    LocalSet::new().block_on(&runtime, control)
}
