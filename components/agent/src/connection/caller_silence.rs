//! Responses that a caller hasn't answered.

use carobdrum_core::Millis;

/// Time of responses without a datagram of the caller after which further ones go by another
/// balancer: longer than the round-trip time of nearly all callers.
const ANSWER_TIMEOUT: Millis = Millis(500);

/// Time since the responses to a caller go by one balancer without a datagram of the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerSilence {
    since: Millis,
    last_sent: Millis,
    /// Whether [`ANSWER_TIMEOUT`] has passed once.
    has_expired: bool,
    moves: usize,
}

impl CallerSilence {
    /// Creates the state before the first response, which is sent at `now`.
    pub(crate) fn new(now: Millis) -> CallerSilence {
        CallerSilence {
            since: now,
            last_sent: now,
            has_expired: false,
            moves: 0,
        }
    }

    /// Records a response that is sent now, and returns whether it and those after it go by another
    /// balancer.
    ///
    /// If most of the time was a pause, it starts anew once: what was sent before the pause may have
    /// been the acknowledgement of a keep-alive packet, which a caller that waits for its response
    /// doesn't answer. The pauses between probes after a loss double, so none covers that much of the
    /// time.
    pub(crate) fn send(&mut self, now: Millis) -> bool {
        let waited = now.since(self.since);
        let pause = now.since(self.last_sent);
        self.last_sent = now;
        if waited < ANSWER_TIMEOUT {
            return false;
        }
        self.since = now;
        let is_first = !std::mem::replace(&mut self.has_expired, true);
        if is_first && pause.0 * 4 > waited.0 * 3 {
            return false;
        }
        self.moves += 1;
        true
    }

    /// Returns the number of balancers that the responses have left since the caller's latest
    /// datagram.
    pub(crate) fn moves(&self) -> usize {
        self.moves
    }
}
