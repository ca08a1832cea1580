//! The agents that a balancer knows.

use std::net::SocketAddrV4;

use carobdrum_core::{
    process::{
        address_to_number,
        splitmix64, //
    },
    Millis,
};

use super::{
    name_hash,
    AgentRecord,
    AgentReport, //
};

/// Time without an answer after which an agent is suspect.
const SUSPECT_TIME: Millis = Millis(250);

/// The same for an agent that has not been heard yet: it answers the first packet at once.
const FIRST_ANSWER_TIME: Millis = Millis(60);

/// Time without an answer after which an agent whose key has lapsed is removed.
const LAPSE_TIME: Millis = Millis(2_000);

/// Time for which an agent counts as a candidate after it was one.
const LISTED_TIME: Millis = Millis(1_000);

/// Time after which a candidate that wasn't heard is probed.
const QUIET_TIME: Millis = Millis(400);

/// Most probes at a time, so that their number doesn't grow with the fleet.
const MAX_PROBES: usize = 32;

/// Time for which a report of load is believed.
const BUSY_TIME: Millis = Millis(150);

/// Share of failed answers at which a server gets only a few flows, in percent.
const EJECT_PERCENT: u8 = 30;

/// An agent and what its packets showed.
#[derive(Clone, Debug)]
pub(crate) struct AgentSlot {
    pub(crate) record: AgentRecord,
    pub(crate) hash: u64,
    pub(crate) service: u32,
    pub(crate) centre: u32,
    pub(crate) report: AgentReport,
    /// Time of the first packet sent since the last answer.
    unanswered: Option<Millis>,
    heard: Option<Millis>,
    lapsed: Option<Millis>,
    /// Last time that the agent was a candidate of a packet.
    listed: Option<Millis>,
}

impl AgentSlot {
    fn new(record: AgentRecord) -> AgentSlot {
        let address = record.address;
        AgentSlot {
            hash: splitmix64(address_to_number(address)),
            service: name_hash(&record.service),
            centre: name_hash(&record.centre),
            record,
            report: AgentReport {
                accepts: true,
                ..AgentReport::default()
            },
            unanswered: None,
            heard: None,
            lapsed: None,
            listed: None,
        }
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        let patience = match self.heard {
            Some(_) => SUSPECT_TIME,
            None => FIRST_ANSWER_TIME,
        };
        self.unanswered
            .is_some_and(|since| now.since(since) >= patience)
    }

    /// Returns whether a recent report showed no free slot.
    pub(crate) fn is_busy(&self, now: Millis) -> bool {
        let recent = self.heard.is_some_and(|heard| now.since(heard) < BUSY_TIME);
        recent && self.report.busy >= self.report.slots.max(1)
    }

    /// Returns whether the server fails so often that it gets only a few flows.
    pub(crate) fn is_failing(&self) -> bool {
        self.report.failure_percent >= EJECT_PERCENT
    }

    fn needs_probe(&self, now: Millis) -> bool {
        let recent = |time: Option<Millis>, span| time.is_some_and(|time| now.since(time) < span);
        let quiet = recent(self.listed, LISTED_TIME) && !recent(self.heard, QUIET_TIME);
        let unknown = self.heard.is_none() && self.unanswered.is_none();
        self.is_suspect(now) || self.lapsed.is_some() || quiet || unknown
    }

    fn is_gone(&self, now: Millis) -> bool {
        let Some(lapsed) = self.lapsed else {
            return false;
        };
        let last = self.heard.map_or(lapsed, |heard| heard.max(lapsed));
        now.since(last) >= LAPSE_TIME
    }
}

/// The agents that a balancer knows, sorted by address.
#[derive(Debug, Default)]
pub struct AgentRoster {
    slots: Vec<AgentSlot>,
    /// Agents of each service, as indices into `slots`, sorted by service.
    services: Vec<(u32, Vec<u32>)>,
    loaded: bool,
    /// Index at which the search for the next probes begins.
    next_probe: usize,
}

impl AgentRoster {
    /// Replaces the list by what the store holds; an agent that is missing there counts as lapsed.
    pub fn replace(&mut self, records: impl IntoIterator<Item = AgentRecord>, now: Millis) {
        let mut records: Vec<AgentRecord> = records.into_iter().collect();
        records.sort_by_key(|record| record.address);
        for slot in &mut self.slots {
            let found = records.binary_search_by_key(&slot.record.address, |record| record.address);
            if found.is_err() {
                slot.lapsed.get_or_insert(now);
            }
        }
        for record in records {
            self.put(record, now);
        }
        self.loaded = true;
        self.index();
    }

