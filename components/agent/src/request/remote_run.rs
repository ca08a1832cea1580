//! Runs of requests for other agents.

use std::{
    cell::Cell,
    time::Duration, //
};

use carobdrum_core::{
    process::FULL_WARMUP_LEVEL,
    request::{
        RequestOutcome,
        RequestResult,
        RunOffer,
        RunRefusal, //
    },
    version::{
        PoolState,
        PriorityClass, //
    },
};
use carobdrum_wire::control::{
    RouteTime,
    RouteTimes,
    RunRequest, //
};
use http::{
    Method,
    Request,
    Version, //
};
use tokio::time::timeout;
use tracing::debug;

use super::{
    request_body::{
        empty_body,
        may_have_body, //
    },
    request_handler::{
        is_idempotent,
        KEY_HEADER, //
    },
    request_headers::insert_text,
    whole_response::{
        decode_headers,
        read_whole,
        HedgeReply, //
    },
    RequestHandler, //
};
use crate::{
    connection::ServerBody,
    process::RunEnd, //
};

/// Longest time that a request of another agent may run, in milliseconds.
const MAX_TIMEOUT_MS: u32 = 86_400_000;

/// Counts a run for as long as it exists.
struct RunCount<'a>(&'a Cell<usize>);

impl<'a> RunCount<'a> {
    fn new(count: &'a Cell<usize>) -> RunCount<'a> {
        count.set(count.get() + 1);
        RunCount(count)
    }
}

impl Drop for RunCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl RequestHandler {
    /// Runs a request of another agent if a slot of the server is free at once, and returns the
    /// whole response. The request is never hedged again. If the future is dropped, the server's
    /// connection is closed.
    pub(super) async fn run_for_agent(&self, run: RunRequest) -> HedgeReply {
        let timeout_ms = run.timeout_ms.min(MAX_TIMEOUT_MS);
        let running = timeout(
            Duration::from_millis(u64::from(timeout_ms)),
            self.run_if_free(&run),
        );
        let reply = match running.await {
            Ok(Ok(reply)) => reply,
            Ok(Err(refusal)) => {
                debug!(?refusal, path = %run.path, "request of another agent refused");
                HedgeReply::Refused
            }
            Err(_) => HedgeReply::Failed,
        };
        let end = match reply {
            HedgeReply::Whole(_) => RunEnd::Done,
            HedgeReply::Refused => RunEnd::Refused,
            HedgeReply::Failed => RunEnd::Failed,
        };
        self.parts.metrics.run_for_agent(end);
        debug!(?end, path = %run.path, "request of another agent");
        reply
    }

    /// Returns the response times of the own server, for other agents.
    pub(super) fn route_times(&self) -> RouteTimes {
        let percentiles = self.parts.hedging.as_ref().map(|hedging| {
            let mut policy = hedging.policy.borrow_mut();
            policy.percentiles(self.now())
        });
        let routes = percentiles.unwrap_or_default().into_iter();
        let routes = routes.map(|(route, percentile)| RouteTime {
            route: route.into(),
            percentile_ms: u32::try_from(percentile.0).unwrap_or(u32::MAX),
        });
        RouteTimes {
            routes: routes.collect(),
        }
    }

    async fn run_if_free(&self, run: &RunRequest) -> Result<HedgeReply, RunRefusal> {
        let hedging = self.parts.hedging.as_ref().ok_or(RunRefusal::NoSlot)?;
        let request = server_request(run).ok_or(RunRefusal::NotRepeatable)?;
        let class = self.offer_run(run, &request, hedging.running.get())?;
        let permit = self.parts.slots.start_if_free(class);
        let permit = permit.ok_or(RunRefusal::NoSlot)?;
        let _count = RunCount::new(&hedging.running);
        let started = self.now();
        let (reply, outcome) = self.run_on_server(request).await;
        let latency = self.now().since(started);
        permit.finish(RequestResult { latency, outcome });
        Ok(reply)
    }

    /// Decides whether a request may run here and returns its class.
    fn offer_run(
        &self,
        run: &RunRequest,
        request: &Request<ServerBody>,
        running: usize,
    ) -> Result<PriorityClass, RunRefusal> {
        let shared = &self.parts.shared;
        let state = self.parts.published.borrow();
        let config = state.config.as_deref().ok_or(RunRefusal::ForeignService)?;
        let service = config.service_name(shared.service());
        let path = request.uri().path();
        let route = service
            .filter(|service| *service == run.service)
            .and_then(|service| config.routes.route_of(service, &run.method, path));
        let pool = config.pools.pool_for_server(&self.parts.name);
        let is_pool_draining = pool.is_none_or(|pool| pool.state != PoolState::Active);
        let offer = RunOffer {
            is_own_service: route.is_some(),
            is_repeatable: is_idempotent(request.method()),
            is_warm: shared.warmup_level() == FULL_WARMUP_LEVEL,
            is_draining: shared.is_draining() || is_pool_draining,
            is_evacuated: shared.is_evacuated_in(&state),
            running,
        };
        offer.decide()?;
        route
            .map(|route| route.priority)
            .ok_or(RunRefusal::ForeignService)
    }

    async fn run_on_server(&self, request: Request<ServerBody>) -> (HedgeReply, RequestOutcome) {
        let mut sender = match self.parts.connector.open().await {
            Ok(sender) => sender,
            Err(error) => {
                debug!(%error, "no connection to the backend server");
                return (HedgeReply::Refused, RequestOutcome::ConnectionRefused);
            }
        };
        let Ok(response) = sender.send_request(request).await else {
            return (HedgeReply::Failed, RequestOutcome::ConnectionReset);
        };
        let outcome = if response.status().is_server_error() {
            RequestOutcome::ServerError
        } else {
            RequestOutcome::Success
        };
        match read_whole(response).await {
            Ok(whole) => (HedgeReply::Whole(whole), outcome),
            Err(outcome) => (HedgeReply::Failed, outcome),
        }
    }
}

/// Returns the request for the server, or `None` if it is malformed, may have a body or has an
/// idempotency key.
fn server_request(run: &RunRequest) -> Option<Request<ServerBody>> {
    let mut head = Request::new(());
    *head.method_mut() = Method::from_bytes(run.method.as_bytes()).ok()?;
    *head.uri_mut() = run.path.parse().ok()?;
    *head.headers_mut() = decode_headers(&run.headers)?;
    if may_have_body(&head) || head.headers().contains_key(KEY_HEADER) {
        return None;
    }
    let timeout_ms = compact_str::format_compact!("{}", run.timeout_ms);
    insert_text(head.headers_mut(), "request-timeout-ms", &timeout_ms);
    let (parts, ()) = head.into_parts();
    let mut request = Request::from_parts(parts, empty_body());
    *request.version_mut() = Version::HTTP_11;
    Some(request)
}
