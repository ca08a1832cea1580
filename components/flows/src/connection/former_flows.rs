//! Flows of a run of the server that ended before the agent started.

use std::collections::VecDeque;

use carobdrum_core::Millis;

use super::{
    SavedFlow,
    SavedFlows, //
};
use crate::{
    process::ServerRun,
    request::FlowKey, //
};

/// Distance between a saved sequence number and that of a caller up to which both belong to the same flow, and up to
/// which callers accept a reset. A flow that was opened since with the same endpoints begins at another number, and
/// a live server may hold it.
pub const RESET_WINDOW: u32 = 76_800;

/// Time for which a caller that opens a new flow takes a slot, in microseconds.
const SLOT_INTERVAL_US: u64 = 50_000;

/// What a saved list shows about its flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormerOutcome {
    /// Its run has ended, so that no server holds them.
    Lost,
    /// Its run continues.
    SameRun,
    /// The server's run started no later than that of the list, which therefore doesn't show that this one has ended.
    NotLater,
    /// No heartbeat was applied within the lifetime of a flow.
    Expired,
}

impl FormerOutcome {
    /// Returns the name that logs show.
    pub fn name(self) -> &'static str {
        match self {
            FormerOutcome::Lost => "lost",
            FormerOutcome::SameRun => "same_run",
            FormerOutcome::NotLater => "not_later",
            FormerOutcome::Expired => "expired",
        }
    }
}

/// A saved list that was decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledList {
    /// The run that held the flows.
    pub run: ServerRun,
    /// Number of flows.
    pub flows: usize,
    /// The decision.
    pub outcome: FormerOutcome,
}

/// Flows that an earlier agent saved, and when to reset those of a run that has ended.
#[derive(Debug, Default)]
pub struct FormerFlows {
    /// The saved list, until a heartbeat shows whether its run has ended.
    unsettled: Option<SavedFlows>,
    /// Lost flows, sorted by key. They stay after their reset, which may be lost.
    lost: Vec<SavedFlow>,
    /// Lost flows that are yet to be reset, in this order.
    unsent: VecDeque<FlowKey>,
    /// Time from which no flow of the list lives.
    expires: Millis,
    /// Time of the next reset, in microseconds.
    next_reset_us: u64,
}

impl FormerFlows {
    /// Keeps a list until a heartbeat shows whether its run has ended, at most until `expires`.
    pub fn set_list(&mut self, list: SavedFlows, expires: Millis) {
        *self = FormerFlows {
            unsettled: Some(list),
            expires,
            ..FormerFlows::default()
        };
    }

    /// Returns whether there are neither lost flows nor a list that isn't settled.
    pub fn is_empty(&self) -> bool {
        self.unsettled.is_none() && self.lost.is_empty()
    }

    /// Decides about the list once a run of the server is known to be live, and removes the flows that have
    /// expired. Returns the decision.
    pub fn settle(&mut self, live: Option<&ServerRun>, now: Millis) -> Option<SettledList> {
        let is_expired = now >= self.expires;
        if is_expired {
            self.lost.clear();
            self.unsent.clear();
        }
        let outcome = match (&self.unsettled, live) {
            (None, _) => return None,
            _ if is_expired => FormerOutcome::Expired,
            (_, None) => return None,
            (Some(list), Some(live)) if list.run == *live => FormerOutcome::SameRun,
            (Some(list), Some(live)) if live.started_ms > list.run.started_ms => {
                FormerOutcome::Lost
            }
            _ => FormerOutcome::NotLater,
        };
        let list = self.unsettled.take()?;
        let settled = SettledList {
            run: list.run,
            flows: list.flows.len(),
            outcome,
        };
        if outcome == FormerOutcome::Lost {
            self.unsent = list.flows.iter().map(|flow| flow.key).collect();
            self.lost = list.flows;
            self.lost.sort_by_key(|flow| flow.key);
            self.lost.dedup_by_key(|flow| flow.key);
            self.next_reset_us = micros(now);
        }
        Some(settled)
    }

    /// Removes a flow whose endpoints are used anew.
    pub fn remove(&mut self, key: FlowKey) {
        if let Some(list) = &mut self.unsettled {
            list.flows.retain(|flow| flow.key != key);
        }
        if let Ok(index) = self.lost.binary_search_by_key(&key, |flow| flow.key) {
            self.lost.remove(index);
        }
    }

    /// Returns whether a caller's packet that acknowledges this number belongs to a lost flow.
    pub fn is_lost(&self, key: FlowKey, acknowledged: u32, now: Millis) -> bool {
        let sequence = self.sequence(key).filter(|_| now < self.expires);
        sequence.is_some_and(|sequence| {
            let ahead = acknowledged.wrapping_sub(sequence);
            ahead.min(ahead.wrapping_neg()) <= RESET_WINDOW
        })
    }

    /// Records that a flow has been reset.
    pub fn note_reset(&mut self, key: FlowKey) {
        self.unsent.retain(|unsent| *unsent != key);
    }

    /// Returns the flow to reset now; `None` if none is due. The resets of a server with this many slots are
    /// spread so that callers that return find a slot.
    pub fn take_due(&mut self, slots: u32, now: Millis) -> Option<SavedFlow> {
        let now_us = micros(now);
        if now >= self.expires || now_us < self.next_reset_us {
            return None;
        }
        loop {
            let key = self.unsent.pop_front()?;
            let Some(sequence) = self.sequence(key) else {
                continue;
            };
            // After a pause of the process, at most the resets of one interval come together.
            let earliest = now_us.saturating_sub(SLOT_INTERVAL_US);
            let step = SLOT_INTERVAL_US / u64::from(slots.max(1));
            self.next_reset_us = self.next_reset_us.max(earliest) + step;
            return Some(SavedFlow { key, sequence });
        }
    }

    /// Returns when [`FormerFlows::take_due`] is due next; `None` if all flows have been reset.
    pub fn next_due(&self) -> Option<Millis> {
        let next = Millis(self.next_reset_us.div_ceil(1_000));
        (!self.unsent.is_empty()).then_some(next)
    }

    fn sequence(&self, key: FlowKey) -> Option<u32> {
        let found = self.lost.binary_search_by_key(&key, |flow| flow.key);
        found.ok().map(|index| self.lost[index].sequence)
    }
}

fn micros(time: Millis) -> u64 {
    time.0.saturating_mul(1_000)
}
