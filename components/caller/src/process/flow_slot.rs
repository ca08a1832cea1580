//! A place of a run in which one flow is kept open.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
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
        LoadCanceller, //
    },
};

/// First wait after a failed attempt to open a flow; doubled with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait between attempts to open a flow.
const LAST_BACKOFF: Duration = Duration::from_secs(1);

/// An open flow of a run.
pub(crate) struct HeldFlow {
    /// The flow.
    pub(crate) flow: CallerFlow,
    log: Arc<FlowLog>,
    retired: Notify,
    is_retired: AtomicBool,
    is_broken: AtomicBool,
    target: Mutex<CompactString>,
}

impl HeldFlow {
    /// Lets the slot open another flow for further requests.
    pub(crate) fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
        self.retired.notify_one();
    }

    fn is_usable(&self) -> bool {
        !self.is_retired.load(Ordering::Relaxed)
    }

    /// Notes the backend server that gave the last answer.
    pub(crate) fn answered_by(&self, target: &str) {
        let mut last = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        if *last != target {
            *last = target.into();
        }
    }

    /// Notes that the flow ended although nobody asked for it; only the first call counts.
    pub(crate) fn broke(&self, cause: &CloseReason) {
        if *cause == CloseReason::ClosedLocally || self.is_broken.swap(true, Ordering::Relaxed) {
            return;
        }
        let target = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        self.log.broken(cause, target.clone());
    }
}

/// What every slot of a run shares.
pub(crate) struct SlotContext {
    /// Address of the service.
    pub(crate) address: SocketAddr,
    /// Where opened and broken flows are noted.
    pub(crate) log: Arc<FlowLog>,
    /// Handshakes that may run at a time.
    pub(crate) handshakes: Semaphore,
    /// End of the run.
    pub(crate) stop: LoadCanceller,
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

    /// Returns the open flow, waiting for it up to `limit`.
    ///
    /// A retired flow stays in its slot for a moment; a request that it refused must not use up its
    /// repeats on it.
    pub(crate) async fn flow(&self, limit: Duration) -> Option<Arc<HeldFlow>> {
        let mut receiver = self.state.subscribe();
        let waiting = receiver.wait_for(|held| held.as_ref().is_some_and(|held| held.is_usable()));
        let state = tokio::time::timeout(limit, waiting).await.ok()?.ok()?;
        state.clone()
    }

    /// Opens flows, one after the other, until the run ends.
    pub(crate) async fn keep_open(&self, client: CallerClient, context: Arc<SlotContext>) {
        let mut backoff = FIRST_BACKOFF;
        while !context.stop.is_stopped() {
            match connect(&client, &context).await {
                Some(held) => {
                    backoff = FIRST_BACKOFF;
                    self.hold(held, &context).await;
                }
                None => {
                    pause(backoff, &context.stop).await;
                    backoff = LAST_BACKOFF.min(backoff * 2);
                }
            }
        }
    }

    /// Offers a flow to the workers until it ends, is retired or the run ends.
    async fn hold(&self, held: Arc<HeldFlow>, context: &SlotContext) {
        self.state.send_replace(Some(held.clone()));
        tokio::select! {
            cause = held.flow.closed() => {
                // A server that has announced its end may close a flow on which nothing is under
                // way; a request that is cut reports the flow itself.
                if !cause.is_graceful() {
                    held.broke(&cause);
                }
            }
            () = held.retired.notified() => {}
            () = context.stop.wait() => {}
        }
        self.state.send_replace(None);
    }
}

async fn connect(client: &CallerClient, context: &SlotContext) -> Option<Arc<HeldFlow>> {
    let permit = context.handshakes.acquire().await;
    let opened = client.connect(context.address).await;
    drop(permit);
    match opened {
        Ok(flow) => {
            context.log.opened();
            Some(Arc::new(HeldFlow {
                flow,
                log: context.log.clone(),
                retired: Notify::new(),
                is_retired: AtomicBool::new(false),
                is_broken: AtomicBool::new(false),
                target: Mutex::default(),
            }))
        }
        Err(error) => {
            context.log.connect_failed(error.label());
            None
        }
    }
}

async fn pause(backoff: Duration, stop: &LoadCanceller) {
    tokio::select! {
        () = tokio::time::sleep(backoff) => {}
        () = stop.wait() => {}
    }
}
