//! Events of the agents' keys in the store, and what follows from them for a balancer.

use std::{
    cell::RefCell,
    cmp::Reverse,
    net::SocketAddrV4,
    rc::Rc, //
};

use carobdrum_core::Millis;
use carobdrum_flows::process::{
    AgentRecord,
    MemberListing,
    MemberUpdate,
    RegisteredMembers,
    RegistrationCleanup, //
};
use carobdrum_platform::{
    parse_absent_mark,
    parse_agent_entry,
    parse_agent_key,
    parse_registration,
    AgentKey,
    StoreChange,
    StoreItem,
    StoreListing,
    AGENT_PREFIX, //
};
use tracing::{
    info,
    warn, //
};

use super::{
    boot_clock::BootClock,
    store_watch::KeyEvent, //
};
use crate::connection::{
    revision_and_era,
    BalancerUpdate, //
};

/// Registrations that a balancer has read.
pub(crate) struct ReadRegistrations {
    /// The same state as that of the traffic thread, to tell whether further listings are needed.
    pub(crate) members: RegisteredMembers,
    pub(crate) cleanup: Rc<RefCell<RegistrationCleanup>>,
    /// Decides when agents are marked as absent.
    pub(crate) marks: Rc<RefCell<RegistrationCleanup>>,
}

impl ReadRegistrations {
    fn note(&self, note: impl Fn(&mut RegistrationCleanup)) {
        note(&mut self.cleanup.borrow_mut());
        note(&mut self.marks.borrow_mut());
    }
}

/// Converts events of the agents' keys into updates for the traffic thread.
pub(crate) struct AgentEvents {
    /// `None` while registrations are ignored.
    pub(crate) registrations: Option<ReadRegistrations>,
}

impl AgentEvents {
    /// Returns the updates that follow from an event.
    pub(crate) fn updates(&mut self, event: KeyEvent) -> Vec<BalancerUpdate> {
        match event {
            KeyEvent::All(listing, started) => vec![self.read_listing(&listing, started)],
            KeyEvent::Changes(changes) => {
                let updates = changes.into_iter();
                updates
                    .filter_map(|change| match change {
                        StoreChange::Put(item) => self.read_put(&item),
                        StoreChange::Deleted(key, revision) => self.read_deletion(&key, revision),
                    })
                    .collect()
            }
            KeyEvent::Failed => {
                let Some(registrations) = &mut self.registrations else {
                    return Vec::new();
                };
                registrations.members.note_failure();
                registrations.note(RegistrationCleanup::note_failure);
                vec![BalancerUpdate::Members(MemberUpdate::StoreFailed)]
            }
        }
    }

    /// Returns whether entries of agents are missing that don't count as gone yet.
    pub(crate) fn has_missing_entries(&self) -> bool {
        let registrations = self.registrations.as_ref();
        registrations.is_some_and(|registrations| registrations.members.has_missing_entries())
    }

    /// Returns the number of agents of which the store lists an entry or a registration; zero while
    /// registrations are ignored.
    pub(crate) fn listed_agents(&self) -> usize {
        let registrations = self.registrations.as_ref();
        registrations.map_or(0, |registrations| registrations.members.len())
    }

    fn read_listing(&mut self, listing: &StoreListing, started: Millis) -> BalancerUpdate {
        let is_registration = |item: &&StoreItem| is_registration(&item.key);
        let is_other = |item: &&StoreItem| is_registration(item) || is_mark(&item.key);
        let entries = listing.items.iter().filter(|item| !is_other(item));
        let entries: Vec<AgentRecord> = entries.filter_map(read_entry).collect();
        let Some(registrations) = &mut self.registrations else {
            info!(records = ?entries, "agents read from the store");
            return BalancerUpdate::Agents(entries);
        };
        let mut records = Vec::new();
        let mut revisions = Vec::new();
        let last_writes = last_writes(&listing.items);
        for item in listing.items.iter().filter(is_registration) {
            if let Some(record) = read_registration(item) {
                revisions.push((record.address, item.revision));
                records.push(record);
            }
        }
        let absent = absence_marks(&listing.items);
        registrations.note(|cleanup| {
            let addresses = entries.iter().map(|record| record.address);
            cleanup.apply_listing(addresses, revisions.iter().copied());
        });
        for (address, revision) in &absent {
            registrations
                .marks
                .borrow_mut()
                .conclude(*address, *revision);
        }
        let listing = MemberListing {
            entries,
            registrations: records,
            revision: listing.revision,
            revisions: last_writes,
            absent,
            started,
            finished: BootClock.now(),
        };
        let gone = registrations.members.apply_listing(&listing);
        let (revision, era) = revision_and_era(listing.revision);
        info!(
            revision,
            era,
            entries = listing.entries.len(),
            registrations = listing.registrations.len(),
            has_missing_entries = registrations.members.has_missing_entries(),
            ?gone,
            "agents read from the store"
        );
        BalancerUpdate::Members(MemberUpdate::Listed(listing))
    }

