//! Agents that the store lists, and those whose entries are missing there.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::{
    ended_registrations::EndedRegistrations,
    name_hash,
    AgentRecord,
    MemberListing, //
};
use crate::version::StoreRevision;

/// Time for which an entry must be missing, while the store answers, until its agent counts as gone. An
/// agent that lives writes its entry within about two seconds after the store's return.
const MISSING_TIMEOUT: Millis = Millis(2_500);

/// Longest time from the response to one listing to the next listing in which the store is taken to
/// have answered throughout.
const MAX_LISTING_GAP: Millis = Millis(1_000);

/// Interval between probes of an agent whose entry is missing.
const PROBE_INTERVAL: Millis = Millis(300);

/// Number of these probes, after which the agent is left to the listings.
const MAX_PROBES: u8 = 10;

/// Interval between probes of an agent that is marked as absent.
const MARKED_PROBE_INTERVAL: Millis = Millis(100);

/// Number of these probes. If they are unanswered, the agent counts as gone.
const MARKED_PROBES: u8 = 3;

/// What the store shows of an agent's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    Present,
    /// Missing; `since` is the first of the listings without a gap that lacked it.
    Missing {
        since: Option<Millis>,
    },
    /// Missing for so long that the agent counts as gone.
    Gone,
}

/// An agent that the store lists.
#[derive(Clone, Debug)]
struct MemberState {
    address: SocketAddrV4,
    /// Hash of the service's name.
    service: u32,
    is_registered: bool,
    /// Whether the store has come back from a copy that lacks the agent's keys, so that it may write them again.
    is_former: bool,
    entry: EntryState,
    /// Order number of the last write of its keys; zero if it isn't known.
    revision: u64,
    /// Whether a mark says that the agent has been absent for long.
    is_marked: bool,
    /// Whether the agent has sent a packet although its entry is missing.
    has_answered: bool,
    probes: u8,
    last_probe: Option<Millis>,
}

impl MemberState {
    fn new(address: SocketAddrV4, service: u32) -> MemberState {
        MemberState {
            address,
            service,
            is_registered: false,
            is_former: false,
            entry: EntryState::Missing { since: None },
            revision: 0,
            is_marked: false,
            has_answered: false,
            probes: 0,
            last_probe: None,
        }
    }

    fn note_missing(&mut self) {
        if self.entry == EntryState::Present {
            self.entry = EntryState::Missing { since: None };
            self.probes = 0;
        }
    }

    /// Returns whether the agent is left to its mark: it counts as gone unless it answers.
    fn follows_mark(&self) -> bool {
        self.is_marked && !self.has_answered && self.is_missing()
    }

    fn is_missing(&self) -> bool {
        matches!(self.entry, EntryState::Missing { .. })
    }
}

/// Agents that may hold flows according to the store, sorted by address.
///
/// An agent has an entry with a lease and, unless its build is older, a registration without one. A
/// registered agent without an entry counts until a series of listings has lacked the entry for
/// `MISSING_TIMEOUT`. A failed request, or a pause between two listings in which nothing shows that the
/// store answered, begins the series anew, since the agent may not have been able to write its entry. So does a
/// return of the store from an older copy, which may lack an agent that lives.
#[derive(Debug, Default)]
pub struct RegisteredMembers {
    members: Vec<MemberState>,
    /// Response to the last listing; `None` before the first one and after a failed request.
    last_listed: Option<Millis>,
    confirmed_since: Option<Millis>,
    /// Era of the last listing; zero before the first one, or if the store states none.
    era: u32,
    ended: EndedRegistrations,
}

