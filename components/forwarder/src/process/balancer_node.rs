//! The balancer daemon.

use std::{
    cell::Cell,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_control::spawn_thread;
use carobdrum_flows::process::AgentRecord;
use carobdrum_platform::{
    parse_agent_entry,
    NodeRequest,
    StoreChange,
    AGENT_PREFIX, //
};
use carobdrum_settings::NodeSettings;
use http::StatusCode;
use snafu::ResultExt;
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::sleep, //
};
use tracing::{
    info,
    warn, //
};

use super::{
    http_port::serve_requests,
    node_context::{
        run_control,
        NodeContext, //
    },
    node_error::{
        StartSnafu,
        TrafficEndedSnafu, //
    },
    settings_file::SettingsFile,
    site_state::{
        ask_peers,
        SiteState, //
    },
    store_watch::{
        KeyEvent, //
        KeyWatcher,
    },
    NodeError, //
};
use crate::connection::{
    BalancerTraffic,
    BalancerUpdate,
    PeerRevision, //
};

/// Updates that may wait for the traffic thread.
const UPDATE_QUEUE: usize = 64;

/// Time that the store has at the start before other processes are asked.
const PEER_QUERY_DELAY: Duration = Duration::from_millis(300);

/// Time for which a balancer forwards after it reports that it is not ready. The platform asks
/// twice a second and takes two answers to believe it.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Runs a balancer until it is told to stop.
///
/// # Errors
///
/// Returns why it can't run.
pub fn run_balancer(settings: SettingsFile) -> Result<(), NodeError> {
    run_control(control(settings))
}

async fn control(mut file: SettingsFile) -> Result<(), NodeError> {
    let settings = file.current().clone();
    let node = &settings.node;
    info!(name = %node.name, centre = %node.data_centre, "balancer starts");
    let mut frame = NodeContext::start(node).await?;
    let (updates, receiver) = mpsc::channel(UPDATE_QUEUE);
    let traffic_gone = updates.clone();
    let (packets, centre) = (node.packets, node.data_centre.clone());
    let address = SocketAddrV4::new(node.ip, node.peer_port);
    let (seen, metrics) = (frame.seen.clone(), frame.metrics.clone());
    let in_force = frame.in_force.clone();
    let traffic = spawn_thread("traffic", move || async move {
        let traffic = BalancerTraffic::open(packets, address, &centre, seen, metrics).await?;
        traffic.run(receiver, in_force).await
    });
    traffic.context(StartSnafu)?;
    let state = frame.state.clone();
    let ready = Rc::new(ReadyState {
        state: state.clone(),
        agents: Cell::default(),
        shutting_down: Cell::default(),
    });
    serve_readiness(node.ready, ready.clone()).await?;
    frame.follow_config(&settings, KeyWatcher::urgent);
    // Entries of agents have no revision in common.
    let (unversioned, none) = watch::channel(PeerRevision::default());
    let agents = KeyWatcher::new(settings.store.address, AGENT_PREFIX, none).urgent();
    tokio::task::spawn_local(follow_agents(
        state.clone(),
        agents,
        updates.clone(),
        ready.clone(),
    ));
    tokio::task::spawn_local(start_from_peers(
        state,
        node.clone(),
        updates,
        frame.peer_revisions.clone(),
        ready.clone(),
    ));
    loop {
        tokio::select! {
            _ = frame.stop.recv() => break,
            () = traffic_gone.closed() => return TrafficEndedSnafu.fail(),
            // Addresses can't change while the process runs; the rest isn't used by balancers.
            _ = file.changed(&mut frame.reload) => {}
        }
    }
    info!("balancer leaves");
    ready.shutting_down.set(true);
    sleep(DRAIN_TIME).await;
    drop(unversioned);
    info!("balancer ends");
    Ok(())
}

/// What decides whether a balancer takes packets.
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
    serve_requests(address, move |call| {
        let is_ready = ready.is_ready();
        async move {
            match call {
                Ok(NodeRequest::Ready) if is_ready => StatusCode::OK,
                Ok(NodeRequest::Ready) => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::NOT_FOUND,
            }
        }
    })
    .await
}

/// Follows the keys of agents in the store.
async fn follow_agents(
    state: Rc<SiteState>,
    watcher: KeyWatcher,
    updates: mpsc::Sender<BalancerUpdate>,
    ready: Rc<ReadyState>,
) {
    let take = async |news| {
        for update in agent_updates(news) {
            state.update_agents(|agents| note_agent(agents, &update));
            updates.send(update).await.ok()?;
        }
        ready.agents.set(true);
        Some(0)
    };
    watcher.run(take).await;
}

fn note_agent(agents: &mut Vec<AgentRecord>, update: &BalancerUpdate) {
    match update {
        BalancerUpdate::Agents(records) => agents.clone_from(records),
        BalancerUpdate::Agent(record) => {
            agents.retain(|known| known.address != record.address);
            agents.push(record.clone());
        }
        BalancerUpdate::Expired(address) => agents.retain(|known| known.address != *address),
    }
}

/// Starts without the store: asks other balancers, and takes agents that report themselves.
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
        let agents = ask_peers(&state, node.ip, &node.peers, node.peer_port).await;
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

fn agent_updates(news: KeyEvent) -> Vec<BalancerUpdate> {
    let read = |key: &str, value: &[u8]| {
        let record = parse_agent_entry(key, value);
        if record.is_none() {
            warn!(key, "entry of an agent can't be read");
        }
        record
    };
    match news {
        KeyEvent::All(listing) => {
            let items = listing.items.iter();
            let records = items.filter_map(|item| read(&item.key, &item.value));
            let records = records.collect();
            info!(?records, "agents listed");
            vec![BalancerUpdate::Agents(records)]
        }
        KeyEvent::Changes(changes) => {
            let updates = changes.into_iter().filter_map(|change| match change {
                StoreChange::Put(item) => {
                    let record = read(&item.key, &item.value)?;
                    info!(agent = %record.address, revision = item.revision, "agent announced");
                    Some(BalancerUpdate::Agent(record))
                }
                StoreChange::Deleted(key, revision) => {
                    let address = key.strip_prefix(AGENT_PREFIX)?.parse().ok()?;
                    info!(agent = %address, revision, "key of an agent gone");
                    Some(BalancerUpdate::Expired(address))
                }
            });
            updates.collect()
        }
    }
}
