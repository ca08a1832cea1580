//! What callers got.

/// What the callers of one second got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondStats {
    /// Requests that began.
    pub started: u32,
    /// Requests answered within the objective.
    pub in_time: u32,
    /// Requests answered later.
    pub late: u32,
    /// Requests that weren't answered.
    pub unserved: u32,
}

/// What callers got over a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelStats {
    /// By the second in which a request began.
    pub seconds: Vec<SecondStats>,
    /// Open flows that a reset of the system ended.
    pub wrong_resets: u32,
    /// Packets of open flows that reached their server.
    pub delivered: u32,
    /// Packets of open flows that reached another server first.
    pub misdelivered: u32,
    /// Answers that a server failed.
    pub failed_answers: u32,
}

impl ModelStats {
    /// Returns the entry of the second in which `at_ms` falls.
    pub(crate) fn second(&mut self, at_ms: u64) -> &mut SecondStats {
        let index = usize::try_from(at_ms / 1_000).unwrap_or(usize::MAX);
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondStats::default());
        }
        &mut self.seconds[index]
    }

    /// Adds up the seconds from `first` to before `end`.
    pub fn sum(&self, first: usize, end: usize) -> SecondStats {
        let mut sum = SecondStats::default();
        let end = end.min(self.seconds.len());
        for second in &self.seconds[first.min(end)..end] {
            sum.started += second.started;
            sum.in_time += second.in_time;
            sum.late += second.late;
            sum.unserved += second.unserved;
        }
        sum
    }
}
