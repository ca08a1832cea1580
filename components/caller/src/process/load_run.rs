//! Sending a bounded load.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use http::header::RETRY_AFTER;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::Instant, //
};

use crate::{
    connection::{
        CallerClient,
        ClientBuilder, //
    },
    process::{
        flow_log::FlowLog,
        flow_slot::{
            FlowSlot,
            HeldFlow,
            SlotContext, //
        },
        load_pacer::LoadPacer,
        load_tally::LoadTally,
        request_plan::{
            PlannedRequest,
            RequestPlan, //
        },
        LoadBuilder,
        LoadCanceller, //
        LoadError,
        LoadProgress,
        LoadReport,
    },
    request::{
        CallerError, //
        CallerResponse,
    },
};

/// Most handshakes that run concurrently.
const MAX_CONCURRENT_HANDSHAKES: usize = 64;
/// Backoff before the first retry of a request; doubled with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff before a retry, even if the response's `retry-after` is longer.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time for which the end of a run waits until the peers are notified of closed flows.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Label of a request for which no flow could be opened.
const NO_FLOW_LABEL: &str = "no_flow";

/// A load against one service, with limits on its size and duration.
pub struct LoadRun {
    settings: LoadBuilder,
    canceller: LoadCanceller,
    progress: LoadProgress,
}

impl LoadRun {
    /// Returns a builder of a run against the service at `address`.
    ///
    /// `stream(seed, offset, len)` returns `len` bytes at `offset` of the body that the server
    /// generates from `seed`.
    pub fn builder(
        client: ClientBuilder,
        address: SocketAddr,
        stream: impl Fn(u64, u64, usize) -> Bytes + Send + Sync + 'static,
    ) -> LoadBuilder {
        LoadBuilder::new(client, address, stream)
    }

    /// Creates a run from validated settings.
    pub(super) fn new(settings: LoadBuilder) -> LoadRun {
        LoadRun {
            settings,
            canceller: LoadCanceller::new(),
            progress: LoadProgress::new(),
        }
    }

    /// Returns the signal with which the run can be ended early.
    pub fn stop_signal(&self) -> LoadCanceller {
        self.canceller.clone()
    }

    /// Returns the progress of the run, which can be read while it runs.
    pub fn progress(&self) -> LoadProgress {
        self.progress.clone()
    }

    /// Sends the load and verifies every response.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Client`] if a client can't be built, and [`LoadError::Worker`] if a
    /// worker task panicked.
    pub async fn run(self) -> Result<LoadReport, LoadError> {
        let clients = self.open_clients()?;
        let limit = self.settings.requests.unwrap_or(u64::MAX);
        let rate = self.settings.rate;
        // The flows outlive the requests, so they have their own stop signal.
        let flows_canceller = LoadCanceller::new();
        let pacer = LoadPacer::new(self.settings.duration, limit, rate, self.canceller.clone());
        let context = Arc::new(SlotContext {
            address: self.settings.address,
            log: Arc::new(FlowLog::new(pacer.start())),
            progress: self.progress.clone(),
            handshakes: Semaphore::new(MAX_CONCURRENT_HANDSHAKES),
            canceller: flows_canceller.clone(),
            owner: self.settings.owner.clone(),
        });
        let slots: Arc<[FlowSlot]> = (0..self.settings.flows).map(|_| FlowSlot::new()).collect();
        let keepers = spawn_keepers(&slots, &clients, &context);
        let shared = Arc::new(LoadWorker {
            pacer,
            plan: self.settings.plan(),
            slots,
            repeats: self.settings.repeats,
            progress: self.progress.clone(),
        });
        let tally = self.run_workers(&shared).await?;
        let elapsed = shared.pacer.start().elapsed();
        let counts = context.log.counts();
        flows_canceller.stop();
        keepers.join_all().await;
        for client in clients {
            client.wait_idle(CLOSE_TIMEOUT).await;
        }
        Ok(tally.report(elapsed, counts))
    }

    fn open_clients(&self) -> Result<Vec<CallerClient>, LoadError> {
        let count = self.settings.sockets.min(self.settings.flows);
        let mut clients = Vec::with_capacity(count);
        for _ in 0..count {
            clients.push(self.settings.client.build()?);
        }
        Ok(clients)
    }

    async fn run_workers(&self, shared: &Arc<LoadWorker>) -> Result<LoadTally, LoadError> {
        let mut seeds = SmallRng::seed_from_u64(self.settings.seed);
        let mut workers = JoinSet::new();
        for _ in 0..self.settings.max_concurrent {
            let rng = SmallRng::from_rng(&mut seeds);
            workers.spawn(shared.clone().send_requests(rng));
        }
        let mut tally = LoadTally::new();
        while let Some(joined) = workers.join_next().await {
            tally.merge(&joined?);
        }
        Ok(tally)
    }
}

fn spawn_keepers(
    slots: &Arc<[FlowSlot]>,
    clients: &[CallerClient],
    context: &Arc<SlotContext>,
) -> JoinSet<()> {
    let mut keepers = JoinSet::new();
    for index in 0..slots.len() {
        let slots = slots.clone();
        let client = clients[index % clients.len()].clone();
        let context = context.clone();
        keepers.spawn(async move { slots[index].keep_open(client, context).await });
    }
    keepers
}

