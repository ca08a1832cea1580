//! Agents that may hold flows, and the listings of the store that show them.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::{
    AgentState,
    AgentTable,
    FIRST_REPORT_TIMEOUT, //
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
                let begins_era = self.members.begins_era(&listing);
                let gone = self.members.apply_listing(&listing);
                if begins_era {
                    self.apply_copied_entries(listing.entries, now);
                } else {
                    self.apply_entries(listing.entries, now);
                }
                return gone;
            }
            MemberUpdate::Registered(record, revision) => {
                self.members.note_registration(&record);
                self.members.note_written(record.address, revision);
            }
            MemberUpdate::Unregistered(address) => self.members.remove_registration(address),
            MemberUpdate::StoreFailed => self.members.note_failure(),
        }
        Vec::new()
    }

    /// Returns all agents that may hold flows of these services, given by the hashes of their names;
    /// those of any service for `None`. They are the agents of the table, and registered ones whose
    /// entry has not been missing for long enough to count as gone, except those whose servers have ended.
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
            .filter(|address| !self.members.has_ended(*address))
            .collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Records that a key of an agent was written at this revision.
    pub fn note_written(&mut self, address: SocketAddrV4, revision: u64) {
        self.members.note_written(address, revision);
    }

    /// Records that the server of an agent has ended, as the agent says, and that its registration of this
    /// revision is to be deleted; returns whether that still holds. The agent counts as no possible owner
    /// then, until a key with a newer revision or a packet of it appears.
    ///
    /// A message about an unknown agent is ignored. So is one about an agent whose last report tells of
    /// a server that isn't leaving: the message is late, and a new process has started.
    pub fn note_ended(&mut self, address: SocketAddrV4, revision: u64) -> bool {
        let state = self.find(address).ok().map(|index| &self.agents[index]);
        if state.is_none() && !self.members.is_listed(address) {
            return false;
        }
        let is_leaving = state.is_none_or(|state| {
            let report = &state.report;
            state.last_heard.is_none() || (report.is_confirmed && !report.accepts)
        });
        is_leaving && self.members.note_ended(address, revision)
    }

    /// Records a packet of an agent; returns whether its server was taken to have ended.
    pub fn note_alive(&mut self, address: SocketAddrV4) -> bool {
        self.members.note_alive(address)
    }

    /// Returns whether an agent is marked as absent and may still answer.
    pub fn has_marked(&self) -> bool {
        self.members.has_marked()
    }

    /// Returns the agents that count as gone from now on, since they are marked as absent and have answered no
    /// probe. All packets that arrived before `drained_at` have been read.
    pub fn take_absent(&mut self, drained_at: Millis) -> Vec<SocketAddrV4> {
        self.members.take_absent(drained_at)
    }

    /// Returns whether an agent is in the table: it has an entry, or answers.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.find(address).is_ok()
    }

    /// Forgets the ended servers of agents that are no longer known.
    pub(super) fn expire_ended(&mut self) {
        let agents = &self.agents;
        self.members.expire_ended(|address| {
            let found = agents.binary_search_by_key(&address, |state| state.record.address);
            found.is_ok()
        });
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

    /// Applies the entries of a store that has come back from an older copy. They say nothing new of an agent that is
    /// known. One that isn't known may be gone, and gets no flow before it has reported itself.
    fn apply_copied_entries(&mut self, mut records: Vec<AgentRecord>, now: Millis) {
        records.sort_by_key(|record| record.address);
        self.expire_missing(&records, now);
        for record in records {
            if let Err(index) = self.find(record.address) {
                let unproven = AgentState {
                    unanswered_since: Some(Millis(now.0.saturating_sub(FIRST_REPORT_TIMEOUT.0))),
                    ..AgentState::new(record)
                };
                self.agents.insert(index, unproven);
            }
        }
        self.loaded = true;
        self.index();
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
