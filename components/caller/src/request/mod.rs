//! What lives for one request.

mod caller_answer;
mod caller_error;
mod caller_request;

pub use caller_answer::CallerAnswer;
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
    MalformedAnswerSnafu,
    RefusedSnafu,
    RequestRejectedSnafu,
    StreamResetSnafu, //
};
pub use caller_request::CallerRequest;
