//! Task of an agent that reads the flows that its former process saved, and saves those of its server.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_control::unix_millis;
use carobdrum_core::Millis;
use carobdrum_flows::connection::{
    FlowSaver,
    SavedFlows, //
};
use carobdrum_platform::{
    decode_saved_flows,
    encode_saved_flows,
    saved_key,
    StoreEndpoint,
    StoreItem, //
};
use rand::Rng;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tracing::{
    debug,
    info, //
};

use super::{
    boot_clock::BootClock,
    hedged_read::list_hedged,
    node_metrics::NodeMetrics,
    store_backoff::{
        StoreBackoff,
        CALL_TIMEOUT, //
    },
};
use crate::connection::AgentUpdate;

/// Longest backoff before the saved flows are read again. Callers wait for their reset meanwhile.
const READ_BACKOFF: Duration = Duration::from_millis(400);

/// Time by which a list may be older than the lifetime of a flow, and by which its time may lie ahead.
const AGE_MARGIN: Millis = Millis(10_000);

/// Arguments of [`save_flows`].
pub(crate) struct FlowSavingArguments {
    pub(crate) store: StoreEndpoint,
    /// Address at which the agent receives forwarded packets.
    pub(crate) agent: SocketAddrV4,
    /// Interval between saves.
    pub(crate) interval: Millis,
    pub(crate) flow_lifetime: Millis,
    pub(crate) updates: mpsc::Sender<AgentUpdate>,
    pub(crate) metrics: NodeMetrics,
}

/// Passes the list of the agent's former process to the traffic thread, then saves the long flows of the server until
/// the traffic thread has ended.
pub(crate) async fn save_flows(arguments: FlowSavingArguments) {
    let started = BootClock.now();
    let mut saver = FlowSaver::new(arguments.interval, started, random());
    let lifetime = Duration::from_millis(arguments.flow_lifetime.0);
    let read = timeout(lifetime, read_item(&arguments.store, arguments.agent)).await;
    match read {
        Ok(None) => {}
        Ok(Some(item)) => {
            saver.note_earlier_list();
            if let Some(list) = read_list(&item, arguments.flow_lifetime) {
                let expires = started.plus(arguments.flow_lifetime);
                let update = AgentUpdate::FormerFlows(list, expires);
                if arguments.updates.send(update).await.is_err() {
                    return;
                }
            }
        }
        Err(_) => {
            info!("saved flows not read within the lifetime of a flow");
            saver.note_earlier_list();
        }
    }
    let mut client = arguments.store.client(CALL_TIMEOUT);
    let mut era = arguments.store.era.newest();
    let key = saved_key(arguments.agent);
    loop {
        let pause = saver.next_save().since(BootClock.now());
        sleep(Duration::from_millis(pause.0)).await;
        let (answer, flows) = oneshot::channel();
        let update = AgentUpdate::FindLongFlows(answer);
        if arguments.updates.send(update).await.is_err() {
            return;
        }
        let Ok(flows) = flows.await else {
            return;
        };
        let before = std::mem::replace(&mut era, arguments.store.era.newest());
        if before != era {
            saver.note_lost();
        }
        let Some(list) = flows.filter(|list| saver.is_changed(list)) else {
            saver.note_unchanged(BootClock.now(), random());
            continue;
        };
        let value = encode_saved_flows(&list);
        let outcome = client.put(&key, &value, None).await;
        let (now, flows) = (BootClock.now(), list.flows.len());
        match outcome {
            Ok(()) => {
                debug!(flows, bytes = value.len(), "long flows saved");
                NodeMetrics::set(&arguments.metrics.saved.flows, flows as u64);
                NodeMetrics::count(&arguments.metrics.saved.saves, "saved");
                saver.note_saved(list, value.len(), now, random());
            }
            Err(error) => {
                info!(flows, %error, "long flows not saved");
                NodeMetrics::count(&arguments.metrics.saved.saves, "failed");
                saver.note_failed(value.len(), now, random());
            }
        }
    }
}

/// Reads the agent's saved flows once the store answers; returns `None` if it has none.
async fn read_item(store: &StoreEndpoint, agent: SocketAddrV4) -> Option<StoreItem> {
    let key = saved_key(agent);
    let mut backoff = StoreBackoff::default();
    loop {
        match list_hedged(store, &key).await {
            Ok((_, listing)) => {
                backoff.record_success("saved flows");
                let mut items = listing.items.into_iter();
                // The key of an agent with a longer port number begins with the same characters.
                return items.find(|item| item.key == key);
            }
            Err(error) => {
                sleep(backoff.record_failure("saved flows", &error, READ_BACKOFF)).await;
            }
        }
    }
}

/// Returns the list in an item; `None` if it is malformed, or so old or so far ahead that its flows have ended or its
/// age is unknown.
fn read_list(item: &StoreItem, flow_lifetime: Millis) -> Option<SavedFlows> {
    let Some(list) = decode_saved_flows(&item.value) else {
        info!(key = %item.key, outcome = "malformed", "saved flows read");
        return None;
    };
    let (now, saved) = (unix_millis(), list.saved_unix_ms);
    let is_old = now.saturating_sub(saved) > flow_lifetime.plus(AGE_MARGIN).0;
    let is_ahead = saved.saturating_sub(now) > AGE_MARGIN.0;
    if is_old || is_ahead {
        let (server, started_ms) = (&list.run.server_id, list.run.started_ms);
        let flows = list.flows.len();
        info!(%server, started_ms, flows, saved, outcome = "outdated", "saved flows read");
        return None;
    }
    Some(list)
}

/// Returns a random number from 0 to 1.
fn random() -> f64 {
    rand::rng().random_range(0.0..1.0)
}
