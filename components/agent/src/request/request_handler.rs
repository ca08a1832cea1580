//! Handling of requests from the caller to the backend server and back.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
    sync::Arc, //
};

use bytes::Bytes;
use carobdrum_control::{
    call_control,
    PublishedState, //
};
use carobdrum_core::{
    request::{
        IdempotencyKey,
        IdempotencyKeyError,
        RequestDeadline,
        RequestOffer,
        RetryBudget, //
    },
    version::RouteEntry,
    Millis,
};
use carobdrum_telemetry::TraceContext;
use carobdrum_wire::{
    control::{
        ControlBody,
        QueryOutcome, //
    },
    ControlMessage, TunnelKey,
};
use compact_str::CompactString;
use h3::error::Code;
use http::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use tokio::sync::watch;

use super::{
    keyed_request::{
        KeyedDecision, //
        KeyedOutcome,
    },
    simple_response::{
        simple_response,
        RunState, //
    },
    Hedging,
    SharedLedger,
    SlotScheduler, //
};
use crate::{
    connection::ServerConnector,
    process::{
        AgentMetrics,
        AgentShared,
        RequestEnd, //
    },
};

/// URL path at which callers get idempotency keys.
const KEY_PATH: &str = "/.well-known/carobdrum/idempotency-key";
/// Header that carries an idempotency key.
pub(super) const KEY_HEADER: &str = "idempotency-key";
const TRACE_HEADER: &str = "traceparent";

/// The caller's HTTP/3 stream of one request.
pub(crate) type RequestStream = h3::server::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Parts of a [`RequestHandler`].
pub(crate) struct HandlerParts {
    pub(crate) name: CompactString,
    pub(crate) address: SocketAddrV4,
    pub(crate) key: TunnelKey,
    pub(crate) shared: Arc<AgentShared>,
    pub(crate) metrics: AgentMetrics,
    pub(crate) published: watch::Receiver<PublishedState>,
    pub(crate) slots: Rc<SlotScheduler>,
    pub(crate) connector: Rc<ServerConnector>,
    pub(crate) ledger: SharedLedger,
    pub(crate) budget: RefCell<RetryBudget>,
    /// `None` if hedging is off.
    pub(crate) hedging: Option<Rc<Hedging>>,
}

/// Handles requests from the caller to the backend server and back.
pub(crate) struct RequestHandler {
    pub(super) parts: HandlerParts,
}

/// A request with what admission and forwarding need to know about it.
pub(super) struct RequestContext {
    pub(super) request: Request<()>,
    pub(super) offer: RequestOffer,
    pub(super) deadline: RequestDeadline,
    pub(super) trace: TraceContext,
    /// Name of the request's route.
    pub(super) route: CompactString,
    /// Name of the service that the request's route belongs to.
    pub(super) service: CompactString,
    /// Sequence number of the request's idempotency key; `None` for a request that needs no key or
    /// has none.
    pub(super) sequence: Option<u64>,
    /// Number of attempts to send the request to the own server.
    pub(super) attempts: Cell<u32>,
}

impl RequestHandler {
    pub(crate) fn new(parts: HandlerParts) -> Rc<RequestHandler> {
        Rc::new(RequestHandler { parts })
    }

    /// Handles one request and counts how it ended. `flow_trace` is used if the request has no
    /// trace header.
    pub(crate) async fn serve(
        self: Rc<Self>,
        request: Request<()>,
        stream: RequestStream,
        flow_trace: TraceContext,
    ) {
        self.parts.budget.borrow_mut().count_request();
        let end = self.handle(request, stream, flow_trace).await;
        self.parts.metrics.end(end);
    }

