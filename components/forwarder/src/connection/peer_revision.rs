//! Revisions of the configuration that other processes show.

use std::net::Ipv4Addr;

use tokio::sync::watch;

/// The highest revision that another process has shown.
#[derive(Clone, Copy, Debug)]
pub struct PeerRevision {
    /// The revision.
    pub revision: u64,
    /// VM of the process.
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

/// Notes a revision that another process has.
pub(crate) fn raise_peer_revision(
    seen: &watch::Sender<PeerRevision>,
    revision: u64,
    peer: Ipv4Addr,
) {
    seen.send_if_modified(|highest| {
        let newer = revision > highest.revision;
        if newer {
            *highest = PeerRevision { revision, peer };
        }
        newer
    });
}
