//! The signal that ends a run early.

use std::sync::Arc;

use tokio::sync::watch;

/// Ends a run before its time; clones end the same run.
#[derive(Clone, Debug)]
pub struct LoadCanceller {
    sender: Arc<watch::Sender<bool>>,
}

impl LoadCanceller {
    /// Creates the signal of a run.
    pub(crate) fn new() -> LoadCanceller {
        LoadCanceller {
            sender: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Lets the run send no further requests; those under way are finished.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the run is to end.
    pub(crate) fn is_stopped(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the run is to end.
    pub(crate) async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}
