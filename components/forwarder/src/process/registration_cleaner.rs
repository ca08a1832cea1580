//! Task of a balancer that deletes the registrations of agents that are gone.

use std::{
    cell::RefCell,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_flows::process::RegistrationCleanup;
use carobdrum_platform::{
    agent_key,
    delete_orphaned_registration,
    registration_key,
    StoreClient,
    StoreEndpoint,
    StoreError, //
};
use rand::Rng;
use tokio::time::sleep;
use tracing::info;

use super::{
    boot_clock::BootClock,
    node_metrics::NodeMetrics,
    store_backoff::CALL_TIMEOUT, //
};

use crate::connection::revision_and_era;

/// Interval between checks for registrations that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two looks at the store, in which an agent that lives writes its entry if the store has
/// just become available again.
const CONFIRM_DELAY: Duration = Duration::from_millis(2_500);

/// Deletes the registrations that `cleanup` names and the other keys of their agents, until the process ends.
pub(crate) async fn clean_registrations(
    store: StoreEndpoint,
    cleanup: Rc<RefCell<RegistrationCleanup>>,
    metrics: NodeMetrics,
) {
    let mut client = store.client(CALL_TIMEOUT);
    loop {
        sleep(CHECK_INTERVAL).await;
        let random = || rand::rng().random_range(0.0..1.0);
        let due = cleanup.borrow_mut().next_due(BootClock.now(), random);
        let Some((agent, revision)) = due else {
            continue;
        };
        let outcome = match is_orphaned_in_store(&mut client, agent, revision).await {
            Ok(false) => continue,
            Ok(true) => {
                sleep(CONFIRM_DELAY).await;
                if !cleanup.borrow().is_orphaned(agent, revision) {
                    continue;
                }
                delete_orphaned_registration(&mut client, agent, revision).await
            }
            Err(error) => Err(error),
        };
        let (number, era) = revision_and_era(revision);
        match outcome {
            Ok(()) => {
                info!(%agent, revision = number, era, "registration of an agent deleted: its entry is missing");
                NodeMetrics::count(&metrics.registrations, "deleted");
            }
            Err(StoreError::Conflict) => {
                info!(%agent, revision = number, era, "registration of an agent kept: a key has changed");
                NodeMetrics::count(&metrics.registrations, "kept");
            }
            Err(error) => {
                info!(%agent, %error, "registration of an agent not deleted");
                cleanup.borrow_mut().note_failure();
                NodeMetrics::count(&metrics.registrations, "failed");
            }
        }
    }
}

/// Returns whether the store lists the registration at this revision, and no entry.
async fn is_orphaned_in_store(
    client: &mut StoreClient,
    agent: SocketAddrV4,
    revision: u64,
) -> Result<bool, StoreError> {
    let (entry, registration) = (agent_key(agent), registration_key(agent));
    let listing = client.list(&entry).await?;
    let mut items = listing.items.iter();
    let has_entry = listing.items.iter().any(|item| item.key == entry);
    let is_same = items.any(|item| item.key == registration && item.revision == revision);
    Ok(is_same && !has_entry)
}