impl RegisteredMembers {
    /// Applies a complete list; returns the agents that count as gone from now on.
    pub fn apply_listing(&mut self, listing: &MemberListing) -> Vec<SocketAddrV4> {
        let begins_era = self.begins_era(listing);
        let is_continued = !begins_era
            && self
                .last_listed
                .is_some_and(|last| listing.started.since(last) <= MAX_LISTING_GAP);
        if begins_era {
            self.ended.carry_over(listing.revision);
        }
        self.era = StoreRevision::from_order(listing.revision).era;
        let before = std::mem::take(&mut self.members);
        let known = |address| {
            let found = before.binary_search_by_key(&address, |member| member.address);
            found.ok().map(|index| &before[index])
        };
        for record in &listing.registrations {
            let mut member = MemberState::new(record.address, name_hash(&record.service));
            member.is_registered = true;
            if let Some(known) = known(record.address) {
                member.entry = known.entry;
                member.has_answered = known.has_answered;
                member.probes = known.probes;
                member.last_probe = known.last_probe;
            }
            member.note_missing();
            self.put(member);
        }
        for record in &listing.entries {
            self.note_entry(record);
        }
        for member in before {
            self.keep_former(member, begins_era);
        }
        for (address, revision) in &listing.revisions {
            self.note_written(*address, *revision);
        }
        for (address, revision) in &listing.absent {
            if let Ok(index) = self.find(*address) {
                let member = &mut self.members[index];
                member.is_marked = member.revision == *revision;
            }
        }
        let mut gone = Vec::new();
        for member in &mut self.members {
            let EntryState::Missing { since } = &mut member.entry else {
                continue;
            };
            match since.filter(|_| is_continued) {
                Some(since) if listing.started.since(since) >= MISSING_TIMEOUT => {
                    member.entry = EntryState::Gone;
                    gone.push(member.address);
                }
                Some(_) => {}
                None => *since = Some(listing.finished),
            }
        }
        self.last_listed = Some(listing.finished);
        self.confirmed_since = Some(listing.started);
        gone
    }

    /// Returns whether the store has come back from an older copy since the last listing.
    pub(crate) fn begins_era(&self, listing: &MemberListing) -> bool {
        self.era > 0 && StoreRevision::from_order(listing.revision).era > self.era
    }

    /// Keeps an agent that the store's copy lacks, until it counts as gone.
    fn keep_former(&mut self, mut member: MemberState, begins_era: bool) {
        let is_kept = begins_era || member.is_former;
        if !is_kept || member.entry == EntryState::Gone {
            return;
        }
        if let Err(index) = self.find(member.address) {
            member.is_registered = false;
            member.is_former = true;
            member.note_missing();
            self.members.insert(index, member);
        }
    }

    /// Records that a request to the store has failed.
    pub fn note_failure(&mut self) {
        self.last_listed = None;
    }

    /// Records that an agent's entry was written.
    pub fn note_entry(&mut self, record: &AgentRecord) {
        let service = name_hash(&record.service);
        let mut member = MemberState::new(record.address, service);
        member.entry = EntryState::Present;
        if let Ok(index) = self.find(record.address) {
            member.is_registered = self.members[index].is_registered;
            member.revision = self.members[index].revision;
        }
        self.put(member);
    }

    /// Records that an agent's entry was deleted or its lease has expired.
    pub fn note_missing(&mut self, address: SocketAddrV4) {
        let Ok(index) = self.find(address) else {
            return;
        };
        self.members[index].note_missing();
        self.remove_unlisted(index);
    }

    /// Records that a key of an agent was written at this order number.
    pub fn note_written(&mut self, address: SocketAddrV4, revision: u64) {
        self.ended.note_written(address, revision);
        if let Ok(index) = self.find(address) {
            let member = &mut self.members[index];
            member.revision = member.revision.max(revision);
        }
    }

    /// Records that the server of an agent has ended, and that its registration of this revision is to be
    /// deleted; returns whether that still holds.
    pub fn note_ended(&mut self, address: SocketAddrV4, revision: u64) -> bool {
        let found = self.find(address);
        let is_newer = found.is_ok_and(|index| self.members[index].revision > revision);
        !is_newer && self.ended.insert(address, revision)
    }

    /// Records a packet of an agent; returns whether its server was taken to have ended.
    pub fn note_alive(&mut self, address: SocketAddrV4) -> bool {
        if let Ok(index) = self.find(address) {
            self.members[index].has_answered = true;
        }
        self.ended.refute(address)
    }

    /// Returns whether the server of an agent has ended according to the agent.
    pub fn has_ended(&self, address: SocketAddrV4) -> bool {
        self.ended.contains(address)
    }

    /// Returns whether the store lists an agent.
    pub fn is_listed(&self, address: SocketAddrV4) -> bool {
        self.find(address).is_ok()
    }

