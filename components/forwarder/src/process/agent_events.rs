//! Events of the agents' keys in the store, and what follows from them for a balancer.

use std::{
    cell::RefCell,
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
use crate::connection::BalancerUpdate;

/// Registrations that a balancer has read.
pub(crate) struct ReadRegistrations {
    /// The same state as that of the traffic thread, to tell whether further listings are needed.
    pub(crate) members: RegisteredMembers,
    pub(crate) cleanup: Rc<RefCell<RegistrationCleanup>>,
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
                registrations.cleanup.borrow_mut().note_failure();
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
        let entries = listing.items.iter().filter(|item| !is_registration(item));
        let entries: Vec<AgentRecord> = entries.filter_map(read_entry).collect();
        let Some(registrations) = &mut self.registrations else {
            info!(records = ?entries, "agents read from the store");
            return BalancerUpdate::Agents(entries);
        };
        let mut records = Vec::new();
        let mut revisions = Vec::new();
        for item in listing.items.iter().filter(is_registration) {
            if let Some(record) = read_registration(item) {
                revisions.push((record.address, item.revision));
                records.push(record);
            }
        }
        let addresses = entries.iter().map(|record| record.address);
        registrations
            .cleanup
            .borrow_mut()
            .apply_listing(addresses, revisions);
        let listing = MemberListing {
            entries,
            registrations: records,
            started,
            finished: BootClock.now(),
        };
        let gone = registrations.members.apply_listing(&listing);
        info!(
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
            registrations
                .cleanup
                .borrow_mut()
                .note_registration(record.address, item.revision);
            return Some(BalancerUpdate::Members(MemberUpdate::Registered(record)));
        }
        let record = read_entry(item)?;
        info!(
            agent = %record.address,
            revision = item.revision,
            "store entry of an agent written"
        );
        if let Some(registrations) = &mut self.registrations {
            registrations.members.note_entry(&record);
            registrations
                .cleanup
                .borrow_mut()
                .note_entry(record.address);
        }
        Some(BalancerUpdate::Agent(record))
    }

    fn read_deletion(&mut self, key: &str, revision: u64) -> Option<BalancerUpdate> {
        if let Some(AgentKey::Registration(address)) = parse_agent_key(key) {
            let registrations = self.registrations.as_mut()?;
            info!(agent = %address, revision, "registration of an agent deleted");
            registrations.members.remove_registration(address);
            registrations
                .cleanup
                .borrow_mut()
                .remove_registration(address);
            return Some(BalancerUpdate::Members(MemberUpdate::Unregistered(address)));
        }
        let address = key.strip_prefix(AGENT_PREFIX)?.parse().ok()?;
        info!(agent = %address, revision, "store entry of an agent deleted");
        if let Some(registrations) = &mut self.registrations {
            registrations.members.note_missing(address);
            registrations.cleanup.borrow_mut().note_missing(address);
        }
        Some(BalancerUpdate::Expired(address))
    }
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