    fn read_put(&mut self, item: &StoreItem) -> Option<BalancerUpdate> {
        if is_registration(&item.key) {
            let registrations = self.registrations.as_mut()?;
            let record = read_registration(item)?;
            registrations.members.note_registration(&record);
            registrations.note(|cleanup| cleanup.note_registration(record.address, item.revision));
            let update = MemberUpdate::Registered(record, item.revision);
            return Some(BalancerUpdate::Members(update));
        }
        if let Some(AgentKey::Absent(address)) = parse_agent_key(&item.key) {
            let registrations = self.registrations.as_mut()?;
            let revision = parse_absent_mark(&item.value)?;
            registrations.marks.borrow_mut().conclude(address, revision);
            return None;
        }
        let record = read_entry(item)?;
        let (revision, era) = revision_and_era(item.revision);
        info!(
            agent = %record.address,
            revision,
            era,
            "store entry of an agent written"
        );
        if let Some(registrations) = &mut self.registrations {
            registrations.members.note_entry(&record);
            registrations.note(|cleanup| cleanup.note_entry(record.address));
        }
        Some(BalancerUpdate::Agent(record, item.revision))
    }

    fn read_deletion(&mut self, key: &str, order: u64) -> Option<BalancerUpdate> {
        let (revision, era) = revision_and_era(order);
        if let Some(AgentKey::Registration(address)) = parse_agent_key(key) {
            let registrations = self.registrations.as_mut()?;
            info!(agent = %address, revision, era, "registration of an agent deleted");
            registrations.members.remove_registration(address);
            registrations.note(|cleanup| cleanup.remove_registration(address));
            return Some(BalancerUpdate::Members(MemberUpdate::Unregistered(address)));
        }
        let address = key.strip_prefix(AGENT_PREFIX)?.parse().ok()?;
        info!(agent = %address, revision, era, "store entry of an agent deleted");
        if let Some(registrations) = &mut self.registrations {
            registrations.members.note_missing(address);
            registrations.note(|cleanup| cleanup.note_missing(address));
        }
        Some(BalancerUpdate::Expired(address))
    }
}

/// Returns the revision of each agent's last write, sorted by address.
fn last_writes(items: &[StoreItem]) -> Vec<(SocketAddrV4, u64)> {
    let written = items
        .iter()
        .filter_map(|item| match parse_agent_key(&item.key)? {
            AgentKey::Entry(address) | AgentKey::Registration(address) => {
                Some((address, item.revision))
            }
            AgentKey::Absent(_) => None,
        });
    let mut written: Vec<(SocketAddrV4, u64)> = written.collect();
    written.sort_unstable_by_key(|(address, revision)| (*address, Reverse(*revision)));
    written.dedup_by_key(|(address, _)| *address);
    written
}

/// Returns the agents that are marked as absent, with the revisions of the registrations for which the marks
/// hold.
fn absence_marks(items: &[StoreItem]) -> Vec<(SocketAddrV4, u64)> {
    let marks = items.iter().filter_map(|item| {
        let Some(AgentKey::Absent(address)) = parse_agent_key(&item.key) else {
            return None;
        };
        Some((address, parse_absent_mark(&item.value)?))
    });
    let mut marks: Vec<(SocketAddrV4, u64)> = marks.collect();
    marks.sort_unstable();
    marks
}

fn is_mark(key: &str) -> bool {
    matches!(parse_agent_key(key), Some(AgentKey::Absent(_)))
}

fn is_registration(key: &str) -> bool {
    matches!(parse_agent_key(key), Some(AgentKey::Registration(_)))
}

fn read_entry(item: &StoreItem) -> Option<AgentRecord> {
    let record = parse_agent_entry(&item.key, &item.value);
    if record.is_none() {
        warn!(key = %item.key, "store entry of an agent is malformed");
    }
    record
}

fn read_registration(item: &StoreItem) -> Option<AgentRecord> {
    let record = parse_registration(&item.key, &item.value);
    if record.is_none() {
        warn!(key = %item.key, "registration of an agent is malformed");
    }
    record
}