/// Outcome of one attempt of a request.
enum AttemptOutcome {
    /// The response is correct.
    Correct(CallerResponse),
    /// The response is complete, but its body differs from the expected one.
    Wrong(CompactString),
    /// The request wasn't sent.
    NotSent { label: CompactString },
    /// The service refused the request without running it.
    Refused {
        label: CompactString,
        retry_delay: Option<Duration>,
    },
    /// The request may have run.
    Unknown { label: CompactString },
    /// A retry would give the same result.
    Permanent { label: CompactString },
}

/// State that all workers of a run share.
struct LoadWorker {
    pacer: LoadPacer,
    plan: RequestPlan,
    slots: Arc<[FlowSlot]>,
    repeats: u32,
    progress: LoadProgress,
}

impl LoadWorker {
    /// Sends requests until the run ends.
    async fn send_requests(self: Arc<LoadWorker>, mut rng: SmallRng) -> LoadTally {
        let mut tally = LoadTally::new();
        while let Some(due) = self.pacer.next().await {
            let planned = self.plan.draw(&mut rng);
            tally.requests += 1;
            self.run_request(&planned, due, &mut rng, &mut tally).await;
        }
        tally
    }

    /// Attempts a request until it has a response or may not be retried.
    async fn run_request(
        &self,
        planned: &PlannedRequest,
        due: Instant,
        rng: &mut SmallRng,
        tally: &mut LoadTally,
    ) {
        for repeat in 0..=self.repeats {
            let outcome = self.attempt(planned, rng).await;
            let is_last = repeat == self.repeats;
            let (label, retry_delay) = match outcome {
                AttemptOutcome::Correct(response) => {
                    tally.recorded += u64::from(planned.is_recorded());
                    return self.record_success(&response, due, tally);
                }
                AttemptOutcome::Wrong(mismatch) => return tally.record_mismatch(mismatch),
                AttemptOutcome::Permanent { label } => return tally.record_failure(&label),
                AttemptOutcome::Unknown { label } if !planned.request.is_idempotent() => {
                    tally.unknown += 1;
                    return tally.record_failure(&label);
                }
                AttemptOutcome::Unknown { label } | AttemptOutcome::NotSent { label } => {
                    (label, None)
                }
                AttemptOutcome::Refused { label, retry_delay } => {
                    tally.refused += 1;
                    (label, retry_delay)
                }
            };
            if is_last {
                return tally.record_failure(&label);
            }
            tally.repeats += 1;
            tokio::time::sleep(backoff(repeat, retry_delay, rng)).await;
        }
    }

    async fn attempt(&self, planned: &PlannedRequest, rng: &mut SmallRng) -> AttemptOutcome {
        let slot = &self.slots[rng.random_range(0..self.slots.len())];
        let Some(held) = slot.flow(planned.request.timeout).await else {
            return AttemptOutcome::NotSent {
                label: NO_FLOW_LABEL.into(),
            };
        };
        match held.flow.request(planned.request.clone()).await {
            Ok(response) => self.classify(planned, &held, response),
            Err(error) => error_outcome(&held, &error),
        }
    }

    fn classify(
        &self,
        planned: &PlannedRequest,
        held: &HeldFlow,
        response: CallerResponse,
    ) -> AttemptOutcome {
        if let Some(target) = response.target() {
            held.record_target(target);
        }
        let status = response.status;
        let label = format_compact!("status_{}", status.as_u16());
        if response.is_not_run() {
            let retry_delay = retry_after(&response);
            return AttemptOutcome::Refused { label, retry_delay };
        }
        if status.is_success() {
            return match self.plan.find_mismatch(planned, &response) {
                Some(mismatch) => AttemptOutcome::Wrong(mismatch),
                None => AttemptOutcome::Correct(response),
            };
        }
        if response.is_unknown() || status.is_server_error() {
            return AttemptOutcome::Unknown { label };
        }
        AttemptOutcome::Permanent { label }
    }

    fn record_success(&self, response: &CallerResponse, due: Instant, tally: &mut LoadTally) {
        let second = self.pacer.start().elapsed().as_secs() as usize;
        self.progress.add_success();
        tally.record_success(due.elapsed(), second, response.body.len());
        if let Some(target) = response.target() {
            tally.record_target(target);
        }
    }
}

/// Returns the outcome of an attempt that failed with `error`.
///
/// Retires a flow that accepts no more requests, and records a lost one as broken.
fn error_outcome(held: &HeldFlow, error: &CallerError) -> AttemptOutcome {
    match error {
        CallerError::GoingAway | CallerError::RequestRejected => held.retire(),
        CallerError::ConnectionLost { cause } => held.record_break(cause),
        _ => {}
    }
    let label = error.label().into();
    match error {
        CallerError::RequestRejected => AttemptOutcome::Refused {
            label,
            retry_delay: None,
        },
        other if other.is_not_run() => AttemptOutcome::NotSent { label },
        _ => AttemptOutcome::Unknown { label },
    }
}

/// Returns the delay in the `retry-after` header of a refusal, if it is given in seconds.
fn retry_after(response: &CallerResponse) -> Option<Duration> {
    let value = response.headers.get(RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Returns the delay before a retry: `retry_delay` if the response asked for one, otherwise an
/// exponential backoff with jitter.
fn backoff(repeat: u32, retry_delay: Option<Duration>, rng: &mut SmallRng) -> Duration {
    let doubled = INITIAL_BACKOFF.saturating_mul(1 << repeat.min(16));
    let jittered = doubled.mul_f64(rng.random_range(0.5..1.5));
    MAX_BACKOFF.min(retry_delay.unwrap_or(jittered))
}
