//! One QUIC connection to the service and the requests on it.

use std::time::Duration;

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use compact_str::CompactString;
use h3::{
    client::{
        RequestStream,
        SendRequest, //
    },
    error::{
        Code,
        ConnectionError,
        LocalError,
        StreamError, //
    },
};
use http::{
    header::CONTENT_LENGTH,
    uri::Scheme,
    HeaderMap,
    Method,
    Request,
    StatusCode,
    Uri, //
};
use snafu::ResultExt;
use tokio::task::JoinHandle;

use crate::{
    connection::{
        body_guard::BodyGuard,
        CloseReason, //
    },
    request::{
        BadRequestSnafu,
        BodyTooLargeSnafu,
        BodyTooLongSnafu,
        BodyTooShortSnafu,
        CallerError,
        CallerRequest,
        CallerResponse,
        ConnectionLostSnafu,
        DeadlinePassedSnafu,
        FlowEndedSnafu,
        GoingAwaySnafu,
        MalformedResponseSnafu,
        RequestRejectedSnafu,
        StreamResetSnafu, //
    },
};

/// Longest body of a response, in bytes; a longer one fails the request instead of being truncated.
const MAX_BODY_LEN: usize = 256 << 20;

type RecvHalf = RequestStream<h3_quinn::RecvStream, Bytes>;

/// An open flow; dropping it closes the connection.
pub struct CallerFlow {
    connection: quinn::Connection,
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
    driver: JoinHandle<()>,
    authority: CompactString,
}

impl CallerFlow {
    /// Starts HTTP/3 on an established QUIC connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallerError::ConnectionLost`].
    pub(crate) async fn start(
        connection: quinn::Connection,
        authority: CompactString,
    ) -> Result<CallerFlow, CallerError> {
        let quic = h3_quinn::Connection::new(connection.clone());
        // GREASE frames and streams would only add traffic that no test checks.
        let opened = h3::client::builder().send_grease(false).build(quic).await;
        let (mut http, sender) =
            opened.map_err(|error| connection_lost_error(&connection, &error))?;
        let driver = tokio::spawn(async move {
            let error = http.wait_idle().await;
            tracing::debug!(%error, "flow ended");
        });
        Ok(CallerFlow {
            connection,
            sender,
            driver,
            authority,
        })
    }

