//! Statistics of a simulation run.

/// Outcomes of the requests that started within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondStats {
    /// Number of requests that started.
    pub started: u32,
    /// Number of requests with a response within the objective.
    pub in_time: u32,
    /// Number of requests with a later response.
    pub late: u32,
    /// Number of requests without a response.
    pub unserved: u32,
}

/// Statistics of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelStats {
    /// Outcomes of requests, by the second in which they started.
    pub seconds: Vec<SecondStats>,
    /// Number of open flows that the system reset.
    pub wrong_resets: u32,
    /// Number of packets of open flows that were delivered to the server that holds the flow.
    pub delivered: u32,
    /// Number of packets of open flows that were delivered to another server.
    pub misdelivered: u32,
    /// Number of responses that were failures.
    pub failed_responses: u32,
}

impl ModelStats {
    /// Returns the entry of the second that contains `at_ms`.
    pub(crate) fn second(&mut self, at_ms: u64) -> &mut SecondStats {
        let index = usize::try_from(at_ms / 1_000).unwrap_or(usize::MAX);
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondStats::default());
        }
        &mut self.seconds[index]
    }

    /// Returns the sums over the seconds from `first` up to, but not including, `end`.
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
