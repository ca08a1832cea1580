//! The race between the own server and a hedge at another agent.

use std::{
    future::Future,
    pin::{
        pin,
        Pin, //
    }, //
};

use bytes::Bytes;
use carobdrum_core::{
    request::{
        HedgeEnd,
        HedgeRequest,
        RequestOutcome, //
    },
    Millis,
};
use carobdrum_wire::control::RunRequest;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::timeout_at;
use tracing::debug;

use super::{
    ledger_guard::LedgerGuard,
    request_body::{
        empty_body,
        may_have_body,
        BodyStream, //
    },
    request_handler::{
        is_idempotent,
        RequestContext,
        KEY_HEADER, //
    },
    run_response::{
        RunFailure,
        RunResponse,
        ServerResponse, //
    },
    whole_response::{
        encode_headers,
        HedgeReply,
        MAX_WHOLE_LEN, //
    },
    Hedging,
    RequestHandler, //
};

type OwnResult = Result<ServerResponse, RunFailure>;
type RunResult = Result<RunResponse, RunFailure>;

impl RequestHandler {
    /// Sends the request to the server, and to another agent if the response is late and the limits
    /// allow it. Returns the head of the own server's response or the whole one of the other agent.
    /// The request that isn't needed any more is cancelled.
    pub(super) async fn send_and_hedge(
        &self,
        context: &RequestContext,
        body: BodyStream,
        guard: &mut LedgerGuard<'_>,
    ) -> RunResult {
        let hedging = self.parts.hedging.as_ref();
        let Some(hedging) = hedging.filter(|_| context.sequence.is_none()) else {
            let sent = self.send_to_server(context, body, guard).await;
            return sent.map(RunResponse::Own);
        };
        let request = hedge_request(context);
        let plan = hedging.plan(&request, &context.service);
        let mut attempt = HedgeAttempt {
            hedging,
            request,
            started: self.now(),
        };
        let mut own = pin!(self.send_to_server(context, body, guard));
        if let Ok(delay) = plan {
            let due = self.parts.shared.clock.instant(attempt.started.plus(delay));
            if let Ok(own) = timeout_at(due, &mut own).await {
                attempt.record_head(&own);
                return own.map(RunResponse::Own);
            }
            attempt.request.is_retry = context.attempts.get() > 1;
            let queued = self.parts.slots.queued();
            if let Ok(agent) = hedging.decide(&attempt.request, delay, queued) {
                let hedge = pin!(hedging.send(agent, self.run_request(context)));
                let (result, end) = self.race(context, &attempt, own, hedge).await;
                hedging.record_end(&attempt.request.route, agent, end);
                return result;
            }
        }
        let own = own.await;
        attempt.record_head(&own);
        own.map(RunResponse::Own)
    }

    /// Waits for the first whole response. A response of the other agent with a server error wins
    /// only if the own server returns none.
    async fn race(
        &self,
        context: &RequestContext,
        attempt: &HedgeAttempt<'_>,
        mut own: Pin<&mut impl Future<Output = OwnResult>>,
        mut hedge: Pin<&mut impl Future<Output = HedgeReply>>,
    ) -> (RunResult, HedgeEnd) {
        let first = tokio::select! {
            biased;
            own = &mut own => own,
            reply = &mut hedge => match usable_response(reply) {
                Ok(response) => {
                    attempt.record_time();
                    return (Ok(RunResponse::Hedge(response)), HedgeEnd::Won);
                }
                Err(end) => {
                    let own = own.await;
                    attempt.record_head(&own);
                    return (own.map(RunResponse::Own), end);
                }
            },
        };
        attempt.record_head(&first);
        let mut response = match first {
            Ok(response) => response,
            Err(failure) => return after_failure(failure, hedge.await),
        };
        // The head has come, but nothing is sent to the caller until one response is whole or can't
        // be kept.
        let reply = tokio::select! {
            biased;
            read = self.read_body(context, &mut response) => {
                return match read {
                    Ok(()) => (Ok(RunResponse::Own(response)), HedgeEnd::Lost),
                    Err(failure) => after_failure(failure, hedge.await),
                };
            }
            reply = &mut hedge => reply,
        };
        match usable_response(reply) {
            Ok(response) => (Ok(RunResponse::Hedge(response)), HedgeEnd::Won),
            Err(end) => (Ok(RunResponse::Own(response)), end),
        }
    }

    /// Reads the body of a response up to its end or the limit of a whole response. What has been
    /// read is kept if the future is dropped.
    async fn read_body(
        &self,
        context: &RequestContext,
        server_response: &mut ServerResponse,
    ) -> Result<(), RunFailure> {
        let mut len = 0;
        while len <= MAX_WHOLE_LEN {
            let frame = server_response.response.body_mut().frame();
            match self.run_until_deadline(context, frame).await {
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        len += data.len();
                        server_response.buffered.push(data);
                    }
                }
                Some(None) => {
                    server_response.is_whole = true;
                    return Ok(());
                }
                Some(Some(Err(error))) => {
                    debug!(%error, "response of the backend server ended early");
                    return Err(RunFailure::NoResponse(RequestOutcome::ConnectionReset));
                }
                None => return Err(RunFailure::NoResponse(RequestOutcome::TimedOut)),
            }
        }
        Ok(())
    }

    /// Returns the message that asks another agent to run the request.
    fn run_request(&self, context: &RequestContext) -> RunRequest {
        let request = self.server_request(context, empty_body());
        let remaining = context.deadline.remaining(self.now());
        RunRequest {
            service: context.service.to_string(),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            headers: encode_headers(request.headers()),
            timeout_ms: u32::try_from(remaining.0).unwrap_or(u32::MAX),
        }
    }
}

/// A request that may be hedged, and when it was sent to the own server.
struct HedgeAttempt<'a> {
    hedging: &'a Hedging,
    request: HedgeRequest,
    started: Millis,
}

impl HedgeAttempt<'_> {
    fn record_time(&self) {
        self.hedging.record_time(&self.request.route, self.started);
    }

    /// Records the response time of the own server. Failures say nothing about how long a response
    /// takes.
    fn record_head(&self, own: &OwnResult) {
        let Ok(own) = own else {
            return;
        };
        if self.request.is_eligible() && !own.response.status().is_server_error() {
            self.record_time();
        }
    }
}

fn hedge_request(context: &RequestContext) -> HedgeRequest {
    let request = &context.request;
    HedgeRequest {
        route: context.route.clone(),
        is_repeatable: is_idempotent(request.method()) && !may_have_body(request),
        is_keyed: request.headers().contains_key(KEY_HEADER),
        is_retry: false,
        deadline: context.deadline,
    }
}

/// Returns the response of a hedge that may win while the own server still runs the request, or how
/// the hedge ended.
fn usable_response(reply: HedgeReply) -> Result<Response<Bytes>, HedgeEnd> {
    match reply {
        HedgeReply::Whole(response) if !response.status().is_server_error() => Ok(response),
        HedgeReply::Whole(_) | HedgeReply::Failed => Err(HedgeEnd::Lost),
        HedgeReply::Refused => Err(HedgeEnd::Refused),
    }
}

/// Returns the result of a request to which the own server brought no whole response.
fn after_failure(failure: RunFailure, reply: HedgeReply) -> (RunResult, HedgeEnd) {
    match reply {
        HedgeReply::Whole(response) => (Ok(RunResponse::Hedge(response)), HedgeEnd::Won),
        HedgeReply::Failed => (Err(failure), HedgeEnd::Lost),
        HedgeReply::Refused => (Err(failure), HedgeEnd::Refused),
    }
}
