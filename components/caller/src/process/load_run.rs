//! A bounded load.

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
        LoadReport,
    },
    request::{
        CallerError, //
        CallerResponse,
    },
};

/// Handshakes that run at a time.
const HANDSHAKES: usize = 64;
/// First wait before a request is repeated; doubled with each further repeat.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Longest wait before a request is repeated, also when the answer asks for a longer one.
const LAST_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time that the end of a run waits until the peers know of closed flows.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);
/// Label of a request for which no flow could be opened.
const NO_FLOW: &str = "no_flow";

/// A bounded load against one service.
pub struct LoadRun {
    settings: LoadBuilder,
    stop: LoadCanceller,
}

impl LoadRun {
    /// Starts the settings of a run against the service at `address`.
    ///
    /// `stream` returns `len` bytes at `offset` of the body that the server defines by a seed:
    /// `stream(seed, offset, len)`.
    pub fn builder(
        client: ClientBuilder,
        address: SocketAddr,
        stream: impl Fn(u64, u64, usize) -> Bytes + Send + Sync + 'static,
    ) -> LoadBuilder {
        LoadBuilder::new(client, address, stream)
    }

    /// Creates a run with checked settings.
    pub(super) fn new(settings: LoadBuilder) -> LoadRun {
        LoadRun {
            settings,
            stop: LoadCanceller::new(),
        }
    }

    /// Returns the signal that ends the run early.
    pub fn stop_signal(&self) -> LoadCanceller {
        self.stop.clone()
    }

    /// Sends the load and checks every answer.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Client`] if a local address can't be opened, and [`LoadError::Worker`]
    /// if a worker failed.
    pub async fn run(self) -> Result<LoadReport, LoadError> {
        let clients = self.open_clients()?;
        let limit = self.settings.requests.unwrap_or(u64::MAX);
        let rate = self.settings.rate;
        // The flows outlive the requests, so they have a stop signal of their own.
        let flows_stop = LoadCanceller::new();
        let pacer = LoadPacer::new(self.settings.duration, limit, rate, self.stop.clone());
        let context = Arc::new(SlotContext {
            address: self.settings.address,
            log: Arc::new(FlowLog::new(pacer.start())),
            handshakes: Semaphore::new(HANDSHAKES),
            stop: flows_stop.clone(),
        });
        let slots: Arc<[FlowSlot]> = (0..self.settings.flows).map(|_| FlowSlot::new()).collect();
        let keepers = keep_flows(&slots, &clients, &context);
        let shared = Arc::new(LoadWorker {
            pacer,
            plan: self.settings.plan(),
            slots,
            repeats: self.settings.repeats,
        });
        let tally = self.run_workers(&shared).await?;
        let lasted = shared.pacer.start().elapsed();
        let counts = context.log.counts();
        flows_stop.stop();
        keepers.join_all().await;
        for client in clients {
            client.wait_idle(CLOSE_LIMIT).await;
        }
        Ok(tally.report(lasted, counts))
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
            workers.spawn(shared.clone().work(rng));
        }
        let mut tally = LoadTally::new();
        while let Some(joined) = workers.join_next().await {
            tally.merge(&joined?);
        }
        Ok(tally)
    }
}

