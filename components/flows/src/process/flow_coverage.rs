//! Whether an agent knows all flows of its server.

use carobdrum_core::Millis;

/// Longest age of a server at a heartbeat that shows that no earlier process of the agent has accepted a flow of this
/// run. An agent accepts none before a heartbeat, and a server whose heartbeat was acknowledged sends the next one a
/// whole interval later, which is longer.
const MAX_FIRST_AGE_MS: u64 = 300;

/// Longest time after the start of its server at which an agent starts that no earlier process can have preceded: a process
/// that was killed starts again later.
const MAX_START_DELAY_MS: u64 = 300;

/// Highest sequence number of such a heartbeat. It doesn't depend on the time of day, which may have been set back since
/// the server's start.
const MAX_EARLY_SEQUENCE: u64 = 4;

/// Whether an agent knows all flows of its server. An agent that was restarted doesn't know those that its
/// server accepted before.
#[derive(Debug)]
pub struct FlowCoverage {
    started: Millis,
    /// Unix time of the start, in milliseconds.
    started_unix_ms: u64,
    /// Last reading of the VM's clock: a time, and the same as Unix time in milliseconds.
    clock: (Millis, u64),
    is_complete: bool,
    is_certain: bool,
}

impl FlowCoverage {
    /// Creates the state of an agent that starts at `now`, which is `started_unix_ms` in Unix time.
    pub fn new(started_unix_ms: u64, now: Millis) -> FlowCoverage {
        FlowCoverage {
            started: now,
            started_unix_ms,
            clock: (now, started_unix_ms),
            is_complete: false,
            is_certain: false,
        }
    }

    /// Returns the Unix time in milliseconds at `now`, by the clock at the start of the agent.
    pub fn unix_ms(&self, now: Millis) -> u64 {
        self.started_unix_ms
            .saturating_add(now.since(self.started).0)
    }

    /// Records a reading of the clock, which may have been set since the start.
    pub fn note_clock(&mut self, unix_ms: u64, now: Millis) {
        self.clock = (now, unix_ms);
    }

    /// Returns whether a heartbeat that is handled at `now` is one of the first of its run, which began at this Unix time,
    /// in milliseconds. Both times come from the clock of one VM.
    pub fn is_first_of_run(&self, server_started_ms: u64, sequence: u64, now: Millis) -> bool {
        let (read, unix_ms) = self.clock;
        let unix_ms = unix_ms.saturating_add(now.since(read).0);
        let age = unix_ms.checked_sub(server_started_ms);
        sequence <= MAX_EARLY_SEQUENCE && age.is_some_and(|age| age <= MAX_FIRST_AGE_MS)
    }

    /// Returns the time at which a run began, by the last reading of the clock; zero if it began before the VM's start.
    pub fn start_of_run(&self, server_started_ms: u64) -> Millis {
        let (read, unix_ms) = self.clock;
        let age = unix_ms.saturating_sub(server_started_ms);
        let ahead = server_started_ms.saturating_sub(unix_ms);
        Millis(read.0.saturating_sub(age)).plus(Millis(ahead))
    }

    /// Records a run of the server that takes the place of the known one and began at this Unix time, in milliseconds;
    /// `is_first` tells whether the first known heartbeat is one of its first.
    pub fn note_run(&mut self, server_started_ms: u64, is_first: bool) {
        let latest = server_started_ms.saturating_add(MAX_START_DELAY_MS);
        self.is_complete = is_first || self.started_unix_ms <= latest;
        self.is_certain = is_first;
    }

    /// Returns whether the agent knows all flows of its server at `now`, as flows live no longer than
    /// `flow_lifetime`. An error costs the flows that the agent takes for unknown to its server.
    pub fn is_complete(&self, flow_lifetime: Millis, now: Millis) -> bool {
        self.is_complete || self.outlasts(flow_lifetime, now)
    }

    /// Returns the same without relying on the times of the two starts alone, as the reset of a flow requires.
    pub fn is_certain(&self, flow_lifetime: Millis, now: Millis) -> bool {
        self.is_certain || self.outlasts(flow_lifetime, now)
    }

    /// Returns whether all flows from before the start have ended.
    fn outlasts(&self, flow_lifetime: Millis, now: Millis) -> bool {
        now.since(self.started) >= flow_lifetime
    }
}
