//! Requests of callers.

use carobdrum_core::Millis;
use carobdrum_flows::FlowKey;

/// Times after the first one at which copies of an opening packet are sent, in milliseconds.
pub(crate) const RETRANSMISSION_TIMES_MS: [u64; 2] = [200, 600];

/// Time after which an attempt whose flow hasn't opened ends.
pub(crate) const OPEN_TIMEOUT: Millis = Millis(1_400);

/// First time after which a request is sent again; it doubles.
pub(crate) const INITIAL_RESEND_DELAY: Millis = Millis(200);

/// Attempts of a request.
pub(crate) const MAX_ATTEMPTS: u8 = 3;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) centre: u8,
    pub(crate) started_at: Millis,
    pub(crate) attempt: u8,
    pub(crate) key: FlowKey,
    /// First sequence number of the server that the caller has accepted.
    pub(crate) server: Option<u32>,
    pub(crate) done: bool,
}
