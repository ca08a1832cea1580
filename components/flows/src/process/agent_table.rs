//! Table of the agents known to a balancer.

mod members;
mod service_agents;
mod usable;

use std::net::SocketAddrV4;

use carobdrum_core::{
    process::{
        address_to_number,
        splitmix64, //
    },
    Millis,
};

use self::service_agents::ServiceAgents;
use super::{
    name_hash,
    AgentRecord,
    AgentReport,
    RegisteredMembers,
    ServerWeight, //
};

/// Time without an answer to a packet after which an agent is suspect.
const SUSPECT_TIMEOUT: Millis = Millis(250);

/// The same for an agent that has never reported: an agent answers its first packet at once.
const FIRST_REPORT_TIMEOUT: Millis = Millis(60);

/// Time without a report after which an agent whose store entry has expired is removed.
const EXPIRED_RETENTION: Millis = Millis(2_000);

/// Time for which an agent is probed after it was last a candidate of a packet.
const CANDIDATE_RETENTION: Millis = Millis(1_000);

/// Time without a report after which a recent candidate is probed.
const SILENCE_TIMEOUT: Millis = Millis(400);

/// Limit of the probes at a time, so that their number doesn't grow with the fleet.
const MAX_PROBES: usize = 32;

/// Time for which the load in a report is taken into account.
const REPORT_TTL: Millis = Millis(150);

/// Share of failed responses from which a server is ejected and gets only a few trial flows, in
/// percent.
const EJECT_PERCENT: u8 = 30;

/// An agent and what is known of it from its reports.
#[derive(Clone, Debug)]
pub(crate) struct AgentState {
    pub(crate) record: AgentRecord,
    /// Hash of the address, for the ranking.
    pub(crate) hash: u64,
    /// Hash of the service's name.
    pub(crate) service: u32,
    /// Hash of the data centre's name.
    pub(crate) centre: u32,
    pub(crate) report: AgentReport,
    pub(crate) weight: ServerWeight,
    /// Time of the first packet sent since the last report.
    unanswered_since: Option<Millis>,
    /// Time of the last report.
    last_heard: Option<Millis>,
    /// Time at which the store entry was found to have expired.
    expired_since: Option<Millis>,
    /// Last time the agent was a candidate of a packet.
    last_candidate: Option<Millis>,
}

impl AgentState {
    fn new(record: AgentRecord) -> AgentState {
        let address = record.address;
        AgentState {
            hash: splitmix64(address_to_number(address)),
            service: name_hash(&record.service),
            centre: name_hash(&record.centre),
            report: AgentReport {
                accepts: !record.is_leaving,
                ..AgentReport::default()
            },
            record,
            weight: ServerWeight::default(),
            unanswered_since: None,
            last_heard: None,
            expired_since: None,
            last_candidate: None,
        }
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        let timeout = match self.last_heard {
            Some(_) => SUSPECT_TIMEOUT,
            None => FIRST_REPORT_TIMEOUT,
        };
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= timeout)
    }

    /// Returns whether a recent report shows no free slot.
    pub(crate) fn is_busy(&self, now: Millis) -> bool {
        self.is_heard(now) && self.report.is_full()
    }

    /// Returns whether a recent report shows a free slot.
    pub(crate) fn is_free(&self, now: Millis) -> bool {
        self.is_heard(now) && !self.report.is_full()
    }

    /// Returns whether the last report is recent enough to show the load.
    fn is_heard(&self, now: Millis) -> bool {
        let last_heard = self.last_heard;
        last_heard.is_some_and(|last_heard| now.since(last_heard) < REPORT_TTL)
    }

    /// Returns whether a packet was sent to the agent since its last report.
    pub(crate) fn is_awaited(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Returns whether the server fails so often that it is ejected.
    pub(crate) fn is_failing(&self) -> bool {
        self.report.failure_percent >= EJECT_PERCENT
    }

    /// Returns whether `record` differs only in that the server is leaving.
    fn is_leaving_now(&self, record: &AgentRecord) -> bool {
        let known = &self.record;
        let is_same = known.service == record.service && known.centre == record.centre;
        is_same && record.is_leaving && !known.is_leaving
    }

    fn needs_probe(&self, now: Millis) -> bool {
        let recent = |time: Option<Millis>, span| time.is_some_and(|time| now.since(time) < span);
        let quiet = recent(self.last_candidate, CANDIDATE_RETENTION)
            && !recent(self.last_heard, SILENCE_TIMEOUT);
        let unknown = self.last_heard.is_none() && self.unanswered_since.is_none();
        self.is_suspect(now) || self.expired_since.is_some() || quiet || unknown
    }

    fn is_removable(&self, now: Millis) -> bool {
        let Some(expired_since) = self.expired_since else {
            return false;
        };
        let last = self
            .last_heard
            .map_or(expired_since, |last_heard| last_heard.max(expired_since));
        now.since(last) >= EXPIRED_RETENTION
    }
}

/// Agents known to a balancer, sorted by address.
#[derive(Debug, Default)]
pub struct AgentTable {
    agents: Vec<AgentState>,
    /// Agents of each service, sorted by service.
    services: Vec<ServiceAgents>,
    loaded: bool,
    /// Agents that the store lists, also those that aren't in the table.
    members: RegisteredMembers,
    /// Index from which the search for agents to probe continues.
    next_probe: usize,
}

impl AgentTable {
    /// Applies the complete list of the store; a known agent that is missing there counts as
    /// expired.
    pub fn replace(&mut self, records: impl IntoIterator<Item = AgentRecord>, now: Millis) {
        let mut records: Vec<AgentRecord> = records.into_iter().collect();
        records.sort_by_key(|record| record.address);
        self.expire_missing(&records, now);
        for record in records {
            self.put(record, now);
        }
        self.loaded = true;
        self.index();
    }

