//! Running of an admitted request on the server.

use std::{
    future::Future,
    io, //
};

use bytes::{
    Buf,
    Bytes, //
};
use carobdrum_core::{
    request::{
        FinalOutcome,
        RecordedResponse,
        RequestOutcome,
        RequestResult, //
    },
    Millis,
};
use carobdrum_telemetry::{
    hop_span,
    HopKind, //
};
use compact_str::CompactString;
use futures_util::TryStreamExt;
use h3::error::Code;
use http::{
    header::{
        HeaderValue,
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    HeaderMap,
    HeaderName,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    Version, //
};
use http_body_util::{
    BodyExt,
    Empty,
    StreamBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use tokio::{
    sync::mpsc,
    time::timeout_at, //
};
use tracing::{
    debug,
    Instrument, //
};

use super::{
    request_path::{
        is_idempotent,
        refuse,
        RequestTerms, //
    },
    simple_answer::{
        simple_answer,
        RunState, //
    },
    RequestPath,
    RequestStream,
    SlotPermit, //
};
use crate::{
    connection::{
        ConnectError,
        ServerBody,
        ServerLink, //
    },
    process::RequestEnd,
};

/// Largest answer that is recorded under an idempotency key, in bytes.
const MAX_RECORDED: usize = 64 * 1024;
/// Parts of a request's body that may wait for the server.
const BODY_QUEUE: usize = 4;
/// Tries of an idempotent request, the first included.
const MAX_TRIES: u32 = 2;

type AnswerStream = h3::server::RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;
type BodyStream = h3::server::RequestStream<h3_quinn::RecvStream, Bytes>;

/// Why the server brought no answer.
enum RunFailure {
    /// No byte of the request went to the server.
    NotSent(RequestOutcome),
    /// The request went to the server, and no answer came.
    NoAnswer(RequestOutcome),
}

/// An answer of the server whose body is still to be read.
struct ServerAnswer {
    answer: Response<Incoming>,
    link: ServerLink,
}

impl RequestPath {
    /// Waits for a slot, runs the request and returns how it ended.
    pub(super) async fn run(&self, terms: RequestTerms, stream: RequestStream) -> RequestEnd {
        let span = hop_span(
            HopKind::Agent,
            &terms.trace,
            &terms.service,
            &self.parts.name,
        );
        self.run_in_span(terms, stream).instrument(span).await
    }

    async fn run_in_span(&self, terms: RequestTerms, stream: RequestStream) -> RequestEnd {
        let permit = match self.parts.slots.admit(terms.offer).await {
            Ok(permit) => permit,
            Err(reason) => {
                debug!(?reason, "request refused");
                self.release(&terms);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return refuse(stream, status, "no slot\n", RequestEnd::NotRun).await;
            }
        };
        let mut guard = LedgerGuard::new(self, terms.sequence);
        let started = self.now();
        let (answers, body) = stream.split();
        let (failure, answers) = match self.try_server(&terms, body, &mut guard).await {
            Ok(found) => {
                return self
                    .relay(found, answers, permit, guard, &terms, started)
                    .await;
            }
            Err(failure) => (failure, answers),
        };
        let latency = self.now().since(started);
        let (outcome, state, end) = match failure {
            RunFailure::NotSent(outcome) => (outcome, RunState::NotRun, RequestEnd::NotRun),
            RunFailure::NoAnswer(outcome) => (outcome, RunState::Unknown, RequestEnd::Unknown),
        };
        permit.finish(RequestResult { latency, outcome });
        drop(guard);
        let status = match (outcome, state) {
            (_, RunState::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (RequestOutcome::TimedOut, _) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let answer = simple_answer(status, state, "the server brought no answer\n");
        send_split(answers, answer, end).await
    }

    /// Gives a key back whose request was never sent.
    fn release(&self, terms: &RequestTerms) {
        if let Some(sequence) = terms.sequence {
            self.parts.ledger.with(|ledger| ledger.release(sequence));
        }
    }

    /// Sends the request to the server, again if that is allowed, and waits for the answer's head.
    async fn try_server(
        &self,
        terms: &RequestTerms,
        body: BodyStream,
        guard: &mut LedgerGuard<'_>,
    ) -> Result<ServerAnswer, RunFailure> {
        let method = terms.request.method();
        let has_body = may_have_body(&terms.request);
        let mut body = Some(body);
        let mut tries = 0;
        loop {
            tries += 1;
            let repeatable = is_idempotent(method) && !has_body;
            let link = self.connect(repeatable && tries == 1);
            let link = match self.until_deadline(terms, link).await {
                Some(Ok(link)) => link,
                Some(Err(error)) => {
                    debug!(%error, "no connection to the server");
                    return Err(RunFailure::NotSent(RequestOutcome::ConnectionRefused));
                }
                None => return Err(RunFailure::NotSent(RequestOutcome::TimedOut)),
            };
            let content = match body.take() {
                Some(body) if has_body => stream_body(body),
                _ => empty_body(),
            };
            guard.mark_sent();
            let reused = link.reused;
            match self.exchange(terms, link, content).await {
                Ok(found) => return Ok(found),
                Err(outcome) => {
                    let now = self.now();
                    let may_repeat = repeatable
                        && tries < MAX_TRIES
                        && outcome != RequestOutcome::TimedOut
                        && !terms.deadline.is_passed(now)
                        && (reused || self.parts.budget.borrow_mut().take_retry(now));
                    if !may_repeat {
                        return Err(RunFailure::NoAnswer(outcome));
                    }
                }
            }
        }
    }

    /// Returns a connection: any for a request that may be repeated, otherwise a fresh one, because
    /// the loss of a reused connection would leave the outcome unknown.
    async fn connect(&self, may_reuse: bool) -> Result<ServerLink, ConnectError> {
        if may_reuse {
            self.parts.pool.pooled().await
        } else {
            self.parts.pool.fresh().await
        }
    }

    async fn exchange(
        &self,
        terms: &RequestTerms,
        mut link: ServerLink,
        content: ServerBody,
    ) -> Result<ServerAnswer, RequestOutcome> {
        let request = self.server_request(terms, content);
        let span = hop_span(
            HopKind::Server,
            &terms.trace,
            &terms.service,
            &self.parts.name,
        );
        let sending = link.sender.send_request(request).instrument(span);
        match self.until_deadline(terms, sending).await {
            Some(Ok(answer)) => Ok(ServerAnswer { answer, link }),
            Some(Err(error)) => {
                debug!(%error, "exchange with the server failed");
                Err(RequestOutcome::ConnectionReset)
            }
            None => Err(RequestOutcome::TimedOut),
        }
    }

    /// Returns what `work` brings, or `None` at the deadline.
    async fn until_deadline<R>(
        &self,
        terms: &RequestTerms,
        work: impl Future<Output = R>,
    ) -> Option<R> {
        let deadline = self.parts.shared.clock.instant(terms.deadline.0);
        timeout_at(deadline, work).await.ok()
    }

    fn server_request(&self, terms: &RequestTerms, content: ServerBody) -> Request<ServerBody> {
        let mut request = Request::new(content);
        *request.method_mut() = terms.request.method().clone();
        *request.version_mut() = Version::HTTP_11;
        *request.uri_mut() = origin_form(terms.request.uri());
        let headers = request.headers_mut();
        *headers = end_to_end(terms.request.headers());
        if let Some(authority) = terms.request.uri().authority() {
            if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
                headers.insert(HOST, host);
            }
        }
        let left = terms.deadline.header_value(self.now());
        let trace = terms.trace.child().format();
        insert_text(headers, "request-timeout-ms", &left);
        insert_text(headers, "traceparent", &trace);
        request
    }

    /// Passes the server's answer on, and returns how the request ended.
    async fn relay(
        &self,
        found: ServerAnswer,
        mut answers: AnswerStream,
        permit: SlotPermit,
        guard: LedgerGuard<'_>,
        terms: &RequestTerms,
        started: Millis,
    ) -> RequestEnd {
        let ServerAnswer { answer, link } = found;
        let latency = self.now().since(started);
        let (head, mut content) = answer.into_parts();
        let mut recorder = AnswerRecorder::new(head.status, &head.headers, terms.sequence);
        let mut outcome = if head.status.is_server_error() {
            RequestOutcome::ServerError
        } else {
            RequestOutcome::Success
        };
        let mut kept = Response::new(());
        *kept.status_mut() = head.status;
        *kept.headers_mut() = end_to_end(&head.headers);
        let mut caller_here = answers.send_response(kept).await.is_ok();
        let whole = loop {
            match self.until_deadline(terms, content.frame()).await {
                Some(None) => break true,
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    recorder.add(&data);
                    if caller_here {
                        caller_here = answers.send_data(data).await.is_ok();
                    }
                    // An answer that is to be recorded is read to its end without the caller.
                    if !caller_here && terms.sequence.is_none() {
                        break false;
                    }
                }
                Some(Some(Err(error))) => {
                    debug!(%error, "the server's answer broke off");
                    outcome = RequestOutcome::ConnectionReset;
                    break false;
                }
                None => {
                    outcome = RequestOutcome::TimedOut;
                    break false;
                }
            }
        };
        if !caller_here && !whole && outcome == RequestOutcome::Success {
            outcome = RequestOutcome::Abandoned;
        }
        permit.finish(RequestResult { latency, outcome });
        if whole {
            guard.complete(recorder.outcome());
            self.parts.pool.put_back(link.sender);
        }
        if !caller_here {
            return RequestEnd::Cancelled;
        }
        if !whole {
            // A reset tells the caller that the body is not whole.
            answers.stop_stream(Code::H3_INTERNAL_ERROR);
            return RequestEnd::Unknown;
        }
        match answers.finish().await {
            Ok(()) => RequestEnd::Answered,
            Err(_) => RequestEnd::Cancelled,
        }
    }
}

/// Settles an idempotency key when its request ends, however it ends.
struct LedgerGuard<'a> {
    path: &'a RequestPath,
    sequence: Option<u64>,
    sent: bool,
}

impl<'a> LedgerGuard<'a> {
    fn new(path: &'a RequestPath, sequence: Option<u64>) -> LedgerGuard<'a> {
        LedgerGuard {
            path,
            sequence,
            sent: false,
        }
    }

    fn mark_sent(&mut self) {
        self.sent = true;
    }

    fn complete(mut self, outcome: FinalOutcome) {
        if let Some(sequence) = self.sequence.take() {
            let now = self.path.now();
            let ledger = &self.path.parts.ledger;
            ledger.with(|ledger| ledger.complete(now, sequence, outcome));
        }
    }
}

impl Drop for LedgerGuard<'_> {
    fn drop(&mut self) {
        let Some(sequence) = self.sequence.take() else {
            return;
        };
        let now = self.path.now();
        let sent = self.sent;
        self.path.parts.ledger.with(|ledger| {
            if sent {
                ledger.complete(now, sequence, FinalOutcome::Unknown)
            } else {
                ledger.release(sequence)
            }
        });
    }
}

/// Copies an answer that may have to be repeated.
struct AnswerRecorder {
    recorded: Option<RecordedResponse>,
}

impl AnswerRecorder {
    fn new(status: StatusCode, headers: &HeaderMap, sequence: Option<u64>) -> AnswerRecorder {
        let recorded = sequence.map(|_| RecordedResponse {
            status: status.as_u16(),
            headers: record_headers(&end_to_end(headers)),
            body: Vec::new(),
        });
        AnswerRecorder { recorded }
    }

    fn add(&mut self, data: &[u8]) {
        let Some(recorded) = &mut self.recorded else {
            return;
        };
        if recorded.body.len() + data.len() > MAX_RECORDED {
            self.recorded = None;
        } else {
            recorded.body.extend_from_slice(data);
        }
    }

    fn outcome(self) -> FinalOutcome {
        self.recorded
            .map_or(FinalOutcome::NotKept, FinalOutcome::Kept)
    }
}

fn record_headers(headers: &HeaderMap) -> Vec<(CompactString, CompactString)> {
    let texts = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().into(), value.into()))
    });
    texts.collect()
}

