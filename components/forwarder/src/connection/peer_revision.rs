//! Configuration revisions of other processes.

use std::{
    net::Ipv4Addr,
    sync::Arc, //
};

use carobdrum_flows::version::StoreRevision;
use carobdrum_platform::StoreEra;
use tokio::sync::watch;

/// Highest configuration revision seen in a datagram of another process.
#[derive(Clone, Copy, Debug)]
pub struct PeerRevision {
    /// The order number; zero before any was seen.
    pub revision: u64,
    /// IP address of the VM on which that process runs; 0.0.0.0 before any was seen.
    pub peer: Ipv4Addr,
}

impl Default for PeerRevision {
    fn default() -> PeerRevision {
        PeerRevision {
            revision: 0,
            peer: Ipv4Addr::UNSPECIFIED,
        }
    }
}

/// Publishes what other processes show of the store: the highest revision and the era.
#[derive(Clone, Debug)]
pub(crate) struct PeerRevisions {
    sender: watch::Sender<PeerRevision>,
    era: Arc<StoreEra>,
}

impl PeerRevisions {
    /// Creates the publisher of a process that knows the era of the store as `era`.
    pub(crate) fn new(era: Arc<StoreEra>) -> PeerRevisions {
        PeerRevisions {
            sender: watch::channel(PeerRevision::default()).0,
            era,
        }
    }

    /// Returns a receiver of the highest revision.
    pub(crate) fn subscribe(&self) -> watch::Receiver<PeerRevision> {
        self.sender.subscribe()
    }

    /// Returns the order number of the highest revision; zero before any was seen.
    pub(crate) fn highest(&self) -> u64 {
        self.sender.borrow().revision
    }

    /// Returns the order number of a revision in a message, and records its era.
    pub(crate) fn order(&self, era: Option<u32>, revision: u64) -> u64 {
        if let Some(era) = era {
            self.era.note_peer(era);
        }
        self.era.order(era, revision)
    }

    /// Publishes the order number of another process if it is higher than all before. Of several processes with the
    /// highest one, the last is remembered, which is the likeliest to run.
    pub(crate) fn raise(&self, revision: u64, peer: Ipv4Addr) {
        self.sender.send_if_modified(|highest| {
            let newer = revision > highest.revision;
            if revision >= highest.revision {
                *highest = PeerRevision { revision, peer };
            }
            newer
        });
    }
}

/// Returns the revision of an order number for messages and logs, and the era unless the store states none.
pub(crate) fn revision_and_era(order: u64) -> (u64, Option<u32>) {
    let revision = StoreRevision::from_order(order);
    (revision.number, revision.stated_era())
}
