//! Admission of a request and its forwarding to the backend server.

use std::future::Future;

use bytes::Bytes;
use carobdrum_core::{
    request::{
        RequestOutcome,
        RequestResult, //
    },
    Millis,
};
use carobdrum_telemetry::{
    hop_span,
    HopKind, //
};
use h3::error::Code;
use http::{
    header::{
        HeaderValue,
        HOST, //
    },
    Request,
    Response,
    StatusCode,
    Uri,
    Version, //
};
use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout_at;
use tracing::{
    debug,
    Instrument, //
};

use super::{
    ledger_guard::LedgerGuard,
    request_body::{
        empty_body,
        may_have_body,
        stream_body,
        BodyStream, //
    },
    request_handler::{
        is_idempotent,
        refuse,
        RequestContext, //
    },
    request_headers::{
        end_to_end,
        insert_text, //
    },
    response_recorder::ResponseRecorder,
    run_response::{
        RunFailure,
        RunResponse,
        ServerResponse, //
    },
    simple_response::{
        simple_response,
        RunState, //
    },
    RequestHandler,
    RequestStream,
    SlotPermit, //
};
use crate::{connection::ServerBody, process::RequestEnd};

/// Maximum number of attempts of an idempotent request, including the first.
const MAX_ATTEMPTS: u32 = 2;

type ResponseStream = h3::server::RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

impl RequestHandler {
    /// Waits for a slot, runs the request and returns how it ended.
    pub(super) async fn run(&self, context: RequestContext, stream: RequestStream) -> RequestEnd {
        let span = hop_span(
            HopKind::Agent,
            &context.trace,
            &context.service,
            &self.parts.name,
        );
        self.run_in_span(context, stream).instrument(span).await
    }

