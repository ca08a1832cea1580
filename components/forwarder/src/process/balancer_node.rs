//! Balancer daemon.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        MemberUpdate,
        RegisteredMembers,
        RegistrationCleanup, //
    },
    FlowRouter,
    RouterOptions, //
};
use carobdrum_platform::{
    NodeRequest, //
    AGENT_PREFIX,
};
use carobdrum_settings::NodeSettings;
use http::StatusCode;
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::sleep, //
};
use tracing::info;

use super::{
    absence_marker::{
        mark_absent_agents,
        MARK_DELAY, //
    },
    agent_events::{
        AgentEvents,
        ReadRegistrations, //
    },
    config_tasks::query_peers,
    handed_over_task::delete_handed_over,
    http_port::serve_requests,
    node_context::{
        run_control,
        spawn_traffic,
        NodeContext, //
    },
    node_error::TrafficEndedSnafu,
    node_metrics::NodeMetrics,
    registration_cleaner::clean_registrations,
    settings_file::SettingsFile,
    site_state::SiteState,
    store_watch::{
        KeyEvent,
        KeyWatcher,
        WatchProgress, //
    },
    NodeError, //
};
use crate::connection::{
    BalancerTraffic,
    BalancerUpdate,
    PeerRevision, //
};

/// Capacity of the queue of updates for the traffic thread.
const UPDATE_QUEUE: usize = 64;

/// Capacity of the queue of deletions that agents have handed over.
const DELETION_QUEUE: usize = 64;

/// Time within which a lost response to the watch of the agents is noticed, unless the watch of the configuration shows the
/// outage sooner. Agents answer for their servers, so a balancer that knows of a change late costs a hop.
const MEMBER_WATCH_LIMIT: Duration = Duration::from_secs(10);

/// Time to wait for the store at the start, and between rounds, before peers are queried.
const PEER_QUERY_DELAY: Duration = Duration::from_millis(300);

/// Time for which a balancer continues to forward after it reports that it is not ready. The
/// platform polls the readiness twice a second and acts on the second such response.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Runs a balancer until the process gets a termination signal.
///
/// # Errors
///
/// Returns [`NodeError`] if a socket can't be bound, if a signal handler, thread or metrics server
/// can't be started, or if the traffic thread ends early.
pub fn run_balancer(settings: SettingsFile) -> Result<(), NodeError> {
    run_control(control(settings))
}

async fn control(mut file: SettingsFile) -> Result<(), NodeError> {
    let settings = file.current().clone();
    let node = &settings.node;
    info!(name = %node.name, centre = %node.data_centre, "balancer starting");
    let mut context = NodeContext::start(node).await?;
    let (updates, receiver) = mpsc::channel(UPDATE_QUEUE);
    let traffic_updates = updates.clone();
    let packets = node.packets;
    let address = SocketAddrV4::new(node.ip, node.peer_port);
    let mut router = FlowRouter::new(address, &node.data_centre);
    router.options = RouterOptions {
        reset_lost: settings.flows.reset_lost,
        weigh_servers: settings.flows.weigh_servers,
    };
    let (peers, metrics) = (context.peers.clone(), context.metrics.clone());
    let in_force = context.in_force.clone();
    let (listing_sender, listing_wanted) = watch::channel(None);
    let (handed_over, handed_over_receiver) = mpsc::channel(DELETION_QUEUE);
    let open =
        move || BalancerTraffic::open(packets, router, peers, listing_sender, handed_over, metrics);
    spawn_traffic(open, move |traffic| traffic.run(receiver, in_force)).await?;
    let state = context.state.clone();
    let ready = Rc::new(ReadyState {
        state: state.clone(),
        agents: Cell::default(),
        shutting_down: Cell::default(),
    });
    serve_readiness(node.ready, ready.clone()).await?;
    context.follow_config(&settings);
    // Agents' entries have no common revision by which peers could show that this process is
    // behind, so nothing is sent on this channel.
    let (unversioned, none) = watch::channel(PeerRevision::default());
    let store = context.store(&settings);
    let mut agents = KeyWatcher::new(store.clone(), AGENT_PREFIX, none)
        .limited_to(MEMBER_WATCH_LIMIT)
        .follow_recoveries(context.recoveries.subscribe())
        .urgent();
    let mut events = AgentEvents {
        registrations: None,
    };
    if settings.flows.reset_lost {
        let retention = Millis(u64::from(settings.flows.registration_retention_s) * 1_000);
        let cleanup = RegistrationCleanup::new(retention);
        let cleanup = Rc::new(RefCell::new(cleanup));
        let marks = Rc::new(RefCell::new(RegistrationCleanup::new(MARK_DELAY)));
        agents = agents.on_demand(listing_wanted);
        events.registrations = Some(ReadRegistrations {
            members: RegisteredMembers::default(),
            cleanup: cleanup.clone(),
            marks: marks.clone(),
        });
        let metrics = context.metrics.clone();
        tokio::task::spawn_local(mark_absent_agents(
            store.clone(),
            marks,
            updates.clone(),
            metrics,
        ));
        let metrics = context.metrics.clone();
        tokio::task::spawn_local(clean_registrations(store.clone(), cleanup, metrics));
        let metrics = context.metrics.clone();
        tokio::task::spawn_local(delete_handed_over(store, handed_over_receiver, metrics));
    }
    tokio::task::spawn_local(follow_agents(
        state.clone(),
        agents,
        events,
        context.metrics.clone(),
        updates.clone(),
        ready.clone(),
    ));
    tokio::task::spawn_local(start_from_peers(
        state,
        node.clone(),
        updates,
        context.peer_revisions.clone(),
        ready.clone(),
    ));
    loop {
        tokio::select! {
            _ = context.stop.recv() => break,
            () = traffic_updates.closed() => return TrafficEndedSnafu.fail(),
            // Addresses can't change while the process runs; balancers don't use the other
            // settings.
            _ = file.changed(&mut context.reload) => {}
        }
    }
    info!("balancer shutting down");
    ready.shutting_down.set(true);
    sleep(DRAIN_TIME).await;
    drop(unversioned);
    info!("balancer stopped");
    Ok(())
}

