//! Whole responses of a server, as they are sent between agents.

use bytes::Bytes;
use carobdrum_core::request::RequestOutcome;
use carobdrum_wire::control::{
    HeaderField,
    RunReply, //
};
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use tracing::debug;

use super::request_headers::end_to_end;

/// Longest body of a response that is sent between agents, in bytes.
pub(super) const MAX_WHOLE_LEN: usize = 256 * 1024;

const OUTCOME_DONE: u32 = 1;
const OUTCOME_REFUSED: u32 = 2;
const OUTCOME_FAILED: u32 = 3;

/// What another agent made of a hedge.
#[derive(Debug)]
pub(super) enum HedgeReply {
    /// Its server's whole response.
    Whole(Response<Bytes>),
    /// The agent didn't run the request, couldn't be reached, or the connection failed; in the last case the
    /// request may have run.
    Refused,
    /// The request ran without a whole response of at most 256 KiB.
    Failed,
}

impl HedgeReply {
    /// Decodes a reply. A response that is malformed or too long counts as failed.
    pub(super) fn from_reply(reply: RunReply) -> HedgeReply {
        match reply.outcome {
            OUTCOME_DONE => decode_response(reply).map_or(HedgeReply::Failed, HedgeReply::Whole),
            OUTCOME_REFUSED => HedgeReply::Refused,
            _ => HedgeReply::Failed,
        }
    }

    /// Encodes the reply.
    pub(super) fn into_reply(self) -> RunReply {
        let without_response = |outcome| RunReply {
            outcome,
            ..RunReply::default()
        };
        match self {
            HedgeReply::Refused => without_response(OUTCOME_REFUSED),
            HedgeReply::Failed => without_response(OUTCOME_FAILED),
            HedgeReply::Whole(response) => RunReply {
                outcome: OUTCOME_DONE,
                status: u32::from(response.status().as_u16()),
                headers: encode_headers(response.headers()),
                body: response.into_body().into(),
            },
        }
    }
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// Returns the outcome of a request whose response is too long or ends early.
pub(super) async fn read_whole(
    response: Response<Incoming>,
) -> Result<Response<Bytes>, RequestOutcome> {
    let (head, body) = response.into_parts();
    let collected = Limited::new(body, MAX_WHOLE_LEN).collect().await;
    let body = collected.map_err(|error| {
        debug!(%error, "no whole response for another agent");
        if error.is::<LengthLimitError>() {
            RequestOutcome::Abandoned
        } else {
            RequestOutcome::ConnectionReset
        }
    })?;
    let mut whole = Response::new(body.to_bytes());
    *whole.status_mut() = head.status;
    *whole.headers_mut() = end_to_end(&head.headers);
    Ok(whole)
}

/// Encodes the headers of a message between agents.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let fields = headers.iter().map(|(name, value)| HeaderField {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    });
    fields.collect()
}

/// Decodes the headers of a message between agents, or returns `None` if one is malformed.
pub(super) fn decode_headers(fields: &[HeaderField]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&field.value).ok()?;
        headers.append(name, value);
    }
    Some(end_to_end(&headers))
}

fn decode_response(reply: RunReply) -> Option<Response<Bytes>> {
    if reply.body.len() > MAX_WHOLE_LEN {
        return None;
    }
    let status = u16::try_from(reply.status).ok()?;
    let mut response = Response::new(Bytes::from(reply.body));
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    *response.headers_mut() = decode_headers(&reply.headers)?;
    Some(response)
}
