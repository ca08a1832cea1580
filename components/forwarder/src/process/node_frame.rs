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
    site_hub::{
        follow_peers,
        follow_rules,
        SiteHub, //
    },
    snapshot_port::serve_snapshots,
    store_watch::KeyFollower,
    NodeError,
    NodeMetrics, //
};
use crate::connection::RevisionSight;

/// Signals, metrics and the knowledge of the site of one daemon.
pub(crate) struct NodeFrame {
    /// Planned stop.
    pub(crate) stop: Signal,
    /// Changed settings.
    pub(crate) reload: Signal,
    /// What the control thread knows of the site.
    pub(crate) hub: Rc<SiteHub>,
    /// Where the traffic thread notes the revisions that other processes show.
    pub(crate) seen: watch::Sender<RevisionSight>,
    /// Revisions that other processes have shown.
    pub(crate) sights: watch::Receiver<RevisionSight>,
    /// Configuration for the traffic thread.
    pub(crate) in_force: watch::Receiver<Option<Arc<SiteConfig>>>,
    /// Counters of the daemon.
    pub(crate) metrics: NodeMetrics,
    _server: Option<MetricsServer>,
}

impl NodeFrame {
    /// Takes the signals, and serves the metrics and the snapshots of the daemon.
    ///
    /// # Errors
    ///
    /// Returns why an address or a signal can't be had.
    pub(crate) async fn start(node: &NodeSettings) -> Result<NodeFrame, NodeError> {
        let stop = signal(SignalKind::terminate()).context(StartSnafu)?;
        let reload = signal(SignalKind::hangup()).context(StartSnafu)?;
        let mut registry = Registry::default();
        let metrics = NodeMetrics::register(&mut registry);
        let server = node
            .metrics
            .map(|address| MetricsServer::spawn(address.into(), registry));
        let (seen, sights) = watch::channel(RevisionSight::default());
        let (rules, in_force) = watch::channel(None);
        let hub = SiteHub::new(rules);
        serve_snapshots(SocketAddrV4::new(node.ip, node.peer_port), hub.clone()).await?;
        Ok(NodeFrame {
            stop,
            reload,
            hub,
            seen,
            sights,
            in_force,
            metrics,
            _server: server.transpose().context(MetricsSnafu)?,
        })
    }

    /// Follows the configuration in the store and at other processes, for as long as the daemon
    /// runs. `adjust` may change the follower of the store.
    pub(crate) fn follow_rules(
        &self,
        settings: &FlowSettings,
        adjust: impl FnOnce(KeyFollower) -> KeyFollower,
    ) {
        let store = settings.store.address;
        let follower = KeyFollower::new(store, OPERATOR_PREFIX, self.sights.clone());
        let (hub, sights) = (self.hub.clone(), self.sights.clone());
        tokio::task::spawn_local(follow_rules(hub.clone(), adjust(follower), sights.clone()));
        tokio::task::spawn_local(follow_peers(hub, sights, settings.node.peer_port));
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