    /// Adds an agent, or takes what its new record says.
    pub fn insert(&mut self, record: AgentRecord, now: Millis) {
        self.put(record, now);
        self.index();
    }

    fn put(&mut self, record: AgentRecord, now: Millis) {
        match self.find(record.address) {
            Ok(index) => {
                let slot = &mut self.slots[index];
                slot.lapsed = None;
                if slot.record != record {
                    *slot = AgentSlot::new(record);
                } else if slot.is_suspect(now) {
                    // The key was written anew, so the agent may have been started again.
                    slot.unanswered = None;
                }
            }
            Err(index) => self.slots.insert(index, AgentSlot::new(record)),
        }
    }

    /// Adds an agent that reported itself, if it isn't known. Without a key in the store it stays
    /// for as long as it answers.
    pub fn meet(&mut self, record: AgentRecord, now: Millis) -> bool {
        let known = self.find(record.address).is_ok();
        if !known {
            let address = record.address;
            self.insert(record, now);
            self.lapse(address, now);
            self.loaded = true;
        }
        !known
    }

    /// Notes that the key of an agent is gone; the agent stays for as long as it answers.
    pub fn lapse(&mut self, address: SocketAddrV4, now: Millis) {
        if let Ok(index) = self.find(address) {
            self.slots[index].lapsed.get_or_insert(now);
        }
    }

    /// Removes the agents whose keys are gone and that don't answer; returns their addresses.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let gone: Vec<SocketAddrV4> = self
            .slots
            .iter()
            .filter(|slot| slot.is_gone(now))
            .map(|slot| slot.record.address)
            .collect();
        if !gone.is_empty() {
            self.slots.retain(|slot| !slot.is_gone(now));
            self.index();
        }
        gone
    }

    /// Returns agents that need a probe, which counts as a packet sent to them: those that don't
    /// answer, those whose keys are gone, and candidates that weren't heard lately, each in turn.
    pub fn take_probes(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut probes = Vec::new();
        let count = self.slots.len();
        let start = self.next_probe;
        for step in 0..count {
            if probes.len() == MAX_PROBES {
                break;
            }
            let index = (start + step) % count;
            let slot = &mut self.slots[index];
            if slot.needs_probe(now) {
                slot.unanswered.get_or_insert(now);
                probes.push(slot.record.address);
                self.next_probe = index + 1;
            }
        }
        probes
    }

    /// Notes that an agent is a candidate of a packet.
    pub(crate) fn note_listed(&mut self, address: SocketAddrV4, now: Millis) {
        if let Ok(index) = self.find(address) {
            self.slots[index].listed = Some(now);
        }
    }

    /// Notes a packet sent to an agent.
    pub fn note_sent(&mut self, address: SocketAddrV4, now: Millis) {
        if let Ok(index) = self.find(address) {
            self.slots[index].unanswered.get_or_insert(now);
        }
    }

    /// Takes a report; returns whether it changed what is believed of the agent.
    pub fn take_report(
        &mut self,
        address: SocketAddrV4,
        report: AgentReport,
        now: Millis,
    ) -> Option<bool> {
        let index = self.find(address).ok()?;
        let slot = &mut self.slots[index];
        let ejects = |report: &AgentReport| report.failure_percent >= EJECT_PERCENT;
        let changed = slot.is_suspect(now)
            || slot.report.accepts != report.accepts
            || ejects(&slot.report) != ejects(&report);
        slot.report = report;
        slot.unanswered = None;
        slot.heard = Some(now);
        Some(changed)
    }

    /// Returns whether a list was loaded.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the number of agents.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the agents of a service.
    pub(crate) fn of_service(&self, service: u32) -> impl Iterator<Item = &AgentSlot> {
        let found = self
            .services
            .binary_search_by_key(&service, |group| group.0);
        let keys: &[u32] = match found {
            Ok(index) => &self.services[index].1,
            Err(_) => &[],
        };
        keys.iter().map(|key| &self.slots[*key as usize])
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.slots
            .binary_search_by_key(&address, |slot| slot.record.address)
    }

    fn index(&mut self) {
        self.services.clear();
        for (key, slot) in self.slots.iter().enumerate() {
            let found = self
                .services
                .binary_search_by_key(&slot.service, |group| group.0);
            match found {
                Ok(index) => self.services[index].1.push(key as u32),
                Err(index) => self
                    .services
                    .insert(index, (slot.service, vec![key as u32])),
            }
        }
    }
}
