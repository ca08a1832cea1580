//! Agents that may hold flows, and the listings of the store that show them.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::{
    AgentState,
    AgentTable, //
};
use crate::process::{
    AgentRecord,
    MemberUpdate, //
};

impl AgentTable {
    /// Applies what was read of the agents' registrations; returns the agents that count as gone from
    /// now on.
    pub fn apply_members(&mut self, update: MemberUpdate, now: Millis) -> Vec<SocketAddrV4> {
        match update {
            MemberUpdate::Listed(listing) => {
                let gone = self.members.apply_listing(&listing);
                self.apply_entries(listing.entries, now);
                return gone;
            }
            MemberUpdate::Registered(record) => self.members.note_registration(&record),
            MemberUpdate::Unregistered(address) => self.members.remove_registration(address),
            MemberUpdate::StoreFailed => self.members.note_failure(),
        }
        Vec::new()
    }

    /// Returns all agents that may hold flows of these services, given by the hashes of their names;
    /// those of any service for `None`. They are the agents of the table, and registered ones whose
    /// entry has not been missing for long enough to count as gone.
    pub fn possible_owners(&self, services: Option<&[u32]>) -> Vec<SocketAddrV4> {
        self.collect_owners(services, |_| false)
    }

    /// Returns these agents and those whose servers have sent them no heartbeat yet. Until then an agent
    /// that was restarted reports the service of its settings, which may not be that of its server.
    pub(crate) fn possible_or_unconfirmed(&self, services: Option<&[u32]>) -> Vec<SocketAddrV4> {
        self.collect_owners(services, |state| !state.report.is_confirmed)
    }

    /// Returns the agents that may hold flows of `services`, and those of the table that are `included`
    /// whatever their service is, sorted.
    fn collect_owners(
        &self,
        services: Option<&[u32]>,
        included: impl Fn(&AgentState) -> bool,
    ) -> Vec<SocketAddrV4> {
        let is_asked = |service| services.is_none_or(|services| services.contains(&service));
        let known = self.agents.iter();
        let known = known.filter(|state| is_asked(state.service) || included(state));
        let members = self.members.possible_owners();
        let members = members.filter(|(_, service)| is_asked(*service));
        let mut owners: Vec<SocketAddrV4> = known
            .map(|state| state.record.address)
            .chain(members.map(|(address, _)| address))
            .collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Returns whether this agent's entry is missing, but not for long enough to count as gone.
    pub(crate) fn lacks_entry(&self, address: SocketAddrV4) -> bool {
        self.members.lacks_entry(address)
    }

    /// Returns the time at which the last complete and successful listing of the store was started;
    /// `None` before the first one.
    pub fn confirmed_since(&self) -> Option<Millis> {
        self.members.confirmed_since()
    }

    /// Applies the entries of a listing. Listings may follow each other quickly, so one that is unchanged
    /// says nothing about an agent that doesn't answer; it remains suspect.
    fn apply_entries(&mut self, mut records: Vec<AgentRecord>, now: Millis) {
        records.sort_by_key(|record| record.address);
        self.expire_missing(&records, now);
        for record in records {
            let known = self.find(record.address).ok();
            let known = known.map(|index| &self.agents[index]);
            let is_unchanged =
                |state: &AgentState| state.record == record && state.expired_since.is_none();
            if !known.is_some_and(is_unchanged) {
                self.put(record, now);
            }
        }
        self.loaded = true;
        self.index();
    }
}
