//! Requests of the traffic thread for listings of the store.

use std::{
    future::pending,
    time::Duration, //
};

use carobdrum_core::Millis;
use tokio::{
    sync::watch,
    time::sleep, //
};

use super::{
    boot_clock::BootClock,
    listing_demand::ListingDemand, //
};

/// Requests of the traffic thread for listings, as a watcher receives them.
#[derive(Debug, Default)]
pub(super) struct ListingRequests {
    /// Time for which the traffic thread wants a listing; `None` if the watcher lists only when changes
    /// may have been missed.
    pub(super) receiver: Option<watch::Receiver<Option<Millis>>>,
    pub(super) demand: ListingDemand,
}

impl ListingRequests {
    /// Waits until a listing is due.
    pub(super) async fn wait(&mut self) {
        let Some(receiver) = &mut self.receiver else {
            return pending().await;
        };
        loop {
            self.demand.wanted = *receiver.borrow_and_update();
            let now = BootClock.now();
            let changed = match self.demand.next_listing(now) {
                Some(due) if due <= now => return,
                Some(due) => {
                    let wait = Duration::from_millis(due.since(now).0);
                    tokio::select! {
                        changed = receiver.changed() => changed,
                        () = sleep(wait) => Ok(()),
                    }
                }
                None => receiver.changed().await,
            };
            if changed.is_err() {
                // The traffic thread has ended, and the process is about to end.
                return pending().await;
            }
        }
    }
}
