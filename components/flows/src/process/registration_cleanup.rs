//! Deletion of the registrations of agents that are gone.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

/// Registration of an agent whose entry is missing.
#[derive(Clone, Copy, Debug)]
struct OrphanedRegistration {
    address: SocketAddrV4,
    revision: u64,
    due: Millis,
}

/// Decides when a balancer deletes the registration of an agent whose entry is missing: once it has been
/// missing for the retention time, and after a random delay of up to the same time, so that one balancer of
/// many usually deletes it for all. An agent that lives but can't write its entry gets flows for as long as
/// balancers know it, so the retention time has to outlast any such cut.
///
/// A failed request to the store begins this time anew: the agent may not have been able to write its
/// entry.
#[derive(Debug)]
pub struct RegistrationCleanup {
    retention: Millis,
    /// Revisions of the registrations, sorted by address.
    registrations: Vec<(SocketAddrV4, u64)>,
    /// Agents that have an entry, sorted.
    entries: Vec<SocketAddrV4>,
    /// Sorted by address.
    orphans: Vec<OrphanedRegistration>,
    /// Registrations of which nothing more is to be done, sorted.
    concluded: Vec<(SocketAddrV4, u64)>,
}

impl RegistrationCleanup {
    /// Creates the state of a balancer that has read nothing yet. `retention` is the time for
    /// which an entry has to be missing.
    pub fn new(retention: Millis) -> RegistrationCleanup {
        RegistrationCleanup {
            retention,
            registrations: Vec::new(),
            entries: Vec::new(),
            orphans: Vec::new(),
            concluded: Vec::new(),
        }
    }

    /// Applies a complete list: the agents that have an entry, and the revisions of the registrations.
    pub fn apply_listing(
        &mut self,
        entries: impl IntoIterator<Item = SocketAddrV4>,
        registrations: impl IntoIterator<Item = (SocketAddrV4, u64)>,
    ) {
        self.entries = entries.into_iter().collect();
        self.entries.sort_unstable();
        self.registrations = registrations.into_iter().collect();
        self.registrations.sort_unstable();
        let registrations = &self.registrations;
        self.concluded
            .retain(|concluded| registrations.binary_search(concluded).is_ok());
    }

    /// Records that an agent's entry was written.
    pub fn note_entry(&mut self, address: SocketAddrV4) {
        if let Err(index) = self.entries.binary_search(&address) {
            self.entries.insert(index, address);
        }
    }

    /// Records that an agent's entry was deleted.
    pub fn note_missing(&mut self, address: SocketAddrV4) {
        if let Ok(index) = self.entries.binary_search(&address) {
            self.entries.remove(index);
        }
    }

    /// Records that an agent's registration was written at this revision.
    pub fn note_registration(&mut self, address: SocketAddrV4, revision: u64) {
        match self.find(address) {
            Ok(index) => self.registrations[index].1 = revision,
            Err(index) => self.registrations.insert(index, (address, revision)),
        }
    }

    /// Records that an agent's registration was deleted.
    pub fn remove_registration(&mut self, address: SocketAddrV4) {
        if let Ok(index) = self.find(address) {
            self.registrations.remove(index);
        }
    }

    /// Records that nothing more is to be done about the registration of this revision.
    pub fn conclude(&mut self, address: SocketAddrV4, revision: u64) {
        if let Err(index) = self.concluded.binary_search(&(address, revision)) {
            self.concluded.insert(index, (address, revision));
        }
    }

    /// Records that a request to the store has failed.
    pub fn note_failure(&mut self) {
        self.orphans.clear();
    }

    /// Returns the registration to delete next, with its revision; `None` if none is due. `random` returns
    /// a number from 0 to 1 for each agent whose entry has become missing.
    pub fn next_due(
        &mut self,
        now: Millis,
        mut random: impl FnMut() -> f64,
    ) -> Option<(SocketAddrV4, u64)> {
        let before = std::mem::take(&mut self.orphans);
        let mut orphans = Vec::new();
        for &(address, revision) in &self.registrations {
            let is_concluded = self.concluded.binary_search(&(address, revision)).is_ok();
            if is_concluded || !self.is_orphaned(address, revision) {
                continue;
            }
            let known = before.binary_search_by_key(&address, |item| item.address);
            let known = known.ok().map(|index| before[index]);
            orphans.push(match known.filter(|item| item.revision == revision) {
                Some(item) => item,
                None => {
                    let delay = self.retention.0 as f64 * random();
                    OrphanedRegistration {
                        address,
                        revision,
                        due: now.plus(self.retention).plus(Millis(delay as u64)),
                    }
                }
            });
        }
        let found = orphans.iter_mut().find(|item| item.due <= now);
        let next = found.map(|item| {
            // Tried again after the same time if the deletion fails.
            item.due = now.plus(self.retention);
            (item.address, item.revision)
        });
        self.orphans = orphans;
        next
    }

    /// Returns whether the registration is still at this revision and its agent's entry is missing.
    pub fn is_orphaned(&self, address: SocketAddrV4, revision: u64) -> bool {
        let found = self.find(address);
        let is_same = found.is_ok_and(|index| self.registrations[index].1 == revision);
        is_same && self.entries.binary_search(&address).is_err()
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.registrations
            .binary_search_by_key(&address, |registration| registration.0)
    }
}
