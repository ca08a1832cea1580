//! Task of a balancer that makes the deletions that agents have handed over.

use std::time::Duration;

use carobdrum_core::Millis;
use carobdrum_flows::process::HandedDeletions;
use carobdrum_platform::{
    delete_registration,
    StoreClient,
    StoreEndpoint,
    StoreError, //
};
use rand::Rng;
use tokio::{
    sync::mpsc,
    time::sleep, //
};
use tracing::info;

use super::{
    boot_clock::BootClock,
    node_metrics::NodeMetrics,
    store_backoff::{
        StoreBackoff,
        CALL_TIMEOUT, //
    },
};
use crate::connection::{
    revision_and_era,
    HandedOver, //
};

/// Longest pause after a failed attempt.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Deletes the registrations that agents have handed over, until the traffic thread has ended.
pub(crate) async fn delete_handed_over(
    store: StoreEndpoint,
    mut messages: mpsc::Receiver<HandedOver>,
    metrics: NodeMetrics,
) {
    let mut client = store.client(CALL_TIMEOUT);
    let mut backoff = StoreBackoff::default();
    let mut deletions = HandedDeletions::default();
    loop {
        let due = deletions.next_time();
        let wait = due.map_or(Millis(0), |due| due.since(BootClock.now()));
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => note(&mut deletions, message),
                None => return,
            },
            () = sleep(Duration::from_millis(wait.0)), if due.is_some() => {
                let outcome = delete_next(&mut client, &mut backoff, &mut deletions).await;
                if let Some(outcome) = outcome {
                    NodeMetrics::count(&metrics.deregistrations, outcome);
                }
            }
        }
        for agent in deletions.expire(BootClock.now()) {
            info!(%agent, "deletion of a registration given up: the store doesn't answer");
            NodeMetrics::count(&metrics.deregistrations, "given_up");
        }
    }
}

fn note(deletions: &mut HandedDeletions, message: HandedOver) {
    match message {
        HandedOver::Begin(agent, revision) => {
            let random = rand::rng().random_range(0.0..1.0);
            if deletions.add(agent, revision, random, BootClock.now()) {
                let (revision, era) = revision_and_era(revision);
                info!(%agent, revision, era, "deletion of a registration taken over");
            }
        }
        HandedOver::Cancel(agent) => deletions.conclude(agent),
    }
}

/// Tries the next deletion; returns its outcome, `None` if none is due.
async fn delete_next(
    client: &mut StoreClient,
    backoff: &mut StoreBackoff,
    deletions: &mut HandedDeletions,
) -> Option<&'static str> {
    let (agent, revision) = deletions.next_due(BootClock.now())?;
    let (number, era) = revision_and_era(revision);
    let outcome = match delete_registration(client, agent, revision).await {
        Ok(()) => {
            info!(%agent, revision = number, era, "registration of an agent deleted: its server has ended");
            "deleted"
        }
        Err(StoreError::Conflict) => {
            info!(%agent, revision = number, era, "registration of an agent already deleted or changed");
            "kept"
        }
        Err(error) => {
            let pause = backoff.record_failure("deregistration", &error, MAX_PAUSE);
            let pause = Millis(pause.as_millis() as u64);
            deletions.note_failure(agent, pause, BootClock.now());
            return Some("failed");
        }
    };
    backoff.record_success("deregistration");
    deletions.conclude(agent);
    Some(outcome)
}
