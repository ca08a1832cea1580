//! Deadline of a request.

use std::num::ParseIntError;

use compact_str::{
    CompactString,
    ToCompactString, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::Millis;

/// Reason why a caller's `request-timeout-ms` header can't be used.
#[derive(Debug, Snafu)]
pub enum DeadlineError {
    /// The value isn't a whole number of milliseconds.
    #[snafu(display("request-timeout-ms {value:?} is not a whole number of milliseconds"))]
    NotANumber {
        /// The value of the header.
        value: CompactString,
        /// Cause.
        source: ParseIntError,
    },
}

/// Time after which nobody waits for the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline(pub Millis);

impl RequestDeadline {
    /// Name of the header that shortens the route's timeout and passes it on to the server.
    pub const HEADER: &'static str = "request-timeout-ms";

    /// Returns the deadline of a request that arrives now.
    ///
    /// The caller's header can shorten the route's timeout and can't extend it.
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineError::NotANumber`] if the header isn't a whole number.
    pub fn on_arrival(
        now: Millis,
        route_timeout: Millis,
        header: Option<&str>,
    ) -> Result<RequestDeadline, DeadlineError> {
        let Some(value) = header else {
            return Ok(RequestDeadline(now.plus(route_timeout)));
        };
        let parsed = value.trim().parse::<u64>();
        let asked = parsed.context(NotANumberSnafu { value })?;
        let timeout = route_timeout.min(Millis(asked));
        Ok(RequestDeadline(now.plus(timeout)))
    }

    /// Returns the time that is left, or zero after the deadline.
    pub fn remaining(self, now: Millis) -> Millis {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn is_passed(self, now: Millis) -> bool {
        self.0 <= now
    }

    /// Returns the header value for the server.
    pub fn header_value(self, now: Millis) -> CompactString {
        self.remaining(now).0.to_compact_string()
    }
}
