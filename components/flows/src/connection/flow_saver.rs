//! When an agent saves its long flows.

use carobdrum_core::Millis;

use super::{
    SavedFlow,
    SavedFlows, //
};

/// Advance of a sequence number from which the list is written again: half of
/// [`RESET_WINDOW`](super::RESET_WINDOW), so that a saved number stays within it between two writes.
const SAVED_ADVANCE: u32 = 38_400;

/// Bytes of a list that postpone the next save by one second. With the overhead of the request, an agent stays
/// below 4 KB/s.
const BYTES_PER_S: u64 = 2_048;

/// Share of the interval by which it varies in both directions.
const JITTER: f64 = 0.25;

/// What the store holds, as far as the agent knows.
#[derive(Debug)]
enum StoredList {
    /// Nothing.
    Absent,
    /// Possibly any list: that of an earlier process, or one whose write failed.
    Unknown,
    /// The list written last, sorted by the keys of its flows.
    Known(SavedFlows),
}

/// Decides when an agent saves its long flows, and whether a list differs enough from the last one.
#[derive(Debug)]
pub struct FlowSaver {
    interval: Millis,
    next_save: Millis,
    stored: StoredList,
}

impl FlowSaver {
    /// Creates the state of an agent that has saved nothing. `random` is a number from 0 to 1.
    pub fn new(interval: Millis, now: Millis, random: f64) -> FlowSaver {
        let mut saver = FlowSaver {
            interval,
            next_save: now,
            stored: StoredList::Absent,
        };
        saver.postpone(0, now, random);
        saver
    }

    /// Returns when the next list is due.
    pub fn next_save(&self) -> Millis {
        self.next_save
    }

    /// Records that the store may hold a list of an earlier process.
    pub fn note_earlier_list(&mut self) {
        self.stored = StoredList::Unknown;
    }

    /// Records that the store may have come back from a copy that lacks the list written last.
    pub fn note_lost(&mut self) {
        if matches!(self.stored, StoredList::Known(_)) {
            self.stored = StoredList::Unknown;
        }
    }

    /// Returns whether a list has to be written.
    pub fn is_changed(&self, list: &SavedFlows) -> bool {
        match &self.stored {
            StoredList::Absent => !list.flows.is_empty(),
            StoredList::Unknown => true,
            StoredList::Known(stored) => {
                let is_other_run = stored.run != list.run && !list.flows.is_empty();
                is_other_run || has_changed(&stored.flows, &list.flows)
            }
        }
    }

    /// Records that a list that isn't changed, or none, was due.
    pub fn note_unchanged(&mut self, now: Millis, random: f64) {
        self.postpone(0, now, random);
    }

    /// Records that a list of `len` bytes was written.
    pub fn note_saved(&mut self, mut list: SavedFlows, len: usize, now: Millis, random: f64) {
        list.flows.sort_unstable_by_key(|flow| flow.key);
        self.stored = StoredList::Known(list);
        self.postpone(len, now, random);
    }

    /// Records that the write of a list of `len` bytes failed; it may have taken effect, or may do so later.
    pub fn note_failed(&mut self, len: usize, now: Millis, random: f64) {
        self.stored = StoredList::Unknown;
        self.postpone(len, now, random);
    }

    fn postpone(&mut self, len: usize, now: Millis, random: f64) {
        let factor = 1.0 + JITTER * (2.0 * random - 1.0);
        let interval = Millis((self.interval.0 as f64 * factor) as u64);
        let transfer = Millis(len as u64 * 1_000 / BYTES_PER_S);
        self.next_save = now.plus(interval.max(transfer));
    }
}

/// Returns whether `flows` are others than the `stored` ones, which are sorted by key, or one of them has advanced.
fn has_changed(stored: &[SavedFlow], flows: &[SavedFlow]) -> bool {
    let is_unchanged = |flow: &SavedFlow| {
        let found = stored.binary_search_by_key(&flow.key, |stored| stored.key);
        found.is_ok_and(|index| flow.sequence.wrapping_sub(stored[index].sequence) <= SAVED_ADVANCE)
    };
    stored.len() != flows.len() || !flows.iter().all(is_unchanged)
}
