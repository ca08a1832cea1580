//! Pause in new flows after a backend server has returned an opening packet.

use carobdrum_core::Millis;

/// First pause.
const FIRST_PAUSE: Millis = Millis(100);

/// Longest pause; each return after a pause without an accepted flow doubles it.
const LONGEST_PAUSE: Millis = Millis(800);

/// Circuit breaker for a server that accepts no flows, though it lives or is taken to live.
///
/// Such a server always has free slots. Without a pause it is preferred to all servers that work.
#[derive(Debug)]
pub struct ReturnPause {
    until: Millis,
    next: Millis,
}

impl Default for ReturnPause {
    /// Starts with a server that accepts flows.
    fn default() -> ReturnPause {
        ReturnPause {
            until: Millis(0),
            next: FIRST_PAUSE,
        }
    }
}

impl ReturnPause {
    /// Notes that the server has returned an opening packet.
    pub fn note_return(&mut self, now: Millis) {
        if self.is_paused(now) {
            return;
        }
        self.until = now.plus(self.next);
        self.next = self.next.plus(self.next).min(LONGEST_PAUSE);
    }

    /// Notes that the server accepts flows.
    pub fn clear(&mut self) {
        *self = ReturnPause::default();
    }

    /// Returns whether the server gets no new flows now.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.until
    }
}
