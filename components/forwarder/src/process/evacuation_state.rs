//! Evacuated data centres, as the store lists them and as they are in force.

use carobdrum_core::Millis;
use carobdrum_flows::version::{
    ProvisionalState,
    StoreRevision, //
};
use carobdrum_platform::evacuation_key;
use compact_str::CompactString;
use tracing::info;

/// Time for which an evacuation holds that the store lacks since its return from an older copy, unless the operator
/// writes it again sooner. Ending an evacuation too early breaks a promise, ending it late costs capacity.
const EVACUATION_HOLD: Millis = Millis(10_000);

/// Time for which an evacuation doesn't begin again that the store's copy has brought back, unless the operator ends it
/// again sooner. An evacuation that is written at the same revision by chance begins that much later.
const ECHO_HOLD: Millis = Millis(3_000);

/// An entry of the operator that evacuates a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EvacuationEntry {
    pub(super) centre: CompactString,
    /// Order number of the entry; `None` if a peer has told of it.
    pub(super) revision: Option<u64>,
}

/// Tracks the evacuations, and keeps them through a return of the store from an older copy.
///
/// The operator writes again what the copy lacks. Until then, an evacuation that was in force remains, and one that had
/// ended doesn't begin again. An entry that the copy held shows by its revision; any other is an edit of the new era.
#[derive(Debug, Default)]
pub(super) struct EvacuationState {
    /// Entries in the store, sorted by data centre.
    listed: Vec<EvacuationEntry>,
    /// States that differ from those in the store, sorted by data centre.
    provisional: Vec<ProvisionalState>,
    /// Last entries of evacuations that have ended, sorted by data centre.
    ended: Vec<EvacuationEntry>,
}

impl EvacuationState {
    /// Returns the data centres that are evacuated at `now`, sorted.
    pub(super) fn in_force(&mut self, now: Millis) -> Vec<CompactString> {
        self.expire(now);
        let listed = self.listed.iter().map(|entry| &entry.centre);
        let listed = listed.filter(|centre| self.find_provisional(centre).is_err());
        let held = self.provisional.iter().filter(|state| state.is_evacuated);
        let held = held.map(|state| &state.centre);
        let mut centres: Vec<CompactString> = listed.chain(held).cloned().collect();
        centres.sort();
        centres
    }

    /// Returns the states that differ from those in the store.
    pub(super) fn provisional(&self) -> &[ProvisionalState] {
        &self.provisional
    }

    /// Returns the time at which the next state ends that differs from that in the store.
    pub(super) fn next_expiry(&self) -> Option<Millis> {
        self.provisional.iter().map(|state| state.until).min()
    }

    /// Records that the operator has written an entry.
    pub(super) fn note_entry(&mut self, entry: EvacuationEntry) {
        self.remove_provisional(&entry.centre);
        put(&mut self.listed, entry);
    }

    /// Records that the operator has deleted the entry with this key.
    pub(super) fn note_deletion(&mut self, key: &str) {
        if let Some(index) = position(&self.listed, key) {
            let entry = self.listed.remove(index);
            put(&mut self.ended, entry);
        }
        self.provisional
            .retain(|state| evacuation_key(&state.centre) != key);
    }

    /// Replaces the entries by those of a list. `begins_era` tells that the store has come back from an older copy.
    pub(super) fn replace(&mut self, entries: Vec<EvacuationEntry>, begins_era: bool, now: Millis) {
        let before = self.in_force(now);
        self.set_listed(entries);
        if begins_era {
            self.provisional.clear();
            self.hold_missing(&before, now);
            self.hold_echoes(&before, now);
            return;
        }
        let (listed, ended) = (&self.listed, &self.ended);
        self.provisional.retain(|state| {
            let entry = find(listed, &state.centre).map(|index| &listed[index]);
            match entry {
                Ok(entry) => !state.is_evacuated && is_echo(ended, entry),
                Err(_) => state.is_evacuated,
            }
        });
    }