/// Conditions under which a balancer reports that it is ready.
struct ReadyState {
    state: Rc<SiteState>,
    agents: Cell<bool>,
    shutting_down: Cell<bool>,
}

impl ReadyState {
    fn is_ready(&self) -> bool {
        self.state.has_config() && self.agents.get() && !self.shutting_down.get()
    }
}

async fn serve_readiness(address: SocketAddrV4, ready: Rc<ReadyState>) -> Result<(), NodeError> {
    serve_requests(address, move |request| {
        let is_ready = ready.is_ready();
        async move {
            match request {
                Ok(NodeRequest::Ready) if is_ready => StatusCode::OK,
                Ok(NodeRequest::Ready) => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::NOT_FOUND,
            }
        }
    })
    .await
}

/// Applies the agents' entries in the store and their changes.
async fn follow_agents(
    state: Rc<SiteState>,
    watcher: KeyWatcher,
    mut events: AgentEvents,
    metrics: NodeMetrics,
    updates: mpsc::Sender<BalancerUpdate>,
    ready: Rc<ReadyState>,
) {
    let handle = async |event| {
        let has_failed = matches!(event, KeyEvent::Failed);
        if matches!(event, KeyEvent::All(..)) {
            metrics.listings.inc();
        }
        for update in events.updates(event) {
            state.update_agents(|agents| note_agent(agents, &update));
            updates.send(update).await.ok()?;
        }
        if !has_failed {
            ready.agents.set(true);
        }
        Some(WatchProgress {
            has_missing_entries: events.has_missing_entries(),
            listed_agents: events.listed_agents(),
            ..WatchProgress::of_agents(state.agent_count())
        })
    };
    watcher.run(handle).await;
}

fn note_agent(agents: &mut Vec<AgentRecord>, update: &BalancerUpdate) {
    match update {
        BalancerUpdate::Agents(records) => agents.clone_from(records),
        BalancerUpdate::Agent(record, _) => {
            agents.retain(|known| known.address != record.address);
            agents.push(record.clone());
        }
        BalancerUpdate::Expired(address) => agents.retain(|known| known.address != *address),
        BalancerUpdate::Members(MemberUpdate::Listed(listing)) => {
            agents.clone_from(&listing.entries);
        }
        BalancerUpdate::Members(_) | BalancerUpdate::ProbeAbsent(..) => {}
    }
}

/// Starts without the store, from the snapshots of peers and the reports of agents.
async fn start_from_peers(
    state: Rc<SiteState>,
    node: NodeSettings,
    updates: mpsc::Sender<BalancerUpdate>,
    peer_revisions: watch::Receiver<PeerRevision>,
    ready: Rc<ReadyState>,
) {
    loop {
        sleep(PEER_QUERY_DELAY).await;
        if ready.agents.get() && state.has_config() {
            return;
        }
        let agents = query_peers(&state, node.ip, &node.peers, node.peer_port).await;
        if let Some(agents) = agents.filter(|_| !ready.agents.get()) {
            if updates.send(BalancerUpdate::Agents(agents)).await.is_err() {
                return;
            }
            ready.agents.set(true);
        }
        if peer_revisions.borrow().revision > 0 {
            ready.agents.set(true);
        }
    }
}