    async fn run_in_span(&self, context: RequestContext, stream: RequestStream) -> RequestEnd {
        let permit = match self.parts.slots.admit(context.offer).await {
            Ok(permit) => permit,
            Err(reason) => {
                debug!(?reason, "request refused");
                self.release(&context);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return refuse(stream, status, "no slot\n", RequestEnd::NotRun).await;
            }
        };
        let mut guard = LedgerGuard::new(self, context.sequence);
        let started = self.now();
        let (response_stream, body) = stream.split();
        let sent = self.send_and_hedge(&context, body, &mut guard).await;
        let (failure, response_stream) = match sent {
            Ok(RunResponse::Hedge(response)) => {
                permit.finish(RequestResult {
                    latency: self.now().since(started),
                    outcome: RequestOutcome::Abandoned,
                });
                return send_on_response_stream(response_stream, response, RequestEnd::Answered)
                    .await;
            }
            Ok(RunResponse::Own(server_response)) => {
                return self
                    .relay_response(
                        server_response,
                        response_stream,
                        permit,
                        guard,
                        &context,
                        started,
                    )
                    .await;
            }
            Err(failure) => (failure, response_stream),
        };
        let latency = self.now().since(started);
        let (outcome, state, end) = match failure {
            RunFailure::NotSent(outcome) => (outcome, RunState::NotRun, RequestEnd::NotRun),
            RunFailure::NoResponse(outcome) => (outcome, RunState::Unknown, RequestEnd::Unknown),
        };
        permit.finish(RequestResult { latency, outcome });
        drop(guard);
        let status = match (outcome, state) {
            (_, RunState::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (RequestOutcome::TimedOut, _) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let response = simple_response(status, state, "the server brought no answer\n");
        send_on_response_stream(response_stream, response, end).await
    }

    /// Releases the idempotency key of a request that was never sent.
    fn release(&self, context: &RequestContext) {
        if let Some(sequence) = context.sequence {
            self.parts.ledger.with(|ledger| ledger.release(sequence));
        }
    }

    /// Sends the request to the server and waits for the response's head. Repeats the request after
    /// a failure if that is safe and allowed.
    pub(super) async fn send_to_server(
        &self,
        context: &RequestContext,
        body: BodyStream,
        guard: &mut LedgerGuard<'_>,
    ) -> Result<ServerResponse, RunFailure> {
        let method = context.request.method();
        let has_body = may_have_body(&context.request);
        let mut body = Some(body);
        loop {
            let attempts = context.attempts.get() + 1;
            context.attempts.set(attempts);
            let repeatable = is_idempotent(method) && !has_body;
            let opening = self.parts.connector.open();
            let sender = match self.run_until_deadline(context, opening).await {
                Some(Ok(sender)) => sender,
                Some(Err(error)) => {
                    debug!(%error, "no connection to the backend server");
                    return Err(RunFailure::NotSent(RequestOutcome::ConnectionRefused));
                }
                None => return Err(RunFailure::NotSent(RequestOutcome::TimedOut)),
            };
            let content = match body.take() {
                Some(body) if has_body => stream_body(body),
                _ => empty_body(),
            };
            guard.mark_sent();
            match self.exchange(context, sender, content).await {
                Ok(server_response) => return Ok(server_response),
                Err(outcome) => {
                    let now = self.now();
                    let may_repeat = repeatable
                        && attempts < MAX_ATTEMPTS
                        && outcome != RequestOutcome::TimedOut
                        && !context.deadline.is_passed(now)
                        && self.parts.budget.borrow_mut().take_retry(now);
                    if !may_repeat {
                        return Err(RunFailure::NoResponse(outcome));
                    }
                }
            }
        }
    }

    async fn exchange(
        &self,
        context: &RequestContext,
        mut sender: SendRequest<ServerBody>,
        content: ServerBody,
    ) -> Result<ServerResponse, RequestOutcome> {
        let request = self.server_request(context, content);
        let span = hop_span(
            HopKind::Server,
            &context.trace,
            &context.service,
            &self.parts.name,
        );
        let sending = sender.send_request(request).instrument(span);
        match self.run_until_deadline(context, sending).await {
            Some(Ok(response)) => Ok(ServerResponse {
                response,
                buffered: Vec::new(),
                is_whole: false,
                received: self.now(),
                sender,
            }),
            Some(Err(error)) => {
                debug!(%error, "request to the backend server failed");
                Err(RequestOutcome::ConnectionReset)
            }
            None => Err(RequestOutcome::TimedOut),
        }
    }

    /// Returns the result of `work`, or `None` if the request's deadline is reached first.
    pub(super) async fn run_until_deadline<R>(
        &self,
        context: &RequestContext,
        work: impl Future<Output = R>,
    ) -> Option<R> {
        let deadline = self.parts.shared.clock.instant(context.deadline.0);
        timeout_at(deadline, work).await.ok()
    }

    pub(super) fn server_request(
        &self,
        context: &RequestContext,
        content: ServerBody,
    ) -> Request<ServerBody> {
        let mut request = Request::new(content);
        *request.method_mut() = context.request.method().clone();
        *request.version_mut() = Version::HTTP_11;
        *request.uri_mut() = origin_form(context.request.uri());
        let headers = request.headers_mut();
        *headers = end_to_end(context.request.headers());
        if let Some(authority) = context.request.uri().authority() {
            if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
                headers.insert(HOST, host);
            }
        }
        let remaining = context.deadline.header_value(self.now());
        let trace = context.trace.child().format();
        insert_text(headers, "request-timeout-ms", &remaining);
        insert_text(headers, "traceparent", &trace);
        request
    }

    /// Forwards the server's response to the caller, and returns how the request ended.
    async fn relay_response(
        &self,
        server_response: ServerResponse,
        mut response_stream: ResponseStream,
        permit: SlotPermit,
        guard: LedgerGuard<'_>,
        context: &RequestContext,
        started: Millis,
    ) -> RequestEnd {
        let ServerResponse {
            response,
            buffered,
            is_whole,
            received,
            sender: _sender,
        } = server_response;
        let latency = received.since(started);
        let (head, mut content) = response.into_parts();
        let mut recorder = ResponseRecorder::new(head.status, &head.headers, context.sequence);
        let mut outcome = if head.status.is_server_error() {
            RequestOutcome::ServerError
        } else {
            RequestOutcome::Success
        };
        let mut caller_response = Response::new(());
        *caller_response.status_mut() = head.status;
        *caller_response.headers_mut() = end_to_end(&head.headers);
        let mut caller_connected = response_stream.send_response(caller_response).await.is_ok();
        for data in buffered {
            recorder.add(&data);
            if caller_connected {
                caller_connected = response_stream.send_data(data).await.is_ok();
            }
        }
        let is_complete = is_whole
            || loop {
                match self.run_until_deadline(context, content.frame()).await {
                    Some(None) => break true,
                    Some(Some(Ok(frame))) => {
                        let Ok(data) = frame.into_data() else {
                            continue;
                        };
                        recorder.add(&data);
                        if caller_connected {
                            caller_connected = response_stream.send_data(data).await.is_ok();
                        }
                        // A response that is to be recorded is read to its end even if the caller is
                        // gone.
                        if !caller_connected && context.sequence.is_none() {
                            break false;
                        }
                    }
                    Some(Some(Err(error))) => {
                        debug!(%error, "response of the backend server ended early");
                        outcome = RequestOutcome::ConnectionReset;
                        break false;
                    }
                    None => {
                        outcome = RequestOutcome::TimedOut;
                        break false;
                    }
                }
            };
        if !caller_connected && !is_complete && outcome == RequestOutcome::Success {
            outcome = RequestOutcome::Abandoned;
        }
        permit.finish(RequestResult { latency, outcome });
        if is_complete {
            guard.complete(recorder.outcome());
        }
        if !caller_connected {
            return RequestEnd::Cancelled;
        }
        if !is_complete {
            // A stream reset tells the caller that the body is incomplete.
            response_stream.stop_stream(Code::H3_INTERNAL_ERROR);
            return RequestEnd::Unknown;
        }
        match response_stream.finish().await {
            Ok(()) => RequestEnd::Answered,
            Err(_) => RequestEnd::Cancelled,
        }
    }
}

async fn send_on_response_stream(
    mut response_stream: ResponseStream,
    response: Response<Bytes>,
    end: RequestEnd,
) -> RequestEnd {
    let (head, body) = response.into_parts();
    let sent = async {
        response_stream
            .send_response(Response::from_parts(head, ()))
            .await?;
        if !body.is_empty() {
            response_stream.send_data(body).await?;
        }
        response_stream.finish().await
    };
    match sent.await {
        Ok(()) => end,
        Err(_) => RequestEnd::Cancelled,
    }
}

/// Returns path and query, the form that HTTP/1.1 requires in requests to an origin server.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_else(|| Uri::from_static("/"))
}