    /// Adopts the evacuations of a peer. `begins_era` tells that the store has come back from an older copy since those
    /// that are known here.
    pub(super) fn adopt(
        &mut self,
        in_force: &[CompactString],
        provisional: &[ProvisionalState],
        begins_era: bool,
        now: Millis,
    ) {
        let before = self.in_force(now);
        let is_held = |centre: &CompactString| {
            let mut states = provisional.iter();
            states.any(|state| state.is_evacuated && state.centre == *centre)
        };
        let suppressed = provisional.iter().filter(|state| !state.is_evacuated);
        let suppressed = suppressed.map(|state| &state.centre);
        let listed = in_force.iter().filter(|centre| !is_held(centre));
        let entries = listed.chain(suppressed).map(|centre| EvacuationEntry {
            centre: centre.clone(),
            revision: None,
        });
        let entries = entries.collect();
        let own = std::mem::take(&mut self.provisional);
        self.set_listed(entries);
        for state in provisional {
            self.put_provisional(state.clone());
        }
        if begins_era {
            self.hold_missing(&before, now);
            return;
        }
        for state in own.into_iter().filter(|state| state.is_evacuated) {
            let is_known = find(&self.listed, &state.centre).is_ok();
            if !is_known && self.find_provisional(&state.centre).is_err() {
                self.put_provisional(state);
            }
        }
    }

    /// Holds the evacuations that were in force and that the store's copy lacks.
    fn hold_missing(&mut self, before: &[CompactString], now: Millis) {
        for centre in before {
            let is_known = find(&self.listed, centre).is_ok();
            if is_known || self.find_provisional(centre).is_ok() {
                continue;
            }
            info!(%centre, "evacuation held: the store has come back without it");
            self.put_provisional(ProvisionalState {
                centre: centre.clone(),
                is_evacuated: true,
                until: now.plus(EVACUATION_HOLD),
            });
        }
    }

    /// Keeps the evacuations from beginning again that had ended and that the store's copy has brought back.
    fn hold_echoes(&mut self, before: &[CompactString], now: Millis) {
        let listed = self.listed.iter();
        let echoes = listed.filter(|entry| {
            let was_evacuated = before.contains(&entry.centre);
            !was_evacuated && is_echo(&self.ended, entry)
        });
        let echoes: Vec<CompactString> = echoes.map(|entry| entry.centre.clone()).collect();
        for centre in echoes {
            info!(%centre, "evacuation not begun again: the store has come back with it");
            self.put_provisional(ProvisionalState {
                centre,
                is_evacuated: false,
                until: now.plus(ECHO_HOLD),
            });
        }
    }

    /// Replaces the entries in the store, and remembers those that it no longer has.
    fn set_listed(&mut self, entries: Vec<EvacuationEntry>) {
        let before = std::mem::take(&mut self.listed);
        for entry in entries {
            put(&mut self.listed, entry);
        }
        for entry in before {
            if find(&self.listed, &entry.centre).is_err() {
                put(&mut self.ended, entry);
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        self.provisional.retain(|state| {
            let is_over = state.until <= now;
            if is_over {
                let (centre, is_evacuated) = (&state.centre, state.is_evacuated);
                info!(%centre, is_evacuated, "the store decides about the data centre again");
            }
            !is_over
        });
    }

    fn find_provisional(&self, centre: &CompactString) -> Result<usize, usize> {
        self.provisional
            .binary_search_by(|state| state.centre.cmp(centre))
    }

    fn put_provisional(&mut self, state: ProvisionalState) {
        match self.find_provisional(&state.centre) {
            Ok(index) => self.provisional[index] = state,
            Err(index) => self.provisional.insert(index, state),
        }
    }

    fn remove_provisional(&mut self, centre: &CompactString) {
        if let Ok(index) = self.find_provisional(centre) {
            self.provisional.remove(index);
        }
    }
}

/// Returns whether an entry is that of an evacuation that has ended, which the store's copy held.
fn is_echo(ended: &[EvacuationEntry], entry: &EvacuationEntry) -> bool {
    let earlier = find(ended, &entry.centre).ok();
    let earlier = earlier.and_then(|index| ended[index].revision);
    let pair = earlier.zip(entry.revision);
    pair.is_some_and(|(earlier, revision)| {
        let earlier = StoreRevision::from_order(earlier);
        StoreRevision::from_order(revision).is_echo_of(earlier)
    })
}

fn find(entries: &[EvacuationEntry], centre: &CompactString) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.centre.cmp(centre))
}

fn position(entries: &[EvacuationEntry], key: &str) -> Option<usize> {
    let mut entries = entries.iter();
    entries.position(|entry| evacuation_key(&entry.centre) == key)
}

fn put(entries: &mut Vec<EvacuationEntry>, entry: EvacuationEntry) {
    match find(entries, &entry.centre) {
        Ok(index) => entries[index] = entry,
        Err(index) => entries.insert(index, entry),
    }
}