    /// Sends a request and returns its response once that is complete.
    ///
    /// # Errors
    ///
    /// Returns a [`CallerError`]; [`CallerError::is_not_run`] returns whether the request certainly
    /// didn't run.
    pub async fn request(&self, request: CallerRequest) -> Result<CallerResponse, CallerError> {
        let limit = request.timeout;
        match tokio::time::timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => DeadlinePassedSnafu {
                timeout_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
            }
            .fail(),
        }
    }

    /// Waits until the flow ends and returns the reason.
    pub async fn closed(&self) -> CloseReason {
        CloseReason::from(self.connection.closed().await)
    }

    /// Returns the reason why the flow ended, or `None` while it is open.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.connection.close_reason().map(CloseReason::from)
    }

    /// Returns the smoothed round-trip time.
    pub fn round_trip(&self) -> Duration {
        self.connection.rtt()
    }

    async fn exchange(&self, request: CallerRequest) -> Result<CallerResponse, CallerError> {
        let head = self.build_head(&request)?;
        let method = request.method;
        let mut sender = self.sender.clone();
        let stream = sender.send_request(head).await;
        let stream = stream.map_err(|error| self.unsent_request_error(error))?;
        let (sending, mut receiving) = stream.split();
        let mut guard = BodyGuard::new(sending);
        let sending = guard.send(request.body);
        let reading = self.read_response(&mut receiving, &method);
        tokio::pin!(sending, reading);
        let mut is_sending = true;
        // A service may respond before it has read the body, so the response ends the exchange.
        loop {
            tokio::select! {
                response = &mut reading => return response,
                sent = &mut sending, if is_sending => {
                    is_sending = false;
                    check_rejection(sent)?;
                }
            }
        }
    }

    fn build_head(&self, request: &CallerRequest) -> Result<Request<()>, CallerError> {
        let uri = Uri::builder()
            .scheme(Scheme::HTTPS)
            .authority(self.authority.as_str())
            .path_and_query(request.path.as_str())
            .build();
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(uri.context(BadRequestSnafu)?);
        if let Some(headers) = builder.headers_mut() {
            *headers = request.headers.clone();
            if !request.body.is_empty() || request.method == Method::POST {
                headers.insert(CONTENT_LENGTH, request.body.len().into());
            }
        }
        builder.body(()).context(BadRequestSnafu)
    }

    async fn read_response(
        &self,
        stream: &mut RecvHalf,
        method: &Method,
    ) -> Result<CallerResponse, CallerError> {
        let mut head = stream.recv_response().await;
        // Interim responses, such as 100 Continue, precede the final one.
        while head
            .as_ref()
            .is_ok_and(|head| head.status().is_informational())
        {
            head = stream.recv_response().await;
        }
        let head = head.map_err(|error| self.stream_error(error))?;
        let (parts, ()) = head.into_parts();
        let declared = match has_body(method, parts.status) {
            true => declared_length(&parts.headers)?,
            false => Some(0),
        };
        let body = self.read_body(stream, declared).await?;
        Ok(CallerResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn read_body(
        &self,
        stream: &mut RecvHalf,
        declared: Option<u64>,
    ) -> Result<Bytes, CallerError> {
        let mut body = BytesMut::new();
        loop {
            let data = stream.recv_data().await;
            let Some(mut data) = data.map_err(|error| self.stream_error(error))? else {
                break;
            };
            if body.len() + data.remaining() > MAX_BODY_LEN {
                return BodyTooLargeSnafu {
                    limit: MAX_BODY_LEN,
                }
                .fail();
            }
            while data.has_remaining() {
                let chunk = data.chunk();
                let len = chunk.len();
                body.extend_from_slice(chunk);
                data.advance(len);
            }
            check_not_longer(declared, body.len() as u64)?;
        }
        check_not_shorter(declared, body.len() as u64)?;
        Ok(body.freeze())
    }

    /// Converts the error of a request whose head wasn't sent whole, so that no server runs it.
    fn unsent_request_error(&self, error: StreamError) -> CallerError {
        match self.stream_error(error) {
            CallerError::ConnectionLost { cause } => FlowEndedSnafu { cause }.build(),
            other => other,
        }
    }

    fn stream_error(&self, error: StreamError) -> CallerError {
        match error {
            StreamError::RemoteTerminate { code, .. } => reset_error(code),
            StreamError::RemoteClosing { .. } => GoingAwaySnafu.build(),
            StreamError::ConnectionError { 0: error, .. } => {
                connection_lost_error(&self.connection, &error)
            }
            other => self.unclassified_error(&other),
        }
    }

    fn unclassified_error(&self, error: &StreamError) -> CallerError {
        match self.close_reason() {
            Some(cause) => ConnectionLostSnafu { cause }.build(),
            None => MalformedResponseSnafu {
                reason: error.to_string(),
            }
            .build(),
        }
    }
}

impl Drop for CallerFlow {
    fn drop(&mut self) {
        let code = u32::try_from(Code::H3_NO_ERROR.value()).unwrap_or_default();
        self.connection.close(code.into(), b"");
        self.driver.abort();
    }
}

/// Returns an error if the peer stopped reading because it won't process the request.
///
/// A peer that stopped reading for another reason still sends its response.
fn check_rejection(sent: Result<(), StreamError>) -> Result<(), CallerError> {
    match sent {
        Err(StreamError::RemoteTerminate { code, .. }) if code == Code::H3_REQUEST_REJECTED => {
            RequestRejectedSnafu.fail()
        }
        _ => Ok(()),
    }
}

fn reset_error(code: Code) -> CallerError {
    if code == Code::H3_REQUEST_REJECTED {
        return RequestRejectedSnafu.build();
    }
    StreamResetSnafu { code: code.value() }.build()
}

/// Converts the error of a lost connection; the QUIC connection has a more precise reason than
/// HTTP/3.
fn connection_lost_error(connection: &quinn::Connection, error: &ConnectionError) -> CallerError {
    if let ConnectionError::Local {
        error: LocalError::Application { code, reason, .. },
        ..
    } = error
    {
        if *code != Code::H3_NO_ERROR {
            let reason = format!("{code:?}: {reason}");
            let cause = CloseReason::ProtocolViolation { reason };
            return ConnectionLostSnafu { cause }.build();
        }
    }
    let cause = match connection.close_reason() {
        Some(reason) => CloseReason::from(reason),
        None => CloseReason::ProtocolViolation {
            reason: error.to_string(),
        },
    };
    ConnectionLostSnafu { cause }.build()
}

/// Returns whether a response with `status` to a `method` request has a body.
fn has_body(method: &Method, status: StatusCode) -> bool {
    *method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, CallerError> {
    let Some(value) = headers.get(CONTENT_LENGTH) else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(length) => Ok(Some(length)),
        None => MalformedResponseSnafu {
            reason: format!("content-length {value:?}"),
        }
        .fail(),
    }
}

fn check_not_longer(declared: Option<u64>, received: u64) -> Result<(), CallerError> {
    match declared {
        Some(declared) if received > declared => BodyTooLongSnafu { declared, received }.fail(),
        _ => Ok(()),
    }
}

fn check_not_shorter(declared: Option<u64>, received: u64) -> Result<(), CallerError> {
    match declared {
        Some(declared) if received < declared => BodyTooShortSnafu { declared, received }.fail(),
        _ => Ok(()),
    }
}
