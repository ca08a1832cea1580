//! Signal that ends a load run early.

use std::sync::Arc;

use tokio::sync::watch;

/// Ends a load run early; all clones act on the same run.
#[derive(Clone, Debug)]
pub struct LoadCanceller {
    sender: Arc<watch::Sender<bool>>,
}

impl LoadCanceller {
    /// Creates the signal for a new run.
    pub(crate) fn new() -> LoadCanceller {
        LoadCanceller {
            sender: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Ends the run: no further requests are sent, those in progress are completed.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether [`LoadCanceller::stop`] was called.
    pub(crate) fn is_stopped(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until [`LoadCanceller::stop`] is called.
    pub(crate) async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // `wait_for` fails only without a sender, and `self` keeps one.
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}