async fn send_split(
    mut answers: AnswerStream,
    answer: Response<Bytes>,
    end: RequestEnd,
) -> RequestEnd {
    let (head, body) = answer.into_parts();
    let sent = async {
        answers
            .send_response(Response::from_parts(head, ()))
            .await?;
        answers.send_data(body).await?;
        answers.finish().await
    };
    match sent.await {
        Ok(()) => end,
        Err(_) => RequestEnd::Cancelled,
    }
}

/// Returns whether a request may bring a body, which can be sent only once.
fn may_have_body(request: &Request<()>) -> bool {
    let declared = request.headers().get(CONTENT_LENGTH);
    match declared {
        Some(length) => length != "0",
        None => !matches!(
            *request.method(),
            Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS
        ),
    }
}

fn empty_body() -> ServerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Makes a body of what the caller sends; an incomplete one ends with an error, so that the server
/// never takes a part for the whole.
fn stream_body(mut body: BodyStream) -> ServerBody {
    let (sender, receiver) = mpsc::channel::<io::Result<Bytes>>(BODY_QUEUE);
    tokio::task::spawn_local(async move {
        loop {
            let part = match body.recv_data().await {
                Ok(Some(mut data)) => Ok(data.copy_to_bytes(data.remaining())),
                Ok(None) => return,
                Err(error) => Err(io::Error::other(error)),
            };
            let last = part.is_err();
            if sender.send(part).await.is_err() || last {
                return;
            }
        }
    });
    let parts = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    });
    StreamBody::new(parts.map_ok(Frame::data)).boxed_unsync()
}

/// Returns path and query, as HTTP/1.1 wants them towards an origin server.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_else(|| Uri::from_static("/"))
}

/// Copies the headers without those that concern one connection only (RFC 9110, section 7.6.1).
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    let mut kept = headers.clone();
    for name in [
        CONNECTION,
        TRANSFER_ENCODING,
        UPGRADE,
        KEEP_ALIVE,
        PROXY_CONNECTION,
    ] {
        kept.remove(name);
    }
    kept
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