    /// Marks the entries of agents that are missing in `records`, sorted by address, as expired.
    fn expire_missing(&mut self, records: &[AgentRecord], now: Millis) {
        for state in &mut self.agents {
            let found =
                records.binary_search_by_key(&state.record.address, |record| record.address);
            if found.is_err() {
                state.expired_since.get_or_insert(now);
            }
        }
    }

    /// Adds an agent, or updates it when its store entry was written again.
    pub fn insert(&mut self, record: AgentRecord, now: Millis) {
        self.members.note_entry(&record);
        self.put(record, now);
        self.index();
    }

    fn put(&mut self, record: AgentRecord, now: Millis) {
        match self.find(record.address) {
            Ok(index) => {
                let state = &mut self.agents[index];
                state.expired_since = None;
                if state.is_leaving_now(&record) {
                    state.record = record;
                    state.report.accepts = false;
                } else if state.record != record {
                    *state = AgentState::new(record);
                } else if state.is_suspect(now) {
                    // The entry was written again, so the agent may have been restarted.
                    state.unanswered_since = None;
                }
            }
            Err(index) => self.agents.insert(index, AgentState::new(record)),
        }
    }

    /// Adds an agent that sent a report if it isn't known, or corrects its service and data centre;
    /// returns whether anything changed. Without an entry in the store it remains for as long as it
    /// answers.
    pub fn discover(&mut self, record: AgentRecord, now: Millis) -> bool {
        let address = record.address;
        let Ok(index) = self.find(address) else {
            self.put(record, now);
            self.index();
            self.expire_entry(address, now);
            self.loaded = true;
            return true;
        };
        let state = &mut self.agents[index];
        let known = &state.record;
        if known.service == record.service && known.centre == record.centre {
            return false;
        }
        let expired_since = state.expired_since;
        *state = AgentState::new(AgentRecord {
            is_leaving: known.is_leaving,
            ..record
        });
        state.expired_since = expired_since;
        self.index();
        true
    }

    /// Marks the store entry of an agent as expired; the agent remains for as long as it answers.
    pub fn mark_expired(&mut self, address: SocketAddrV4, now: Millis) {
        self.members.note_missing(address);
        self.expire_entry(address, now);
    }

    fn expire_entry(&mut self, address: SocketAddrV4, now: Millis) {
        if let Ok(index) = self.find(address) {
            self.agents[index].expired_since.get_or_insert(now);
        }
    }

    /// Removes the agents whose entries have expired and that don't answer; returns their
    /// addresses.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let removed: Vec<SocketAddrV4> = self
            .agents
            .iter()
            .filter(|state| state.is_removable(now))
            .map(|state| state.record.address)
            .collect();
        if !removed.is_empty() {
            self.agents.retain(|state| !state.is_removable(now));
            self.index();
        }
        self.expire_ended();
        removed
    }

    /// Returns the agents to probe now, in rotation: new ones, those that don't answer, those whose
    /// entries have expired, and recent candidates without a recent report. A probe counts as a
    /// packet sent. Registered agents without an entry follow.
    pub fn next_probes(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut probes = Vec::new();
        let count = self.agents.len();
        let start = self.next_probe;
        for step in 0..count {
            if probes.len() == MAX_PROBES {
                break;
            }
            let index = (start + step) % count;
            let state = &mut self.agents[index];
            if state.needs_probe(now) {
                state.unanswered_since.get_or_insert(now);
                probes.push(state.record.address);
                self.next_probe = index + 1;
            }
        }
        let missing = self.members.next_probes(MAX_PROBES - probes.len(), now);
        probes.extend(
            missing
                .into_iter()
                .filter(|address| self.find(*address).is_err()),
        );
        probes
    }

    /// Records that the agent with this index is a candidate of a packet.
    pub(crate) fn note_candidate(&mut self, index: u32, now: Millis) {
        self.agents[index as usize].last_candidate = Some(now);
    }

    /// Records that a packet was sent to an agent.
    pub fn note_sent(&mut self, address: SocketAddrV4, now: Millis) {
        if let Ok(index) = self.find(address) {
            self.agents[index].unanswered_since.get_or_insert(now);
        }
    }

    /// Applies a report; returns whether the agent's suspicion, acceptance of flows or ejection
    /// changed. Returns `None` for an unknown agent.
    pub fn apply_report(
        &mut self,
        address: SocketAddrV4,
        report: AgentReport,
        now: Millis,
    ) -> Option<bool> {
        let index = self.find(address).ok()?;
        let state = &mut self.agents[index];
        let report = AgentReport {
            // A restarted agent doesn't know yet that its server is leaving.
            accepts: report.accepts && (report.is_confirmed || state.report.accepts),
            ..report
        };
        let ejects = |report: &AgentReport| report.failure_percent >= EJECT_PERCENT;
        let changed = state.is_suspect(now)
            || state.report.accepts != report.accepts
            || ejects(&state.report) != ejects(&report);
        state.report = report;
        state.weight.note_report(&report, now);
        state.unanswered_since = None;
        state.last_heard = Some(now);
        Some(changed)
    }

    /// Returns whether the table was ever filled: from the store, by a peer or by an agent's
    /// report.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the number of known agents, suspect and expired ones included.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Returns the address of the agent with this index.
    pub(crate) fn address(&self, index: u32) -> SocketAddrV4 {
        self.agents[index as usize].record.address
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.agents
            .binary_search_by_key(&address, |state| state.record.address)
    }
}
