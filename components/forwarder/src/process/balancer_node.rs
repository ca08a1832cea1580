//! The balancer daemon.

use std::{
    cell::Cell,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_control::spawn_thread;
use carobdrum_platform::{
    read_agent,
    NodeCall,
    StoreChange,
    AGENT_PREFIX,
    OPERATOR_PREFIX, //
};
use http::StatusCode;
use snafu::ResultExt;
use tokio::{
    signal::unix::{
        signal,
        SignalKind, //
    },
    sync::{
        mpsc,
        watch, //
    },
    task::LocalSet,
    time::sleep, //
};
use tracing::{
    info,
    warn, //
};

use super::{
    http_port::serve_calls,
    node_error::StartSnafu,
    rules_feed::RulesFeed,
    settings_file::SettingsFile,
    store_watch::{
        KeyFollower,
        KeyNews, //
    },
    NodeError, //
};
use crate::connection::{
    BalancerTraffic,
    BalancerUpdate, //
};

/// Updates that may wait for the traffic thread.
const UPDATE_QUEUE: usize = 64;

/// Time for which a balancer forwards after it reports that it is not ready. The platform asks
/// twice a second and takes two answers to believe it.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// Runs a balancer until it is told to stop.
///
/// # Errors
///
/// Returns why it can't run.
pub fn run_balancer(settings: SettingsFile) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    LocalSet::new().block_on(&runtime, control(settings))
}

async fn control(mut file: SettingsFile) -> Result<(), NodeError> {
    let settings = file.current().clone();
    let node = &settings.node;
    info!(name = %node.name, centre = %node.data_centre, "balancer starts");
    let mut stop = signal(SignalKind::terminate()).context(StartSnafu)?;
    let mut reload = signal(SignalKind::hangup()).context(StartSnafu)?;
    let (updates, receiver) = mpsc::channel(UPDATE_QUEUE);
    let packets = node.packets;
    let address = SocketAddrV4::new(node.ip, node.peer_port);
    let centre = node.data_centre.clone();
    let (seen, versions) = watch::channel(0);
    let traffic = spawn_thread("traffic", move || async move {
        let traffic = BalancerTraffic::open(packets, address, &centre, seen).await?;
        traffic.run(receiver).await
    });
    traffic.context(StartSnafu)?;
    let ready = Rc::new(ReadyState::default());
    serve_ready(node.ready, ready.clone()).await?;
    let store = settings.store.address;
    let rules = KeyFollower::new(store, OPERATOR_PREFIX, versions);
    // Entries of agents have no version.
    let (unversioned, none) = watch::channel(0);
    let agents = KeyFollower::new(store, AGENT_PREFIX, none);
    tokio::task::spawn_local(follow_rules(rules, updates.clone(), ready.clone()));
    tokio::task::spawn_local(follow_agents(agents, updates, ready.clone()));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            // Addresses can't change while the process runs; the rest isn't used by balancers.
            _ = file.changed(&mut reload) => {}
        }
    }
    info!("balancer leaves");
    ready.leaving.set(true);
    sleep(LEAVE_TIME).await;
    drop(unversioned);
    info!("balancer ends");
    Ok(())
}

/// What decides whether a balancer takes packets.
#[derive(Debug, Default)]
struct ReadyState {
    rules: Cell<bool>,
    agents: Cell<bool>,
    leaving: Cell<bool>,
}

impl ReadyState {
    fn is_ready(&self) -> bool {
        self.rules.get() && self.agents.get() && !self.leaving.get()
    }
}

async fn serve_ready(address: SocketAddrV4, ready: Rc<ReadyState>) -> Result<(), NodeError> {
    serve_calls(address, move |call| {
        let is_ready = ready.is_ready();
        async move {
            match call {
                Ok(NodeCall::Ready) if is_ready => StatusCode::OK,
                Ok(NodeCall::Ready) => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::NOT_FOUND,
            }
        }
    })
    .await
}

async fn follow_rules(
    follower: KeyFollower,
    updates: mpsc::Sender<BalancerUpdate>,
    ready: Rc<ReadyState>,
) {
    let mut feed = RulesFeed::default();
    let take = async |news| {
        if let Some(rules) = feed.take(news) {
            ready.rules.set(true);
            updates.send(BalancerUpdate::Rules(rules)).await.ok()?;
        }
        Some(feed.version())
    };
    follower.run(take).await;
}

async fn follow_agents(
    follower: KeyFollower,
    updates: mpsc::Sender<BalancerUpdate>,
    ready: Rc<ReadyState>,
) {
    let take = async |news| {
        for update in agent_updates(news) {
            updates.send(update).await.ok()?;
        }
        ready.agents.set(true);
        Some(0)
    };
    follower.run(take).await;
}

fn agent_updates(news: KeyNews) -> Vec<BalancerUpdate> {
    let read = |key: &str, value: &[u8]| {
        let record = read_agent(key, value);
        if record.is_none() {
            warn!(key, "entry of an agent can't be read");
        }
        record
    };
    match news {
        KeyNews::All(items) => {
            let records = items.iter().filter_map(|item| read(&item.key, &item.value));
            let records = records.collect();
            info!(?records, "agents listed");
            vec![BalancerUpdate::Agents(records)]
        }
        KeyNews::Changes(changes) => {
            let updates = changes.into_iter().filter_map(|change| match change {
                StoreChange::Put(item) => {
                    let record = read(&item.key, &item.value)?;
                    info!(agent = %record.address, revision = item.revision, "agent announced");
                    Some(BalancerUpdate::Agent(record))
                }
                StoreChange::Gone(key, revision) => {
                    let address = key.strip_prefix(AGENT_PREFIX)?.parse().ok()?;
                    info!(agent = %address, revision, "key of an agent gone");
                    Some(BalancerUpdate::Lapsed(address))
                }
            });
            updates.collect()
        }
    }
}
