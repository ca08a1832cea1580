//! Registrations whose agents have said that their servers have ended.

use std::net::SocketAddrV4;

/// What an agent has said of its registration.
#[derive(Clone, Copy, Debug)]
struct EndedRegistration {
    address: SocketAddrV4,
    revision: u64,
    /// Whether a packet of the agent came later, so that a new process may have started. A message about
    /// the same revision may be late and counts no more.
    is_refuted: bool,
}

/// Registrations whose agents have said that their servers have ended, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct EndedRegistrations {
    items: Vec<EndedRegistration>,
}

impl EndedRegistrations {
    /// Adds the registration of this revision; returns whether it counts as ended.
    pub(crate) fn insert(&mut self, address: SocketAddrV4, revision: u64) -> bool {
        let item = EndedRegistration {
            address,
            revision,
            is_refuted: false,
        };
        match self.find(address) {
            Ok(index) if self.items[index].revision < revision => self.items[index] = item,
            Ok(index) => {
                let known = self.items[index];
                return known.revision == revision && !known.is_refuted;
            }
            Err(index) => self.items.insert(index, item),
        }
        true
    }

    /// Records that a key of the agent was written at this revision.
    pub(crate) fn note_written(&mut self, address: SocketAddrV4, revision: u64) {
        if let Ok(index) = self.find(address) {
            if self.items[index].revision < revision {
                self.items.remove(index);
            }
        }
    }

    /// Records that the store has come back from an older copy, and was listed first at this revision. The copy may
    /// hold the registrations again, so only a later write shows that an agent is back.
    pub(crate) fn carry_over(&mut self, revision: u64) {
        for item in &mut self.items {
            item.revision = item.revision.max(revision);
        }
    }

    /// Records a packet of the agent; returns whether its registration counted as ended.
    pub(crate) fn refute(&mut self, address: SocketAddrV4) -> bool {
        let Ok(index) = self.find(address) else {
            return false;
        };
        let before = std::mem::replace(&mut self.items[index].is_refuted, true);
        !before
    }

    /// Returns whether the registration of the agent counts as ended.
    pub(crate) fn contains(&self, address: SocketAddrV4) -> bool {
        let found = self.find(address);
        found.is_ok_and(|index| !self.items[index].is_refuted)
    }

    /// Removes the registrations of agents for which `is_kept` returns `false`.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(SocketAddrV4) -> bool) {
        self.items.retain(|item| is_kept(item.address));
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.items
            .binary_search_by_key(&address, |item| item.address)
    }
}
