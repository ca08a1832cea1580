//! Statistics of a backend server.

use std::time::Duration;

use compact_str::CompactString;

/// Statistics of a backend server since its start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendStats {
    /// Requests in flight now.
    pub in_flight: u32,
    /// Largest number of requests in flight.
    pub max_in_flight: u32,
    /// Integral of the requests in flight over time; two requests for 1 s add 2 s.
    pub in_flight_time: Duration,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests answered with 503 by the shedding fault.
    pub shed: u64,
    /// How often a request exceeded the capacity and took the server down.
    pub overload_failures: u64,
    /// Header `traceparent` of the last request, `None` if it had none.
    pub traceparent: Option<CompactString>,
    /// Header `request-timeout-ms` of the last request, `None` if it had none.
    pub request_timeout: Option<CompactString>,
}
