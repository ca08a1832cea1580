//! What callers got.

/// What the callers of one second got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondTally {
    /// Requests that began.
    pub asked: u32,
    /// Requests answered within the objective.
    pub in_time: u32,
    /// Requests answered later.
    pub late: u32,
    /// Requests that weren't answered.
    pub unserved: u32,
}

/// What callers got over a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelTally {
    /// By the second in which a request began.
    pub seconds: Vec<SecondTally>,
    /// Open flows that a reset of the system ended.
    pub wrong_resets: u32,
    /// Packets of open flows that reached their server.
    pub delivered: u32,
    /// Packets of open flows that reached another server first.
    pub strayed: u32,
    /// Answers that a server failed.
    pub failed_answers: u32,
}

impl ModelTally {
    /// Returns the entry of the second in which `at_ms` falls.
    pub(crate) fn second(&mut self, at_ms: u64) -> &mut SecondTally {
        let index = usize::try_from(at_ms / 1_000).unwrap_or(usize::MAX);
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondTally::default());
        }
        &mut self.seconds[index]
    }

    /// Adds up the seconds from `first` to before `end`.
    pub fn sum(&self, first: usize, end: usize) -> SecondTally {
        let mut sum = SecondTally::default();
        let end = end.min(self.seconds.len());
        for second in &self.seconds[first.min(end)..end] {
            sum.asked += second.asked;
            sum.in_time += second.in_time;
            sum.late += second.late;
            sum.unserved += second.unserved;
        }
        sum
    }
}