fn keep_flows(
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

/// What one attempt of a request came to.
enum AttemptEnd {
    /// The answer is correct.
    Correct(CallerResponse),
    /// The answer is complete and wrong.
    Wrong(CompactString),
    /// The request wasn't sent.
    NotSent { label: CompactString },
    /// The service refused the request without running it.
    Refused {
        label: CompactString,
        wait: Option<Duration>,
    },
    /// The request may have run.
    Unclear { label: CompactString },
    /// Repeating the request can't help.
    Final { label: CompactString },
}

/// What the workers of a run share.
struct LoadWorker {
    pacer: LoadPacer,
    plan: RequestPlan,
    slots: Arc<[FlowSlot]>,
    repeats: u32,
}

impl LoadWorker {
    /// Sends requests until the run ends.
    async fn work(self: Arc<LoadWorker>, mut rng: SmallRng) -> LoadTally {
        let mut tally = LoadTally::new();
        while let Some(due) = self.pacer.next().await {
            let planned = self.plan.draw(&mut rng);
            tally.requests += 1;
            self.complete(&planned, due, &mut rng, &mut tally).await;
        }
        tally
    }

    /// Attempts a request until it has an answer or may not be repeated.
    async fn complete(
        &self,
        planned: &PlannedRequest,
        due: Instant,
        rng: &mut SmallRng,
        tally: &mut LoadTally,
    ) {
        for repeat in 0..=self.repeats {
            let end = self.attempt(planned, rng).await;
            let is_last = repeat == self.repeats;
            let (label, wait) = match end {
                AttemptEnd::Correct(answer) => return self.note_answer(&answer, due, tally),
                AttemptEnd::Wrong(fault) => return tally.wrong(fault),
                AttemptEnd::Final { label } => return tally.failed(&label),
                AttemptEnd::Unclear { label } if !planned.request.is_idempotent() => {
                    tally.unknown += 1;
                    return tally.failed(&label);
                }
                AttemptEnd::Unclear { label } | AttemptEnd::NotSent { label } => (label, None),
                AttemptEnd::Refused { label, wait } => {
                    tally.refused += 1;
                    (label, wait)
                }
            };
            if is_last {
                return tally.failed(&label);
            }
            tally.repeats += 1;
            tokio::time::sleep(backoff(repeat, wait, rng)).await;
        }
    }

    async fn attempt(&self, planned: &PlannedRequest, rng: &mut SmallRng) -> AttemptEnd {
        let slot = &self.slots[rng.random_range(0..self.slots.len())];
        let Some(held) = slot.flow(planned.request.timeout).await else {
            return AttemptEnd::NotSent {
                label: NO_FLOW.into(),
            };
        };
        match held.flow.request(planned.request.clone()).await {
            Ok(answer) => self.judge(planned, &held, answer),
            Err(error) => end_of(&held, &error),
        }
    }

    fn judge(
        &self,
        planned: &PlannedRequest,
        held: &HeldFlow,
        answer: CallerResponse,
    ) -> AttemptEnd {
        if let Some(target) = answer.target() {
            held.answered_by(target);
        }
        let status = answer.status;
        let label = format_compact!("status_{}", status.as_u16());
        if answer.is_not_run() {
            let wait = retry_after(&answer);
            return AttemptEnd::Refused { label, wait };
        }
        if status.is_success() {
            return match self.plan.fault_of(planned, &answer) {
                Some(fault) => AttemptEnd::Wrong(fault),
                None => AttemptEnd::Correct(answer),
            };
        }
        if answer.is_unknown() || status.is_server_error() {
            return AttemptEnd::Unclear { label };
        }
        AttemptEnd::Final { label }
    }

    fn note_answer(&self, answer: &CallerResponse, due: Instant, tally: &mut LoadTally) {
        let second = self.pacer.start().elapsed().as_secs() as usize;
        tally.succeeded(due.elapsed(), second, answer.body.len());
        if let Some(target) = answer.target() {
            tally.answered_by(target);
        }
    }
}

/// Draws the consequences of an attempt without an answer.
fn end_of(held: &HeldFlow, error: &CallerError) -> AttemptEnd {
    match error {
        CallerError::GoingAway | CallerError::RequestRejected => held.retire(),
        CallerError::ConnectionLost { cause } => held.broke(cause),
        _ => {}
    }
    let label = error.label().into();
    match error {
        CallerError::RequestRejected => AttemptEnd::Refused { label, wait: None },
        other if other.is_not_run() => AttemptEnd::NotSent { label },
        _ => AttemptEnd::Unclear { label },
    }
}

/// Returns how long a refusal asks the caller to wait.
fn retry_after(answer: &CallerResponse) -> Option<Duration> {
    let value = answer.headers.get(RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Returns the wait before a repeat: what the answer asks for, or else an exponential one with
/// jitter.
fn backoff(repeat: u32, wait: Option<Duration>, rng: &mut SmallRng) -> Duration {
    let doubled = FIRST_BACKOFF.saturating_mul(1 << repeat.min(16));
    let jittered = doubled.mul_f64(rng.random_range(0.5..1.5));
    LAST_BACKOFF.min(wait.unwrap_or(jittered))
}
