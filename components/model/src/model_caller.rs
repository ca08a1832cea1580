//! Request of a caller.

use carobdrum_core::Millis;
use carobdrum_flows::FlowKey;

/// Times of the retransmissions after an opening packet, in milliseconds.
pub(crate) const RETRANSMISSION_TIMES_MS: [u64; 2] = [200, 600];

/// Time after which a caller abandons an attempt whose flow hasn't opened.
pub(crate) const OPEN_TIMEOUT: Millis = Millis(1_400);

/// Delay before a request is first sent again in an open flow; it doubles each time.
pub(crate) const INITIAL_RESEND_DELAY: Millis = Millis(200);

/// Limit of the attempts of a request, each with its own flow.
pub(crate) const MAX_ATTEMPTS: u8 = 3;

/// Open flow of a caller that has no request in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleFlow {
    pub(crate) centre: u8,
    pub(crate) key: FlowKey,
    /// First sequence number of its server.
    pub(crate) server: u32,
    /// Number of its requests so far.
    pub(crate) requests: u32,
}

/// State of a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) centre: u8,
    pub(crate) started_at: Millis,
    pub(crate) attempt: u8,
    pub(crate) key: FlowKey,
    /// First sequence number of the server whose acceptance the caller uses; `None` before that.
    pub(crate) server: Option<u32>,
    /// Number of the request in its flow, from 1.
    pub(crate) number: u32,
    pub(crate) done: bool,
}
