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
    /// Time for which the slots of each server were in use, in milliseconds.
    pub slot_ms: Vec<u64>,
    /// Number of flows that were sent to another data centre for lack of free slots.
    pub spilled: u32,
    /// Number of flows that balancers refused.
    pub refused: u32,
    /// Number of changes of a weight at any balancer.
    pub weight_changes: u32,
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

    /// Adds the processing time of a request at a server.
    pub(crate) fn add_work(&mut self, server: usize, time_ms: u64) {
        if self.slot_ms.len() <= server {
            self.slot_ms.resize(server + 1, 0);
        }
        self.slot_ms[server] += time_ms;
    }

    /// Returns the load of the busiest server as a multiple of the mean.
    pub fn imbalance(&self) -> f64 {
        let busiest = self.slot_ms.iter().max().copied().unwrap_or(0) as f64;
        let sum: u64 = self.slot_ms.iter().sum();
        busiest * self.slot_ms.len() as f64 / (sum as f64).max(1.0)
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
