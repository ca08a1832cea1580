//! Deadline of a request, and the header that carries it.

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
        /// Error of the number parser.
        source: ParseIntError,
    },
}

/// Time after which the caller no longer waits for the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline(pub Millis);

impl RequestDeadline {
    /// Name of the header by which a caller shortens the route's timeout, and by which the server
    /// learns the remaining time.
    pub const HEADER: &'static str = "request-timeout-ms";

    /// Returns the deadline of a request that arrives now.
    ///
    /// `header` is the value of the caller's header, if there is one. It can shorten the route's
    /// timeout but not extend it.
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineError::NotANumber`] if the header isn't a whole number of milliseconds.
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

    /// Returns the time until the deadline, or zero after it.
    pub fn remaining(self, now: Millis) -> Millis {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn is_passed(self, now: Millis) -> bool {
        self.0 <= now
    }

    /// Returns the header value for the server: the remaining time in milliseconds.
    pub fn header_value(self, now: Millis) -> CompactString {
        self.remaining(now).0.to_compact_string()
    }
}
