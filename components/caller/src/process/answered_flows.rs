//! Number of flows that have had a response.

use std::sync::Arc;

use tokio::sync::watch;

/// Number of open flows of a load run that have had a response; all clones show the same run.
#[derive(Clone, Debug)]
pub struct AnsweredFlows {
    sender: Arc<watch::Sender<usize>>,
}

impl AnsweredFlows {
    /// Creates the number for a new run.
    pub(crate) fn new() -> AnsweredFlows {
        AnsweredFlows {
            sender: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Adds a flow that has had its first response.
    pub(crate) fn add(&self) {
        self.sender.send_modify(|count| *count += 1);
    }

    /// Removes a flow that has ended.
    pub(crate) fn remove(&self) {
        self.sender.send_modify(|count| *count -= 1);
    }

    /// Waits until at least `count` open flows have had a response.
    pub async fn wait_for(&self, count: usize) {
        let mut receiver = self.sender.subscribe();
        // `wait_for` fails only without a sender, and `self` keeps one.
        let _ = receiver.wait_for(|answered| *answered >= count).await;
    }
}