    /// Forgets the ended servers of agents that the store doesn't list and that `is_known` doesn't name.
    pub(crate) fn expire_ended(&mut self, is_known: impl Fn(SocketAddrV4) -> bool) {
        let members = &self.members;
        let is_listed = |address: SocketAddrV4| {
            let found = members.binary_search_by_key(&address, |member| member.address);
            found.is_ok()
        };
        self.ended
            .retain(|address| is_listed(address) || is_known(address));
    }

    /// Records that an agent's registration was written.
    pub fn note_registration(&mut self, record: &AgentRecord) {
        let service = name_hash(&record.service);
        match self.find(record.address) {
            Ok(index) => {
                let member = &mut self.members[index];
                member.is_registered = true;
                member.is_former = false;
                member.is_marked = false;
                member.service = service;
                if member.entry == EntryState::Gone {
                    member.entry = EntryState::Missing { since: None };
                }
            }
            Err(index) => {
                let mut member = MemberState::new(record.address, service);
                member.is_registered = true;
                self.members.insert(index, member);
            }
        }
    }

    /// Records that an agent's registration was deleted.
    pub fn remove_registration(&mut self, address: SocketAddrV4) {
        if let Ok(index) = self.find(address) {
            self.members[index].is_registered = false;
            self.members[index].is_former = false;
            self.remove_unlisted(index);
        }
    }

    /// Returns the number of agents of which the store lists an entry or a registration.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the store lists no agent.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the agents that may hold flows, with the hashes of their services' names.
    pub fn possible_owners(&self) -> impl Iterator<Item = (SocketAddrV4, u32)> + '_ {
        let members = self.members.iter();
        let possible = members.filter(|member| member.entry != EntryState::Gone);
        possible.map(|member| (member.address, member.service))
    }

    /// Returns whether the entry of this agent is missing, but not for long enough to count as gone.
    pub fn lacks_entry(&self, address: SocketAddrV4) -> bool {
        let found = self.find(address);
        found.is_ok_and(|index| self.members[index].is_missing())
    }

    /// Returns whether the entry of an agent is missing that doesn't count as gone yet.
    pub fn has_missing_entries(&self) -> bool {
        self.members.iter().any(MemberState::is_missing)
    }

    /// Returns the time at which the last complete listing was started; `None` before the first one.
    pub fn confirmed_since(&self) -> Option<Millis> {
        self.confirmed_since
    }

    /// Returns at most `limit` agents to probe, as their entries are missing: one that lives reports
    /// itself.
    pub fn next_probes(&mut self, limit: usize, now: Millis) -> Vec<SocketAddrV4> {
        let due = |member: &&mut MemberState| {
            let interval = if member.follows_mark() {
                MARKED_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            };
            let recent = member
                .last_probe
                .is_some_and(|last_probe| now.since(last_probe) < interval);
            member.is_missing() && member.probes < MAX_PROBES && !recent
        };
        let members = self.members.iter_mut().filter(due).take(limit);
        let probes = members.map(|member| {
            member.probes += 1;
            member.last_probe = Some(now);
            member.address
        });
        probes.collect()
    }

    /// Returns the agents that count as gone from now on, since they are marked as absent and have answered no
    /// probe. All packets that arrived before `drained_at` have been read.
    pub fn take_absent(&mut self, drained_at: Millis) -> Vec<SocketAddrV4> {
        let mut gone = Vec::new();
        for member in &mut self.members {
            let is_unanswered = member
                .last_probe
                .is_some_and(|last_probe| drained_at.since(last_probe) >= MARKED_PROBE_INTERVAL);
            if member.follows_mark() && member.probes >= MARKED_PROBES && is_unanswered {
                member.entry = EntryState::Gone;
                gone.push(member.address);
            }
        }
        gone
    }

    /// Returns whether an agent is marked as absent and may still answer.
    pub fn has_marked(&self) -> bool {
        self.members.iter().any(MemberState::follows_mark)
    }

    fn put(&mut self, member: MemberState) {
        match self.find(member.address) {
            Ok(index) => self.members[index] = member,
            Err(index) => self.members.insert(index, member),
        }
    }

    /// Removes a member of which the store lists nothing.
    fn remove_unlisted(&mut self, index: usize) {
        let member = &self.members[index];
        if !member.is_registered && !member.is_former && member.entry != EntryState::Present {
            self.members.remove(index);
        }
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&address, |member| member.address)
    }
}
