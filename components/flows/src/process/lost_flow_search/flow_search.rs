//! Search for one flow.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use crate::request::QueriedFlow;

/// Time without an answer after which an agent is asked again.
const REPEAT_INTERVAL: Millis = Millis(100);

/// Time after which the search for a flow ends. A reply that arrives later doesn't count.
pub(super) const SEARCH_TIMEOUT: Millis = Millis(1_000);

/// Limit of the packets that are kept of one flow. Most requests have fewer.
const MAX_PACKETS: usize = 4;

/// What an agent has said of a flow.
#[derive(Clone, Copy, Debug)]
struct OwnerAnswer {
    agent: SocketAddrV4,
    /// Time of the last query; `None` before the first one.
    asked: Option<Millis>,
    /// Whether the agent has shown that its server doesn't hold the flow.
    is_absent: bool,
    /// Whether the agent has answered that it doesn't know.
    is_unsure: bool,
    /// Whether packets of the flow were sent to the agent in this search.
    is_offered: bool,
}

/// Search for one flow.
#[derive(Debug)]
pub(super) struct FlowSearch {
    /// Number of the search, by which replies for an earlier search of the same flow are told apart.
    pub(super) serial: u64,
    pub(super) flow: QueriedFlow,
    pub(super) began: Millis,
    /// The agents that may hold the flow, sorted by address.
    answers: Vec<OwnerAnswer>,
    /// Packets that found no owner.
    packets: Vec<Bytes>,
}

impl FlowSearch {
    pub(super) fn new(serial: u64, flow: QueriedFlow, began: Millis) -> FlowSearch {
        FlowSearch {
            serial,
            flow,
            began,
            answers: Vec::new(),
            packets: Vec::new(),
        }
    }

    /// Replaces the agents that may hold the flow by `owners`, which is sorted. The answers of those that
    /// remain are kept.
    pub(super) fn set_owners(&mut self, owners: &[SocketAddrV4]) {
        let known = self.answers.iter().map(|answer| &answer.agent);
        if known.eq(owners) {
            return;
        }
        let answers = std::mem::take(&mut self.answers);
        let answer_of = |agent: &SocketAddrV4| {
            let found = answers.binary_search_by_key(agent, |answer| answer.agent);
            found.map_or(
                OwnerAnswer {
                    agent: *agent,
                    asked: None,
                    is_absent: false,
                    is_unsure: false,
                    is_offered: false,
                },
                |index| answers[index],
            )
        };
        self.answers = owners.iter().map(answer_of).collect();
    }

    /// Returns the number of agents that may hold the flow.
    pub(super) fn owner_count(&self) -> usize {
        self.answers.len()
    }

    pub(super) fn has_ended(&self, now: Millis) -> bool {
        now.since(self.began) >= SEARCH_TIMEOUT
    }

    /// Returns the agents that are to be asked at `now`.
    pub(super) fn due_agents(&self, now: Millis) -> impl Iterator<Item = SocketAddrV4> + '_ {
        let is_due = move |answer: &&OwnerAnswer| {
            let is_waiting = answer
                .asked
                .is_some_and(|asked| now.since(asked) < REPEAT_INTERVAL);
            !answer.is_absent && !is_waiting
        };
        let due = self.answers.iter().filter(is_due);
        due.map(|answer| answer.agent)
    }

    pub(super) fn note_asked(&mut self, agent: SocketAddrV4, now: Millis) {
        if let Some(answer) = self.answer_mut(agent) {
            answer.asked = Some(now);
        }
    }

    pub(super) fn note_absent(&mut self, agent: SocketAddrV4) {
        if let Some(answer) = self.answer_mut(agent) {
            answer.is_absent = true;
        }
    }

    pub(super) fn note_unsure(&mut self, agent: SocketAddrV4) {
        if let Some(answer) = self.answer_mut(agent) {
            answer.is_unsure = true;
        }
    }

    /// Keeps a packet that found no owner, unless it is a copy or too many are kept; returns whether it did.
    pub(super) fn keep_packet(&mut self, packet: Bytes) -> bool {
        let is_kept = self.packets.len() < MAX_PACKETS && !self.packets.contains(&packet);
        if is_kept {
            self.packets.push(packet);
        }
        is_kept
    }

    /// Returns the packets that found no owner, and forgets them.
    pub(super) fn take_packets(&mut self) -> Vec<Bytes> {
        std::mem::take(&mut self.packets)
    }

    /// Returns the packets that found no owner.
    pub(super) fn packets(&self) -> &[Bytes] {
        &self.packets
    }

    /// Returns the agents that don't know whether their servers hold the flow, and that have got no packet of it.
    pub(super) fn unsure_agents(&self) -> Vec<SocketAddrV4> {
        let is_due =
            |answer: &&OwnerAnswer| answer.is_unsure && !answer.is_absent && !answer.is_offered;
        let due = self.answers.iter().filter(is_due);
        due.map(|answer| answer.agent).collect()
    }

    pub(super) fn note_offered(&mut self, agent: SocketAddrV4) {
        if let Some(answer) = self.answer_mut(agent) {
            answer.is_offered = true;
        }
    }

    /// Returns the agents that haven't shown that their servers don't hold the flow.
    pub(super) fn pending_agents(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        let pending = self.answers.iter().filter(|answer| !answer.is_absent);
        pending.map(|answer| answer.agent)
    }

    fn answer_mut(&mut self, agent: SocketAddrV4) -> Option<&mut OwnerAnswer> {
        let found = self
            .answers
            .binary_search_by_key(&agent, |answer| answer.agent);
        found.ok().map(|index| &mut self.answers[index])
    }
}
