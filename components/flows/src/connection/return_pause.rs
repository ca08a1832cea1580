//! Pause of new flows after a backend server has returned an opening packet.

use carobdrum_core::Millis;

const FIRST_PAUSE: Millis = Millis(100);

/// Upper bound of the pause, which doubles with each further return until a flow is accepted.
const MAX_PAUSE: Millis = Millis(800);

/// Circuit breaker for a server that accepts no flows although it counts as alive.
///
/// Such a server always has free slots, so without a pause it would be preferred to every working
/// server.
#[derive(Debug)]
pub struct ReturnPause {
    until: Millis,
    next: Millis,
}

impl Default for ReturnPause {
    /// Creates the state of a server that accepts flows.
    fn default() -> ReturnPause {
        ReturnPause {
            until: Millis(0),
            next: FIRST_PAUSE,
        }
    }
}

impl ReturnPause {
    /// Starts a pause after the server has returned an opening packet; returns during a pause don't
    /// extend it.
    pub fn note_return(&mut self, now: Millis) {
        if self.is_paused(now) {
            return;
        }
        self.until = now.plus(self.next);
        self.next = self.next.plus(self.next).min(MAX_PAUSE);
    }

    /// Ends the pause, because the server accepts flows or was restarted.
    pub fn clear(&mut self) {
        *self = ReturnPause::default();
    }

    /// Returns whether new flows are paused at `now`.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.until
    }
}
