//! Opening packets that a balancer has forwarded recently.

use carobdrum_core::Millis;

/// Number of times that are kept. Flows whose hashes have the same remainder share one.
const CAPACITY: usize = 8_192;

/// Time for which copies of an opening packet may arrive: callers give up after 1.4 s.
const RETENTION: Millis = Millis(2_000);

/// Flows whose opening packet was forwarded recently. The network may duplicate an opening packet, and
/// the flow may be open when the duplicate arrives, so it must not be refused.
#[derive(Debug, Default)]
pub(crate) struct RecentOpenings {
    /// Times of the last opening packets, at the index that the flow's hash gives; empty before the
    /// first one.
    times: Vec<Option<Millis>>,
}

impl RecentOpenings {
    /// Records that the opening packet of the flow with this hash is forwarded.
    pub(crate) fn insert(&mut self, hash: u64, now: Millis) {
        if self.times.is_empty() {
            self.times.resize(CAPACITY, None);
        }
        self.times[hash as usize % CAPACITY] = Some(now);
    }

    /// Returns whether the opening packet of the flow with this hash may have been forwarded.
    pub(crate) fn may_contain(&self, hash: u64, now: Millis) -> bool {
        let time = self.times.get(hash as usize % CAPACITY).copied().flatten();
        time.is_some_and(|time| now.since(time) < RETENTION)
    }
}
