//! Deletion of an agent's registration at its shutdown, if its server has ended.

use std::{
    cell::RefCell,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_core::Millis;
use carobdrum_flows::process::{
    AgentRecord,
    Deregistration, //
};
use ractor::ActorRef;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::sleep, //
};
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::{
    boot_clock::BootClock,
    lease_actor::{
        LeaseMessage,
        Unregistration, //
    },
    node_metrics::NodeMetrics,
    server_silence::has_ended,
    store_backoff::StoreBackoff, //
};
use crate::connection::{
    revision_and_era,
    AgentUpdate, //
};

/// Tries to delete the keys of an agent that is shutting down, while its server has ended and time is left,
/// and hands the deletion over to balancers when the first attempt fails.
pub(crate) struct DeregistrationTask {
    pub(crate) schedule: Deregistration,
    pub(crate) lease: ActorRef<LeaseMessage>,
    /// Ends the other requests of the lease actor.
    pub(crate) is_ending: CancellationToken,
    /// The agent's entry, which shows whether the server is leaving.
    pub(crate) record: Rc<RefCell<AgentRecord>>,
    pub(crate) server: SocketAddrV4,
    /// Updates for the traffic thread, which sends to balancers.
    pub(crate) updates: mpsc::Sender<AgentUpdate>,
    pub(crate) metrics: NodeMetrics,
}

impl DeregistrationTask {
    /// Tries until the keys are deleted, another process has changed them, the server shows that it lives,
    /// or no time is left.
    pub(crate) async fn run(mut self) {
        self.try_until_end().await;
        self.hand_over(None).await;
    }

    async fn try_until_end(&mut self) {
        let mut backoff = StoreBackoff::default();
        // A server may be started again at any time, so it is probed before each attempt.
        while self.has_server_ended().await {
            let Some(limit) = self.schedule.begin_attempt(BootClock.now()) else {
                info!("registration not deleted; a balancer will delete it");
                self.count("late");
                return;
            };
            self.is_ending.cancel();
            match self.attempt(limit).await {
                Some(Unregistration::Failed(error, revision)) => {
                    let (number, era) = revision.map(revision_and_era).unzip();
                    info!(%error, revision = number, era = era.flatten(), "registration not deleted yet");
                    self.count("failed");
                    self.hand_over(revision).await;
                    let longest = duration(Deregistration::MAX_PAUSE);
                    let pause = backoff.record_failure("deregistration", &error, longest);
                    let pause = Millis(pause.as_millis() as u64);
                    sleep(duration(self.schedule.pause(pause, BootClock.now()))).await;
                }
                outcome => {
                    let attempts = self.schedule.attempts();
                    if let Some(Unregistration::Deleted) = outcome {
                        info!(attempts, "registration deleted: the server has ended");
                        self.count("deleted");
                    } else {
                        info!(
                            attempts,
                            "registration kept: it has changed or is deleted already"
                        );
                        self.count("kept");
                    }
                    return;
                }
            }
        }
    }

    async fn has_server_ended(&self) -> bool {
        let is_leaving = self.record.borrow().is_leaving;
        is_leaving && has_ended(self.server).await
    }

    async fn hand_over(&self, revision: Option<u64>) {
        // The traffic thread may have ended, and then nothing can be sent.
        let _ = self.updates.send(AgentUpdate::HandOver(revision)).await;
    }

    /// Makes an attempt; returns `None` if the lease actor has ended.
    async fn attempt(&self, limit: Millis) -> Option<Unregistration> {
        let (reply, outcome) = oneshot::channel();
        let message = LeaseMessage::Unregister(duration(limit), reply);
        self.lease.send_message(message).ok()?;
        outcome.await.ok()
    }

    fn count(&self, outcome: &'static str) {
        NodeMetrics::count(&self.metrics.deregistrations, outcome);
    }
}

fn duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}
