//! Detection of paths on which nothing is received any more.

use super::ProbeBudget;
use crate::Millis;

/// Datagrams that must have been sent, with nothing received, before a path is suspect.
const SUSPECT_DATAGRAMS: u32 = 8;

/// Time for which nothing must have been received before a path is suspect.
const SILENCE_TIMEOUT: Millis = Millis(250);

/// Time after which a Ping counts as unanswered if nothing has been received.
const PING_TIMEOUT: Millis = Millis(250);

/// Unanswered Pings after which the source port is changed.
const MAX_PINGS: u8 = 2;

/// Size of a Ping datagram: tunnel header and tag.
const PING_BYTES: u32 = 64;

/// What is to be done about a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathAction {
    /// Nothing is to be done.
    Nothing,
    /// Send a Ping as a probe of the path.
    Ping,
    /// Use the next source port: a device between the endpoints may have lost the state of this
    /// path.
    ChangePort,
}

/// Health of one path, from a balancer's socket to an agent.
///
/// A path is never probed while it is idle or datagrams are received on it.
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

    /// Returns what is to be done now; to be called after sending.
    ///
    /// A Ping is postponed while `budget` is used up, and counts as unanswered only if it was sent.
    pub fn check(&mut self, now: Millis, budget: &mut ProbeBudget) -> PathAction {
        if !self.is_suspect(now) {
            return PathAction::Nothing;
        }
        let has_timed_out = now.since(self.last_ping) >= PING_TIMEOUT;
        if self.pings > 0 && !has_timed_out {
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

    /// Returns whether enough was sent for long enough without anything received.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.sent >= SUSPECT_DATAGRAMS && now.since(self.silent_since) >= SILENCE_TIMEOUT
    }
}
