//! Search for one flow.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use crate::request::QueriedFlow;

/// Time without an answer after which an agent is asked again.
const REPEAT_INTERVAL: Millis = Millis(100);

/// Time after which the search for a flow ends. A reply that arrives later doesn't count.
pub(super) const SEARCH_TIMEOUT: Millis = Millis(1_000);

/// What an agent has said of a flow.
#[derive(Clone, Copy, Debug)]
struct OwnerAnswer {
    agent: SocketAddrV4,
    /// Time of the last query; `None` before the first one.
    asked: Option<Millis>,
    /// Whether the agent has shown that its server doesn't hold the flow.
    is_absent: bool,
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
}

impl FlowSearch {
    pub(super) fn new(serial: u64, flow: QueriedFlow, began: Millis) -> FlowSearch {
        FlowSearch {
            serial,
            flow,
            began,
            answers: Vec::new(),
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
