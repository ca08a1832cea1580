//! What an agent knows of the life of its backend server.

use carobdrum_core::Millis;
use compact_str::CompactString;

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Takes new flows.
    Ready,
    /// Is about to leave and takes none.
    Draining,
}

/// One heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendHeartbeat {
    /// Identity that the server gives.
    pub id: CompactString,
    /// Unix time of the server's start, in milliseconds.
    pub started_ms: u64,
    /// Number of this heartbeat.
    pub sequence: u64,
    /// Service that the server belongs to.
    pub service: CompactString,
    /// State of the server.
    pub state: BackendState,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Time for which it stays cold.
    pub cold_remaining: Millis,
}

impl BackendHeartbeat {
    fn is_same_run(&self, other: &BackendHeartbeat) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }
}

/// Life of the backend server beside an agent.
#[derive(Debug)]
pub struct BackendLife {
    beat: Option<BackendHeartbeat>,
    sign: Millis,
    fence: Millis,
    gone: bool,
}

impl BackendLife {
    /// Starts with a server that is taken to live until `fence` has passed without a sign of it.
    ///
    /// `fence` must be shorter than the time after which another service may use the address of a
    /// server that is gone.
    pub fn new(now: Millis, fence: Millis) -> BackendLife {
        BackendLife {
            beat: None,
            sign: now,
            fence,
            gone: false,
        }
    }

    /// Changes the time after which a server without a sign of life gets no new flows.
    pub fn set_fence(&mut self, fence: Millis) {
        self.fence = fence;
    }

    /// Returns whether a heartbeat comes from another run of the server than the last one.
    pub fn is_other_run(&self, beat: &BackendHeartbeat) -> bool {
        self.beat
            .as_ref()
            .is_none_or(|known| !known.is_same_run(beat))
    }

    /// Takes a heartbeat; returns false for one that is older than what is known.
    pub fn take_beat(&mut self, beat: BackendHeartbeat, now: Millis) -> bool {
        if let Some(known) = &self.beat {
            let same = known.is_same_run(&beat);
            let repeated = same && (self.gone || beat.sequence <= known.sequence);
            let late = repeated || beat.started_ms < known.started_ms;
            if late {
                return false;
            }
        }
        self.beat = Some(beat);
        self.sign = now;
        self.gone = false;
        true
    }

    /// Notes that the server with this identity has left.
    pub fn leave(&mut self, id: &str) -> bool {
        let known = self.beat.as_ref().is_none_or(|beat| beat.id == id);
        if known {
            self.gone = true;
        }
        known
    }

    /// Notes a packet that the server sent for a flow of its own.
    pub fn take_sign(&mut self, now: Millis) {
        if !self.gone {
            self.sign = self.sign.max(now);
        }
    }

    /// Returns whether the server takes new flows.
    pub fn takes_flows(&self, now: Millis) -> bool {
        let draining = self
            .beat
            .as_ref()
            .is_some_and(|beat| beat.state == BackendState::Draining);
        !self.gone && !draining && now.since(self.sign) < self.fence
    }

    /// Returns the service that the last heartbeat named.
    pub fn service(&self) -> Option<&CompactString> {
        self.beat.as_ref().map(|beat| &beat.service)
    }
}
