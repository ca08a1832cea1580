//! Types whose lifetime is one request.

mod caller_error;
mod caller_request;
mod caller_response;

pub use caller_error::CallerError;
pub(crate) use caller_error::{
    BadRequestSnafu,
    BodyTooLargeSnafu,
    BodyTooLongSnafu,
    BodyTooShortSnafu,
    ConnectionLostSnafu,
    DeadlinePassedSnafu,
    FlowEndedSnafu,
    GoingAwaySnafu,
    HandshakeFailedSnafu,
    HandshakeTimeoutSnafu,
    MalformedResponseSnafu,
    RefusedSnafu,
    RequestRejectedSnafu,
    StreamResetSnafu, //
};
pub use caller_request::CallerRequest;
pub use caller_response::CallerResponse;
