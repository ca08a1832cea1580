//! Deletions of registrations that agents have handed over to a balancer.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

/// Time for which a deletion is tried, and for which repetitions of its message are ignored.
const RETRY_TIME: Millis = Millis(30_000);

/// Limit of the pending deletions.
const MAX_PENDING: usize = 256;

/// Limit of the pending and concluded deletions together.
const MAX_KEPT: usize = 2 * MAX_PENDING;

/// Longest delay of the first attempt, so that one balancer of several usually deletes for all.
const MAX_DELAY: Millis = Millis(200);

/// Deletion of the registration of this revision.
#[derive(Clone, Copy, Debug)]
struct HandedDeletion {
    agent: SocketAddrV4,
    revision: u64,
    /// Time of the next attempt; `None` if the deletion is concluded.
    due: Option<Millis>,
    /// Time at which the deletion is forgotten.
    end: Millis,
}

/// Decides when a balancer makes the deletions that agents have handed over.
#[derive(Debug, Default)]
pub struct HandedDeletions {
    /// Sorted by agent.
    items: Vec<HandedDeletion>,
}

impl HandedDeletions {
    /// Adds a deletion; returns whether it is new. One that is pending or concluded is ignored, also an older
    /// one of the agent, and any beyond the limit. `random` is a number from 0 to 1.
    pub fn add(&mut self, agent: SocketAddrV4, revision: u64, random: f64, now: Millis) -> bool {
        let found = self.find(agent);
        if found.is_ok_and(|index| self.items[index].revision >= revision) {
            return false;
        }
        let pending = self.items.iter().filter(|item| item.due.is_some()).count();
        if found.is_err() && pending >= MAX_PENDING {
            return false;
        }
        let delay = Millis((MAX_DELAY.0 as f64 * random) as u64);
        let item = HandedDeletion {
            agent,
            revision,
            due: Some(now.plus(delay)),
            end: now.plus(RETRY_TIME),
        };
        match found {
            Ok(index) => self.items[index] = item,
            Err(index) => self.items.insert(index, item),
        }
        if self.items.len() > MAX_KEPT {
            let concluded = self.items.iter().enumerate();
            let concluded = concluded.filter(|(_, item)| item.due.is_none());
            let oldest = concluded.min_by_key(|(_, item)| item.end);
            if let Some((index, _)) = oldest {
                self.items.remove(index);
            }
        }
        true
    }

    /// Returns the time at which [`HandedDeletions::next_due`] has something to do; `None` while nothing
    /// is pending.
    pub fn next_time(&self) -> Option<Millis> {
        self.items.iter().filter_map(|item| item.due).min()
    }

    /// Returns the deletion to try now, with the revision of its registration; `None` if none is due.
    pub fn next_due(&self, now: Millis) -> Option<(SocketAddrV4, u64)> {
        let due = self.items.iter().filter(|item| item.due.is_some());
        let first = due.min_by_key(|item| item.due)?;
        (first.due <= Some(now)).then_some((first.agent, first.revision))
    }

    /// Removes what has ended; returns the agents whose deletions are given up.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let ended = self.items.iter().filter(|item| item.end <= now);
        let given_up = ended.filter(|item| item.due.is_some());
        let given_up = given_up.map(|item| item.agent).collect();
        self.items.retain(|item| item.end > now);
        given_up
    }

    /// Records that an attempt has failed; the next one follows after `pause`.
    pub fn note_failure(&mut self, agent: SocketAddrV4, pause: Millis, now: Millis) {
        if let Ok(index) = self.find(agent) {
            self.items[index].due = Some(now.plus(pause));
        }
    }

    /// Records that a deletion is concluded, or that the agent has shown that it lives.
    pub fn conclude(&mut self, agent: SocketAddrV4) {
        if let Ok(index) = self.find(agent) {
            self.items[index].due = None;
        }
    }

    fn find(&self, agent: SocketAddrV4) -> Result<usize, usize> {
        self.items.binary_search_by_key(&agent, |item| item.agent)
    }
}
