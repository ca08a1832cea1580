//! What a backend server measured.

use std::time::Duration;

use compact_str::CompactString;

/// What a backend server measured since its start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendStats {
    /// Requests in flight at this moment.
    pub in_flight: u32,
    /// Largest number of requests in flight.
    pub max_in_flight: u32,
    /// Integral of the requests in flight over time.
    pub in_flight_time: Duration,
    /// Requests answered in full.
    pub answered: u64,
    /// Requests answered by 503 because of shedding.
    pub shed: u64,
    /// How often the server fell over under more load than it could bear.
    pub overload_failures: u64,
    /// Header `traceparent` of the last request.
    pub traceparent: Option<CompactString>,
    /// Header `request-timeout-ms` of the last request.
    pub request_timeout: Option<CompactString>,
}
