//! Detection of a path that has gone silent.

use super::ProbeBudget;
use crate::Millis;

/// Datagrams without anything received that make a path suspect.
const SILENT_DATAGRAMS: u32 = 8;

/// Time without anything received that makes a path suspect.
const SILENT_TIME: Millis = Millis(250);

/// Time that a Ping waits for anything to be received.
const PING_INTERVAL: Millis = Millis(250);

/// Unanswered Pings after which the path is given up.
const MAX_PINGS: u8 = 2;

/// Size of a Ping datagram: tunnel header and tag.
const PING_BYTES: u32 = 64;

/// What to do about a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathAction {
    /// Nothing.
    Nothing,
    /// Send a Ping on the path.
    Ping,
    /// Use the next source port: something between the endpoints has lost the state of this path.
    ChangePort,
}

/// Evidence about one path, from a balancer's socket to an agent.
///
/// A path that is idle or answers is never probed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathHealth {
    sent: u32,
    silent_since: Millis,
    pings: u8,
    last_ping: Millis,
}

impl PathHealth {
    /// Records a datagram sent on the path.
    pub fn record_sent(&mut self, now: Millis) {
        if self.sent == 0 {
            self.silent_since = now;
        }
        self.sent = self.sent.saturating_add(1);
    }

    /// Records a datagram received on the path.
    pub fn record_received(&mut self) {
        *self = PathHealth::default();
    }

    /// Returns what to do now; called after sending.
    ///
    /// Without budget a Ping waits. Only Pings that were sent count as unanswered.
    pub fn check(&mut self, now: Millis, budget: &mut ProbeBudget) -> PathAction {
        if !self.is_suspect(now) {
            return PathAction::Nothing;
        }
        let waited = now.since(self.last_ping) >= PING_INTERVAL;
        if self.pings > 0 && !waited {
            return PathAction::Nothing;
        }
        if self.pings >= MAX_PINGS {
            *self = PathHealth::default();
            return PathAction::ChangePort;
        }
        if !budget.take(now, PING_BYTES) {
            return PathAction::Nothing;
        }
        self.pings += 1;
        self.last_ping = now;
        PathAction::Ping
    }

    /// Returns whether there is evidence that the path is silent.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.sent >= SILENT_DATAGRAMS && now.since(self.silent_since) >= SILENT_TIME
    }
}
