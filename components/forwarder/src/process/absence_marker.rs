//! Marks of a balancer on agents that are gone for good.

use std::{
    cell::RefCell,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_core::Millis;
use carobdrum_flows::process::RegistrationCleanup;
use carobdrum_platform::{
    absent_key,
    agent_key,
    registration_key,
    StoreClient,
    StoreEndpoint,
    StoreError,
    StorePut,
    StoreTransaction, //
};
use rand::Rng;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::sleep,
};
use tracing::info;

use super::{
    boot_clock::BootClock,
    node_metrics::NodeMetrics,
    store_backoff::CALL_TIMEOUT, //
};
use crate::connection::{
    revision_and_era,
    BalancerUpdate, //
};

/// Time for which an entry has to be missing before its agent is marked, and longest random delay
/// after it.
pub(crate) const MARK_DELAY: Millis = Millis(30_000);

/// Interval between checks for agents that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of probes between the read of the agent's keys and the mark. Together they take 2.5 s, in which
/// an agent that lives writes its entry if the store has just become available again.
const PROBES: u32 = 5;

/// Interval between these probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Outcome of the check of an agent whose entry is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkOutcome {
    /// The agent is marked.
    Marked,
    /// The agent has answered a probe.
    Answered,
    /// The agent has an entry or a mark, or its registration has changed.
    Changed,
}

impl MarkOutcome {
    /// Returns the name that logs and metrics show.
    fn name(self) -> &'static str {
        match self {
            MarkOutcome::Marked => "marked",
            MarkOutcome::Answered => "answered",
            MarkOutcome::Changed => "mark_kept",
        }
    }
}

/// Writes marks on agents whose entries are missing and that answer no probe.
#[derive(Debug)]
pub struct AbsenceMarker {
    client: StoreClient,
}

impl AbsenceMarker {
    /// Creates the marker; no connection is made yet.
    pub fn new(store: impl Into<StoreEndpoint>) -> AbsenceMarker {
        AbsenceMarker {
            client: store.into().client(CALL_TIMEOUT),
        }
    }

    /// Marks an agent whose registration has this revision, unless it answers. `probe` sends a probe to the
    /// agent, and returns whether it has answered an earlier one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if a request fails.
    pub async fn mark(
        &mut self,
        agent: SocketAddrV4,
        revision: u64,
        mut probe: impl AsyncFnMut(SocketAddrV4) -> bool,
    ) -> Result<MarkOutcome, StoreError> {
        // An agent that lives but can't reach the store costs no call.
        if probe(agent).await {
            return Ok(MarkOutcome::Answered);
        }
        let (entry, mark) = (agent_key(agent), absent_key(agent));
        let registration = registration_key(agent);
        let listing = self.client.list(&entry).await?;
        let items = &listing.items;
        let is_listed = |key: &str| items.iter().any(|item| item.key == key);
        let mut found = items.iter().filter(|item| item.key == registration);
        let is_same = found.any(|item| item.revision == revision);
        if !is_same || is_listed(&entry) || is_listed(&mark) {
            return Ok(MarkOutcome::Changed);
        }
        for _ in 0..PROBES {
            sleep(PROBE_INTERVAL).await;
            if probe(agent).await {
                return Ok(MarkOutcome::Answered);
            }
        }
        let value = revision.to_string();
        let put = StorePut {
            key: &mark,
            value: value.as_bytes(),
            lease: None,
        };
        let transaction = StoreTransaction {
            expected: &[(&entry, 0), (&mark, 0), (&registration, revision)],
            puts: &[put],
            ..StoreTransaction::default()
        };
        match self.client.commit(&transaction).await {
            Ok(_) => Ok(MarkOutcome::Marked),
            Err(StoreError::Conflict) => Ok(MarkOutcome::Changed),
            Err(error) => Err(error),
        }
    }
}

/// Marks the agents that `marks` names, until the process ends.
pub(crate) async fn mark_absent_agents(
    store: StoreEndpoint,
    marks: Rc<RefCell<RegistrationCleanup>>,
    updates: mpsc::Sender<BalancerUpdate>,
    metrics: NodeMetrics,
) {
    let mut marker = AbsenceMarker::new(store);
    loop {
        sleep(CHECK_INTERVAL).await;
        let random = || rand::rng().random_range(0.0..1.0);
        let due = marks.borrow_mut().next_due(BootClock.now(), random);
        let Some((agent, revision)) = due else {
            continue;
        };
        // A change that is read meanwhile counts like an answer.
        let probe = async |agent| {
            let is_orphaned = marks.borrow().is_orphaned(agent, revision);
            !is_orphaned || probe_once(&updates, agent).await
        };
        let outcome = match marker.mark(agent, revision, probe).await {
            Ok(outcome) => outcome,
            Err(error) => {
                info!(%agent, %error, "agent not marked as absent");
                marks.borrow_mut().note_failure();
                NodeMetrics::count(&metrics.registrations, "mark_failed");
                continue;
            }
        };
        let name = outcome.name();
        let (number, era) = revision_and_era(revision);
        info!(%agent, revision = number, era, outcome = name, "agent checked whose entry is missing");
        if outcome != MarkOutcome::Answered {
            marks.borrow_mut().conclude(agent, revision);
        }
        NodeMetrics::count(&metrics.registrations, name);
    }
}

/// Lets the traffic thread probe an agent; returns whether it has answered an earlier probe, or whether that
/// is unknown since the thread has ended.
async fn probe_once(updates: &mpsc::Sender<BalancerUpdate>, agent: SocketAddrV4) -> bool {
    let (answer, is_known) = oneshot::channel();
    let update = BalancerUpdate::ProbeAbsent(agent, answer);
    if updates.send(update).await.is_err() {
        return true;
    }
    is_known.await.unwrap_or(true)
}
