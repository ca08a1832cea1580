//! Versions that other processes show.

use tokio::sync::watch;

/// Notes a version that another process has.
pub(crate) fn raise_version(seen: &watch::Sender<u64>, version: u64) {
    seen.send_if_modified(|highest| {
        let newer = version > *highest;
        if newer {
            *highest = version;
        }
        newer
    });
}
