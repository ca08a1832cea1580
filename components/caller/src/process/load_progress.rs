//! Progress of a load run.

use std::sync::Arc;

use tokio::sync::watch;

/// Progress of a load run; all clones show the same run.
#[derive(Clone, Debug)]
pub struct LoadProgress {
    answered_flows: Arc<watch::Sender<u64>>,
    succeeded: Arc<watch::Sender<u64>>,
}

impl LoadProgress {
    /// Creates the progress of a new run.
    pub(crate) fn new() -> LoadProgress {
        LoadProgress {
            answered_flows: Arc::new(watch::Sender::new(0)),
            succeeded: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Adds an open flow that has had its first response.
    pub(crate) fn add_answered_flow(&self) {
        self.answered_flows.send_modify(|count| *count += 1);
    }

    /// Removes such a flow, which has ended.
    pub(crate) fn remove_answered_flow(&self) {
        self.answered_flows.send_modify(|count| *count -= 1);
    }

    /// Adds a request with a correct response.
    pub(crate) fn add_success(&self) {
        self.succeeded.send_modify(|count| *count += 1);
    }

    /// Returns the number of requests with a correct response.
    pub fn succeeded(&self) -> u64 {
        *self.succeeded.borrow()
    }

    /// Waits until at least `count` open flows have had a response.
    pub async fn wait_for_answered_flows(&self, count: u64) {
        wait_for(&self.answered_flows, count).await;
    }

    /// Waits until at least `count` requests have had a correct response.
    pub async fn wait_for_succeeded(&self, count: u64) {
        wait_for(&self.succeeded, count).await;
    }
}

async fn wait_for(sender: &watch::Sender<u64>, count: u64) {
    let mut receiver = sender.subscribe();
    // `wait_for` fails only without a sender, and the caller keeps one.
    let _ = receiver.wait_for(|found| *found >= count).await;
}
