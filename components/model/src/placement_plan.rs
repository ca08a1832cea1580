//! Long flows and servers of different speed in a simulation run.

use serde::Deserialize;

/// Long flows, servers of different speed and uneven demand; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPlan {
    /// Whether balancers place new flows by the speed and the open flows of the servers.
    pub weigh_servers: bool,
    /// Number of flows that the callers of each data centre keep open for further requests; zero if each
    /// request has a flow of its own.
    pub long_flows: u32,
    /// Mean number of requests of a long flow.
    pub flow_requests: u32,
    /// Every how many servers one is slow; zero for none.
    pub slow_every: u16,
    /// Factor of the processing time of slow servers.
    pub slow_factor: f64,
    /// Time from which slow servers are as fast as others, in milliseconds; zero for never.
    pub slow_until_ms: u64,
    /// Share of the requests that start in the first data centre, in percent; zero for an even share.
    pub first_centre_percent: u8,
    /// Time from which the load of each server is counted, in milliseconds.
    pub measured_from_ms: u64,
}

impl PlacementPlan {
    /// Returns the factor of the processing time of a server.
    pub(crate) fn work_factor(&self, server: usize, now_ms: u64) -> f64 {
        let every = usize::from(self.slow_every);
        let is_slow = every > 0 && server % every == 0;
        let has_recovered = self.slow_until_ms > 0 && now_ms >= self.slow_until_ms;
        if is_slow && !has_recovered {
            self.slow_factor
        } else {
            1.0
        }
    }
}
