//! The other agents to which hedges may be sent.

use std::net::SocketAddrV4;

use super::HedgeHold;
use crate::Millis;

/// Age after which the list is asked for again.
const LIST_AGE: Millis = Millis(5_000);

/// Shortest time between two questions for the list.
const ASK_INTERVAL: Millis = Millis(1_000);

/// Time after a refusal in which an agent gets no hedge.
const REFUSAL_PAUSE: Millis = Millis(1_000);

/// Number of agents that are asked for their response times each time, so that the median leaves out
/// one that is slow itself.
const REPORTERS: usize = 3;

/// An agent of the same service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTarget {
    /// Control address of the agent.
    pub address: SocketAddrV4,
    /// Whether it is in the own data centre.
    pub is_near: bool,
}

#[derive(Clone, Copy, Debug)]
struct TargetState {
    target: HedgeTarget,
    refused: Option<Millis>,
}

impl TargetState {
    fn has_room(&self, now: Millis) -> bool {
        self.refused
            .is_none_or(|refused| now.since(refused) >= REFUSAL_PAUSE)
    }
}

/// The other agents of the service as a balancer listed them, and which of them refused a hedge.
///
/// A list that has become old stays in use while no balancer answers: an agent that has gone or
/// drains refuses, which costs the hedge but no work.
#[derive(Clone, Debug)]
pub struct HedgeTargets {
    cross_centre: bool,
    targets: Vec<TargetState>,
    updated: Option<Millis>,
    asked: Option<Millis>,
}

impl HedgeTargets {
    /// Creates an empty list; with `cross_centre`, agents of other data centres are chosen if those
    /// of the own one have no room.
    pub fn new(cross_centre: bool) -> HedgeTargets {
        HedgeTargets {
            cross_centre,
            targets: Vec::new(),
            updated: None,
            asked: None,
        }
    }

    /// Returns whether a balancer is to be asked for the list now, at most once a second, and
    /// records that it is.
    pub fn begin_ask(&mut self, now: Millis) -> bool {
        let is_old = |last: Option<Millis>, age| last.is_none_or(|last| now.since(last) >= age);
        let is_due = is_old(self.updated, LIST_AGE) && is_old(self.asked, ASK_INTERVAL);
        if is_due {
            self.asked = Some(now);
        }
        is_due
    }

    /// Replaces the list. Agents that stay in it keep their latest refusal.
    pub fn update(&mut self, now: Millis, targets: impl IntoIterator<Item = HedgeTarget>) {
        let former = std::mem::take(&mut self.targets);
        let refused_by = |address| {
            let found = former.iter().find(|state| state.target.address == address);
            found.and_then(|state| state.refused)
        };
        let states = targets.into_iter().map(|target| TargetState {
            target,
            refused: refused_by(target.address),
        });
        self.targets = states.collect();
        self.updated = Some(now);
    }

    /// Returns up to three agents of the own data centre, to be asked for their response times;
    /// `pick` is a random number.
    pub fn reporters(&self, pick: u64) -> Vec<SocketAddrV4> {
        let near: Vec<SocketAddrV4> = self
            .targets
            .iter()
            .filter(|state| state.target.is_near)
            .map(|state| state.target.address)
            .collect();
        let start = (pick % near.len().max(1) as u64) as usize;
        let from_start = near.iter().cycle().skip(start);
        from_start
            .take(REPORTERS.min(near.len()))
            .copied()
            .collect()
    }

    /// Records that the agent at `address` refused a hedge or could not be reached.
    pub fn record_refusal(&mut self, now: Millis, address: SocketAddrV4) {
        let mut targets = self.targets.iter_mut();
        if let Some(state) = targets.find(|state| state.target.address == address) {
            state.refused = Some(now);
        }
    }

    /// Returns the agent for a hedge; `pick` is a random number.
    ///
    /// # Errors
    ///
    /// Returns [`HedgeHold::NoAgent`] if no agent may be chosen, and [`HedgeHold::NoRoom`] if all
    /// of them refused within the last second.
    pub fn choose(&self, now: Millis, pick: u64) -> Result<SocketAddrV4, HedgeHold> {
        let distances: &[bool] = if self.cross_centre {
            &[true, false]
        } else {
            &[true]
        };
        let mut hold = HedgeHold::NoAgent;
        for &is_near in distances {
            let at_distance = |state: &&TargetState| state.target.is_near == is_near;
            if self.targets.iter().any(|state| at_distance(&state)) {
                hold = HedgeHold::NoRoom;
            }
            let usable = |state: &&TargetState| at_distance(state) && state.has_room(now);
            let count = self.targets.iter().filter(usable).count();
            if count > 0 {
                let index = (pick % count as u64) as usize;
                let chosen = self.targets.iter().filter(usable).nth(index);
                return chosen.map(|state| state.target.address).ok_or(hold);
            }
        }
        Err(hold)
    }
}
