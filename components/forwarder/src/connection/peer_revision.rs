//! Configuration revisions of other processes.

use std::net::Ipv4Addr;

use tokio::sync::watch;

/// Highest configuration revision seen in a datagram of another process.
#[derive(Clone, Copy, Debug)]
pub struct PeerRevision {
    /// The store revision; zero before any was seen.
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

/// Publishes the revision of another process if it is higher than all before. Of several processes
/// with the highest one, the last is remembered, which is the likeliest to run.
pub(crate) fn raise_peer_revision(
    revision_sender: &watch::Sender<PeerRevision>,
    revision: u64,
    peer: Ipv4Addr,
) {
    revision_sender.send_if_modified(|highest| {
        let newer = revision > highest.revision;
        if revision >= highest.revision {
            *highest = PeerRevision { revision, peer };
        }
        newer
    });
}
