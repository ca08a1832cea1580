//! A slot of a load run, in which one flow is kept open.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
        OnceLock,
        PoisonError, //
    },
    time::Duration,
};

use compact_str::CompactString;
use tokio::sync::{
    watch,
    Notify,
    Semaphore, //
};

use crate::{
    connection::{
        CallerClient,
        CallerFlow,
        CloseReason, //
    },
    process::{
        flow_log::FlowLog,
        load_builder::OwnerFn,
        LoadCanceller,
        LoadProgress, //
    },
};

/// Backoff after the first failed attempt to open a flow; doubled after each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest backoff between attempts to open a flow.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An open flow of a load run.
pub(crate) struct HeldFlow {
    pub(crate) flow: CallerFlow,
    log: Arc<FlowLog>,
    progress: LoadProgress,
    retired: Notify,
    is_retired: AtomicBool,
    is_break_recorded: AtomicBool,
    target: Mutex<CompactString>,
    local_port: u16,
    find_owner: OwnerFn,
    owner: OnceLock<CompactString>,
}

impl HeldFlow {
    /// Tells the slot to open another flow for further requests.
    pub(crate) fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
        self.retired.notify_one();
    }

    fn is_usable(&self) -> bool {
        !self.is_retired.load(Ordering::Relaxed)
    }

    /// Records the backend server that sent the latest response.
    pub(crate) fn record_target(&self, target: &str) {
        let mut last = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_empty() && !target.is_empty() {
            self.progress.add_answered_flow();
        }
        if *last != target {
            *last = target.into();
        }
    }

    /// Records that the flow ended unexpectedly; calls after the first have no effect.
    pub(crate) fn record_break(&self, cause: &CloseReason) {
        if *cause == CloseReason::ClosedLocally
            || self.is_break_recorded.swap(true, Ordering::Relaxed)
        {
            return;
        }
        let target = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let server = match target.as_str() {
            "" => self.owner(),
            _ => &target,
        };
        self.log.record_break(cause, server.clone());
    }

    /// Returns the server that owned the flow at the first call, which must come before another flow
    /// is opened on the local port.
    fn owner(&self) -> &CompactString {
        self.owner
            .get_or_init(|| (self.find_owner)(self.local_port))
    }
}

impl Drop for HeldFlow {
    fn drop(&mut self) {
        let target = self.target.get_mut();
        if !target.unwrap_or_else(PoisonError::into_inner).is_empty() {
            self.progress.remove_answered_flow();
        }
    }
}

/// State that all slots of a run share.
pub(crate) struct SlotContext {
    /// Address of the service.
    pub(crate) address: SocketAddr,
    /// Counts of opened and broken flows.
    pub(crate) log: Arc<FlowLog>,
    /// Progress of the run.
    pub(crate) progress: LoadProgress,
    /// Limits the handshakes that run concurrently.
    pub(crate) handshakes: Semaphore,
    /// Signals the end of the run.
    pub(crate) canceller: LoadCanceller,
    /// Finds the server of a flow by its local port.
    pub(crate) owner: OwnerFn,
}

/// Keeps one flow open during a run.
pub(crate) struct FlowSlot {
    state: watch::Sender<Option<Arc<HeldFlow>>>,
}

impl FlowSlot {
    /// Creates an empty slot.
    pub(crate) fn new() -> FlowSlot {
        FlowSlot {
            state: watch::Sender::new(None),
        }
    }

    /// Returns the open flow; waits for it no longer than `limit`.
    ///
    /// A retired flow isn't returned, although it stays in its slot for a moment: a rejected
    /// request would use up its retries on it.
    pub(crate) async fn flow(&self, limit: Duration) -> Option<Arc<HeldFlow>> {
        let mut receiver = self.state.subscribe();
        let waiting = receiver.wait_for(|held| held.as_ref().is_some_and(|held| held.is_usable()));
        let state = tokio::time::timeout(limit, waiting).await.ok()?.ok()?;
        state.clone()
    }

    /// Keeps a flow open, replacing it when it ends, until the run ends.
    pub(crate) async fn keep_open(&self, client: CallerClient, context: Arc<SlotContext>) {
        let mut backoff = INITIAL_BACKOFF;
        while !context.canceller.is_stopped() {
            match connect(&client, &context).await {
                Some(held) => {
                    backoff = INITIAL_BACKOFF;
                    self.hold(held, &context).await;
                }
                None => {
                    sleep_unless_stopped(backoff, &context.canceller).await;
                    backoff = MAX_BACKOFF.min(backoff * 2);
                }
            }
        }
    }

    /// Makes a flow available to the workers until it ends, is retired or the run ends.
    async fn hold(&self, held: Arc<HeldFlow>, context: &SlotContext) {
        self.state.send_replace(Some(held.clone()));
        tokio::select! {
            cause = held.flow.closed() => {
                // After a GOAWAY, a server may close a flow without requests in progress. A request
                // that is interrupted records the break itself.
                if !cause.is_graceful() {
                    held.record_break(&cause);
                }
            }
            () = held.retired.notified() => {}
            () = context.canceller.wait() => {}
        }
        // A request in progress may record the break later.
        held.owner();
        self.state.send_replace(None);
    }
}

async fn connect(client: &CallerClient, context: &SlotContext) -> Option<Arc<HeldFlow>> {
    let permit = context.handshakes.acquire().await;
    let opened = client.connect(context.address).await;
    drop(permit);
    match opened {
        Ok(flow) => {
            context.log.record_open();
            Some(Arc::new(HeldFlow {
                flow,
                log: context.log.clone(),
                progress: context.progress.clone(),
                retired: Notify::new(),
                is_retired: AtomicBool::new(false),
                is_break_recorded: AtomicBool::new(false),
                target: Mutex::default(),
                local_port: client.local_port(),
                find_owner: context.owner.clone(),
                owner: OnceLock::new(),
            }))
        }
        Err(error) => {
            context.log.record_connect_failure(error.label());
            None
        }
    }
}

async fn sleep_unless_stopped(backoff: Duration, canceller: &LoadCanceller) {
    tokio::select! {
        () = tokio::time::sleep(backoff) => {}
        () = canceller.wait() => {}
    }
}
