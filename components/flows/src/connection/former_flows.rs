//! Flows of a run of the server that ended before the agent started.

use std::collections::VecDeque;

use carobdrum_core::Millis;

use super::{
    ResetCause,
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

/// Time after a packet of its caller after which a flow is reset although the server has no room, so that the caller
/// has time for another attempt.
const MAX_RESET_DELAY: Millis = Millis(800);

/// A lost flow whose caller waits for a response.
#[derive(Clone, Copy, Debug)]
struct WaitingFlow {
    key: FlowKey,
    /// Sequence number that the caller expects.
    sequence: u32,
    /// Time from which the flow is reset without regard to the server's load.
    due: Millis,
}

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
    /// Lost flows whose callers wait, in the order of their packets. They are reset before the others.
    waiting: VecDeque<WaitingFlow>,
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
            self.waiting.clear();
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

    /// Returns whether flows wait for room at the server.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Records that a flow has been reset.
    pub fn note_reset(&mut self, key: FlowKey) {
        self.unsent.retain(|unsent| *unsent != key);
    }

    /// Postpones the reset of a flow, whose caller has sent a packet that acknowledges this number, until the server has
    /// room.
    pub fn postpone(&mut self, key: FlowKey, acknowledged: u32, now: Millis) {
        let mut waiting = self.waiting.iter_mut();
        match waiting.find(|waiting| waiting.key == key) {
            Some(waiting) => waiting.sequence = acknowledged,
            None => self.waiting.push_back(WaitingFlow {
                key,
                sequence: acknowledged,
                due: now.plus(MAX_RESET_DELAY),
            }),
        }
    }

    /// Returns the flow to reset now, and why; `None` if none is due.
    ///
    /// Callers that repeat their request (`repeats`) return right after a reset, and would delay the responses to new
    /// requests while the site is short of room after its start. So their resets are spread over the slots of the
    /// server and wait while it has no room (`has_room`). The others are told at once, before they send another
    /// request that would be lost.
    pub fn take_due(
        &mut self,
        slots: u32,
        has_room: bool,
        repeats: impl Fn(FlowKey) -> bool,
        now: Millis,
    ) -> Option<(SavedFlow, ResetCause)> {
        if now >= self.expires {
            return None;
        }
        while let Some(index) = self.unsent.iter().position(|key| !repeats(*key)) {
            let key = self.unsent.remove(index)?;
            if let Some(sequence) = self.sequence(key) {
                let flow = SavedFlow { key, sequence };
                return Some((flow, ResetCause::FormerPaced));
            }
        }
        let now_us = micros(now);
        let is_paced = has_room && now_us >= self.next_reset_us;
        loop {
            let waiting = self.waiting.front().copied();
            let (key, sequence, cause) = match waiting {
                Some(waiting) if is_paced || now >= waiting.due => {
                    self.waiting.pop_front();
                    self.note_reset(waiting.key);
                    let is_lost = self.sequence(waiting.key).is_some();
                    let sequence = is_lost.then_some(waiting.sequence);
                    (waiting.key, sequence, ResetCause::FormerPacket)
                }
                _ if is_paced => {
                    let key = self.unsent.pop_front()?;
                    (key, self.sequence(key), ResetCause::FormerPaced)
                }
                _ => return None,
            };
            let Some(sequence) = sequence else {
                continue;
            };
            // After a pause of the process, at most the resets of one interval come together.
            let earliest = now_us.saturating_sub(SLOT_INTERVAL_US);
            let step = SLOT_INTERVAL_US / u64::from(slots.max(1));
            self.next_reset_us = self.next_reset_us.max(earliest) + step;
            return Some((SavedFlow { key, sequence }, cause));
        }
    }

    /// Returns when [`FormerFlows::take_due`] is due next; `None` if all flows have been reset, or if only room at the
    /// server lets it continue.
    pub fn next_due(&self, has_room: bool, now: Millis) -> Option<Millis> {
        if now >= self.expires {
            return None;
        }
        let is_left = !self.waiting.is_empty() || !self.unsent.is_empty();
        let next = Millis(self.next_reset_us.div_ceil(1_000));
        let paced = (is_left && has_room).then_some(next);
        let waiting = self.waiting.front().map(|waiting| waiting.due);
        paced.into_iter().chain(waiting).min()
    }

    fn sequence(&self, key: FlowKey) -> Option<u32> {
        let found = self.lost.binary_search_by_key(&key, |flow| flow.key);
        found.ok().map(|index| self.lost[index].sequence)
    }
}

fn micros(time: Millis) -> u64 {
    time.0.saturating_mul(1_000)
}