    async fn handle(
        &self,
        request: Request<()>,
        stream: RequestStream,
        flow_trace: TraceContext,
    ) -> RequestEnd {
        if request.uri().path() == KEY_PATH {
            return self.issue_key(stream).await;
        }
        let now = self.now();
        let Some(route) = self.route_of(&request) else {
            let text = "no route takes this request\n";
            return refuse(stream, StatusCode::NOT_FOUND, text, RequestEnd::BadRequest).await;
        };
        let timeout = Millis(u64::from(route.timeout_ms));
        let requested = header(request.headers(), RequestDeadline::HEADER);
        let Ok(deadline) = RequestDeadline::on_arrival(now, timeout, requested) else {
            let text = "request-timeout-ms is no whole number of milliseconds\n";
            return refuse(
                stream,
                StatusCode::BAD_REQUEST,
                text,
                RequestEnd::BadRequest,
            )
            .await;
        };
        let trace = header(request.headers(), TRACE_HEADER)
            .and_then(TraceContext::parse)
            .unwrap_or(flow_trace)
            .child();
        let sequence = match self.begin_keyed(&request, now).await {
            Ok(sequence) => sequence,
            Err(response) => return send_keyed_response(stream, response).await,
        };
        let offer = RequestOffer {
            class: route.priority,
            deadline: deadline.0,
        };
        let context = RequestContext {
            request,
            offer,
            deadline,
            trace,
            route: route.name,
            service: route.service,
            sequence,
            attempts: Cell::new(0),
        };
        self.run(context, stream).await
    }

    pub(super) fn now(&self) -> Millis {
        self.parts.shared.clock.now()
    }

    fn route_of(&self, request: &Request<()>) -> Option<RouteEntry> {
        let state = self.parts.published.borrow();
        let config = state.config.as_deref()?;
        let service = config.service_name(self.parts.shared.service())?;
        let path = request.uri().path();
        let route = config
            .routes
            .route_of(service, request.method().as_str(), path);
        route.cloned()
    }

    async fn issue_key(&self, stream: RequestStream) -> RequestEnd {
        let sequence = self.parts.ledger.with(|ledger| ledger.issue());
        let key = IdempotencyKey {
            agent: self.parts.address,
            incarnation: self.parts.ledger.incarnation(),
            sequence,
        };
        let sealed = {
            let state = self.parts.published.borrow();
            let keys = state.keys.as_ref();
            let fleet_key = keys.and_then(|keys| keys.key(keys.issuing()));
            fleet_key.map(|fleet_key| key.seal(fleet_key, rand::random()))
        };
        let Some(sealed) = sealed else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return refuse(stream, status, "no key ring yet\n", RequestEnd::NotRun).await;
        };
        let response = Response::new(Bytes::from(sealed.as_bytes().to_vec()));
        send_response_and_body(stream, response, RequestEnd::Answered).await
    }

    /// Decides by its idempotency key whether a request may run here.
    ///
    /// Returns the sequence number of the key, or `None` for a request that has none or is
    /// idempotent by its method. The error is the response to a request that must not run here.
    async fn begin_keyed(
        &self,
        request: &Request<()>,
        now: Millis,
    ) -> Result<Option<u64>, KeyedResponse> {
        let Some(text) = header(request.headers(), KEY_HEADER) else {
            return Ok(None);
        };
        if is_idempotent(request.method()) {
            return Ok(None);
        }
        let keys = self.parts.published.borrow().keys.clone();
        let opened = keys.map(|keys| IdempotencyKey::open(text, &keys));
        let Some(Ok(key)) = opened else {
            return Err(response_to_unopened_key(opened));
        };
        if key.agent != self.parts.address {
            return Err(KeyedResponse::Known(
                self.query_owner(text, key.agent).await,
            ));
        }
        match self.parts.ledger.begin(now, &key) {
            KeyedDecision::Run => Ok(Some(key.sequence)),
            KeyedDecision::Respond(outcome) => Err(KeyedResponse::Known(outcome)),
        }
    }

    async fn query_owner(&self, text: &str, owner: SocketAddrV4) -> KeyedOutcome {
        let query = QueryOutcome { key: text.into() };
        let message = ControlMessage::new(ControlBody::QueryOutcome(query));
        let response = call_control(owner, &self.parts.key, message).await;
        match response.ok().and_then(|response| response.body) {
            Some(ControlBody::Outcome(reply)) => KeyedOutcome::from_reply(reply),
            _ => KeyedOutcome::Unknown,
        }
    }
}

/// Response to a request with an idempotency key that doesn't run here.
pub(super) enum KeyedResponse {
    /// The key was not issued by this system.
    NotIssued,
    /// The key can't be decrypted any more, so its request may have run.
    Expired,
    /// The outcome as known by the agent that issued the key.
    Known(KeyedOutcome),
}

/// Returns the response for a key that can't be decrypted. A request with a key that was never
/// issued has not run, but one with a key under an expired fleet key may have run.
fn response_to_unopened_key(
    opened: Option<Result<IdempotencyKey, IdempotencyKeyError>>,
) -> KeyedResponse {
    match opened {
        Some(Err(IdempotencyKeyError::Malformed)) => KeyedResponse::NotIssued,
        _ => KeyedResponse::Expired,
    }
}

async fn send_keyed_response(stream: RequestStream, response: KeyedResponse) -> RequestEnd {
    let outcome = match response {
        KeyedResponse::NotIssued => {
            let text = "the idempotency key was not issued by this system\n";
            return refuse(
                stream,
                StatusCode::BAD_REQUEST,
                text,
                RequestEnd::BadRequest,
            )
            .await;
        }
        KeyedResponse::Expired => {
            let text = "the idempotency key can't be checked any more\n";
            let response = simple_response(StatusCode::BAD_REQUEST, RunState::Unknown, text);
            return send_response_and_body(stream, response, RequestEnd::Unknown).await;
        }
        KeyedResponse::Known(outcome) => outcome,
    };
    let conflict = StatusCode::CONFLICT;
    match outcome {
        KeyedOutcome::NotRun => {
            let text = "the request has not run and will not run under this key\n";
            refuse(
                stream,
                StatusCode::SERVICE_UNAVAILABLE,
                text,
                RequestEnd::NotRun,
            )
            .await
        }
        KeyedOutcome::Running => {
            let response = simple_response(conflict, RunState::Unknown, "the request is running\n");
            send_response_and_body(stream, response, RequestEnd::Repeated).await
        }
        KeyedOutcome::NotKept => {
            let text = "the request has run; its answer was too large to keep\n";
            let mut response = simple_response(conflict, RunState::Unknown, text);
            let done = http::HeaderValue::from_static("done");
            response
                .headers_mut()
                .insert(super::simple_response::OUTCOME_HEADER, done);
            send_response_and_body(stream, response, RequestEnd::Repeated).await
        }
        KeyedOutcome::Unknown => {
            let text = "it is not known whether the request has run\n";
            let response = simple_response(conflict, RunState::Unknown, text);
            send_response_and_body(stream, response, RequestEnd::Unknown).await
        }
        KeyedOutcome::Done(recorded) => {
            let mut response = Response::new(Bytes::from(recorded.body));
            *response.status_mut() =
                StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::BAD_GATEWAY);
            for (name, value) in &recorded.headers {
                let name = http::HeaderName::from_bytes(name.as_bytes());
                let value = http::HeaderValue::from_bytes(value.as_bytes());
                if let (Ok(name), Ok(value)) = (name, value) {
                    response.headers_mut().append(name, value);
                }
            }
            send_response_and_body(stream, response, RequestEnd::Repeated).await
        }
    }
}

/// Sends the response to a request that has not run and will not run.
pub(super) async fn refuse(
    stream: RequestStream,
    status: StatusCode,
    text: &'static str,
    end: RequestEnd,
) -> RequestEnd {
    let response = simple_response(status, RunState::NotRun, text);
    send_response_and_body(stream, response, end).await
}

/// Sends a response with its whole body, and returns `end`, or `Cancelled` if the caller is gone.
pub(super) async fn send_response_and_body(
    mut stream: RequestStream,
    response: Response<Bytes>,
    end: RequestEnd,
) -> RequestEnd {
    // The caller need not send the rest of the request, because it isn't read.
    stream.stop_sending(Code::H3_NO_ERROR);
    let (head, body) = response.into_parts();
    let sent = async {
        stream.send_response(Response::from_parts(head, ())).await?;
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await
    };
    match sent.await {
        Ok(()) => end,
        Err(_) => RequestEnd::Cancelled,
    }
}

pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns whether a method is idempotent (RFC 9110, section 9.2.2).
pub(super) fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::TRACE | Method::PUT | Method::DELETE
    )
}
