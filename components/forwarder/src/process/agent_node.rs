//! Agent daemon.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::ResendLimits,
    process::{
        AgentRecord,
        BackendHeartbeat,
        Deregistration,
        HeartbeatOutcome, //
    },
    TrackerSettings, //
};
use carobdrum_platform::{
    NodeRequest, //
    RequestError,
};
use carobdrum_settings::{
    BackendSettings,
    FlowSettings, //
};
use compact_str::CompactString;
use http::StatusCode;
use ractor::ActorRef;
use snafu::{
    OptionExt,
    ResultExt, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::timeout,
};
use tokio_util::sync::CancellationToken;
use tracing::{
    debug,
    info,
    warn, //
};

use super::{
    boot_clock::BootClock,
    deregistration_task::DeregistrationTask,
    flow_saving::{
        save_flows,
        FlowSavingArguments, //
    },
    http_port::serve_requests,
    lease_actor::{
        spawn_lease,
        LeaseArguments,
        LeaseMessage, //
    },
    node_context::{
        flow_lifetime,
        run_control,
        spawn_traffic,
        NodeContext, //
    },
    node_error::{
        ActorSnafu,
        NoBackendSnafu,
        TrafficEndedSnafu, //
    },
    server_silence::{
        report_server_end,
        watch_silence, //
    },
    settings_file::SettingsFile,
    tick_history::TickHistory,
    NodeError, //
};
use crate::connection::{
    AgentTraffic,
    AgentUpdate,
    BackendOutcome, //
};

/// Capacity of the queue of updates for the traffic thread.
const UPDATE_QUEUE: usize = 64;

/// Time by which the activity timeout of a backend server ends before its address may be reused, to
/// allow for differences between clocks and for delays.
const REUSE_MARGIN: Millis = Millis(100);

/// Part of the grace period that isn't spent on waiting for open flows, but left for the rest of
/// the shutdown.
const GRACE_MARGIN: Duration = Duration::from_millis(1_000);

/// Time limit for ending the lease during a graceful shutdown.
const LEASE_END_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs an agent until the process gets a termination signal.
///
/// # Errors
///
/// Returns [`NodeError`] if the settings name no backend server, if a socket can't be bound, if a
/// signal handler, thread, actor or metrics server can't be started, or if the traffic thread ends
/// early.
pub fn run_agent(settings: SettingsFile) -> Result<(), NodeError> {
    run_control(control(settings))
}

async fn control(mut file: SettingsFile) -> Result<(), NodeError> {
    let settings = file.current().clone();
    let node = &settings.node;
    let backend = settings.backend.as_ref().context(NoBackendSnafu)?;
    info!(
        name = %node.name,
        centre = %node.data_centre,
        service = %backend.service,
        "agent starting"
    );
    let mut context = NodeContext::start(node).await?;
    let (updates, receiver) = mpsc::channel(UPDATE_QUEUE);
    let tracker = tracker_settings(&settings, backend);
    let limits = resend_limits(&settings);
    let (server, outgoing) = (backend.address, backend.outgoing);
    let (revision_sender, metrics) = (context.revision_sender.clone(), context.metrics.clone());
    let in_force = context.in_force.clone();
    spawn_traffic(
        move || AgentTraffic::open(tracker, limits, server, outgoing, revision_sender, metrics),
        move |traffic| traffic.run(receiver, in_force),
    )
    .await?;
    let record = AgentRecord {
        address: node.packets,
        centre: node.data_centre.clone(),
        service: backend.service.clone(),
        is_leaving: false,
    };
    let is_ending = CancellationToken::new();
    let arguments = LeaseArguments {
        store: settings.store.address,
        min_lease: Duration::from_millis(settings.store.min_lease_ms),
        registers: settings.flows.reset_lost,
        is_ending: is_ending.clone(),
    };
    let lease = spawn_lease(arguments).await.context(ActorSnafu)?;
    let writer = EntryWriter {
        lease: lease.clone(),
        record: Rc::new(RefCell::new(record)),
        is_written: Rc::default(),
    };
    serve_readiness(node.ready).await?;
    let requests = BackendRequests {
        updates: updates.clone(),
        writer: writer.clone(),
        ticks: TickHistory::start(),
    };
    serve_backend(backend.heartbeats, requests).await?;
    context.follow_balancers(&settings);
    if settings.flows.reset_lost {
        let metrics = context.metrics.clone();
        tokio::task::spawn_local(watch_silence(server, updates.clone(), metrics));
    }
    if settings.flows.save_flows_s > 0 {
        tokio::task::spawn_local(save_flows(FlowSavingArguments {
            store: settings.store.address,
            agent: node.packets,
            interval: Millis(u64::from(settings.flows.save_flows_s) * 1_000),
            flow_lifetime: flow_lifetime(node),
            updates: updates.clone(),
            metrics: context.metrics.clone(),
        }));
    }
    loop {
        tokio::select! {
            _ = context.stop.recv() => break,
            () = updates.closed() => return TrafficEndedSnafu.fail(),
            changed = file.changed(&mut context.reload) => {
                let mut changed = changed;
                // Registration and the answers to queries belong together.
                changed.flows.reset_lost = settings.flows.reset_lost;
                apply_settings(&changed, &updates).await;
            }
        }
    }
    let signalled = BootClock.now();
    let is_leaving = writer.record.borrow().is_leaving;
    info!(is_leaving, "agent shutting down");
    let (answer, flows_ended) = oneshot::channel();
    let handover = updates.clone();
    if updates.send(AgentUpdate::Stop(answer)).await.is_ok() {
        let grace = Duration::from_secs_f64(settings.node.grace_s).saturating_sub(GRACE_MARGIN);
        if is_leaving {
            tokio::task::spawn_local(report_server_end(server, updates));
        }
        let ended = timeout(grace, flows_ended).await.is_ok();
        info!(ended, "wait for open flows is over");
    }
    if settings.flows.reset_lost {
        let grace = Millis((settings.node.grace_s * 1_000.0) as u64);
        let task = DeregistrationTask {
            schedule: Deregistration::new(signalled, grace),
            lease: lease.clone(),
            is_ending,
            record: writer.record.clone(),
            server,
            updates: handover,
            metrics: context.metrics.clone(),
        };
        task.run().await;
    }
    // Without a response of the store, the entry expires with its lease.
    if lease
        .stop_and_wait(None, Some(LEASE_END_TIMEOUT))
        .await
        .is_err()
    {
        info!("lease not ended; it will expire");
    }
    info!("agent stopped");
    Ok(())
}

/// Sends changed settings to the traffic thread.
async fn apply_settings(settings: &FlowSettings, updates: &mpsc::Sender<AgentUpdate>) {
    let Some(backend) = &settings.backend else {
        warn!("changed settings ignored: they name no backend server");
        return;
    };
    let tracker = tracker_settings(settings, backend);
    let update = AgentUpdate::Settings(tracker, resend_limits(settings));
    if updates.send(update).await.is_err() {
        warn!("changed settings not applied: the traffic thread has ended");
    }
}

fn tracker_settings(settings: &FlowSettings, backend: &BackendSettings) -> TrackerSettings {
    let reuse = Millis((backend.reuse_s * 1_000.0) as u64);
    TrackerSettings {
        address: settings.node.packets,
        server: backend.address,
        centre: settings.node.data_centre.clone(),
        service: backend.service.clone(),
        activity_timeout: reuse.since(REUSE_MARGIN),
        cold_factor: backend.cold_factor,
        cold_slack: backend.cold_slack,
        flow_lifetime: flow_lifetime(&settings.node),
        reset_lost: settings.flows.reset_lost,
        schedule_requests: settings.flows.schedule_requests,
    }
}

fn resend_limits(settings: &FlowSettings) -> ResendLimits {
    ResendLimits {
        percent: settings.flows.resend_percent,
        min_delay: Millis(u64::from(settings.flows.resend_min_delay_ms)),
    }
}

async fn serve_readiness(address: SocketAddrV4) -> Result<(), NodeError> {
    serve_requests(address, |request| async move {
        match request {
            Ok(NodeRequest::Ready) => StatusCode::OK,
            _ => StatusCode::NOT_FOUND,
        }
    })
    .await
}

/// Writes the agent's store entry: once the server has sent a heartbeat, and whenever it names
/// another service or begins or ends to leave.
///
/// Until the first heartbeat, the entry of an earlier process remains, which may show that the server
/// is leaving.
#[derive(Clone)]
struct EntryWriter {
    lease: ActorRef<LeaseMessage>,
    record: Rc<RefCell<AgentRecord>>,
    is_written: Rc<Cell<bool>>,
}

impl EntryWriter {
    /// Writes the entry if it has changed. `service` is `None` if it remains.
    fn update(&self, service: Option<CompactString>, is_leaving: bool) {
        let mut record = self.record.borrow_mut();
        let service = service.unwrap_or_else(|| record.service.clone());
        let is_same = record.service == service && record.is_leaving == is_leaving;
        if is_same && self.is_written.get() {
            return;
        }
        info!(before = %record.service, after = %service, is_leaving, "store entry changes");
        record.service = service;
        record.is_leaving = is_leaving;
        self.is_written.set(true);
        let message = LeaseMessage::Write(record.clone());
        if self.lease.send_message(message).is_err() {
            warn!("store entry not written: the lease actor has ended");
        }
    }
}

/// Handler of the requests of the backend server.
#[derive(Clone)]
struct BackendRequests {
    updates: mpsc::Sender<AgentUpdate>,
    writer: EntryWriter,
    ticks: TickHistory,
}

async fn serve_backend(address: SocketAddrV4, requests: BackendRequests) -> Result<(), NodeError> {
    serve_requests(address, move |request| {
        let requests = requests.clone();
        async move { requests.handle(request).await }
    })
    .await
}

impl BackendRequests {
    async fn handle(self, request: Result<NodeRequest, RequestError>) -> StatusCode {
        match request {
            Ok(NodeRequest::Heartbeat(heartbeat)) => self.handle_heartbeat(heartbeat).await,
            Ok(NodeRequest::Deregister(id)) => self.handle_deregistration(id).await,
            Ok(NodeRequest::Ready) => StatusCode::OK,
            Ok(NodeRequest::Unknown) => StatusCode::NOT_FOUND,
            Err(error) => {
                warn!(%error, "malformed request of a backend server");
                StatusCode::BAD_REQUEST
            }
        }
    }

    async fn handle_deregistration(self, id: CompactString) -> StatusCode {
        let (answer, outcome) = oneshot::channel();
        let update = AgentUpdate::Deregister(id.clone(), answer);
        let Some(reply) = send_update(self.updates, update, outcome).await else {
            return StatusCode::SERVICE_UNAVAILABLE;
        };
        info!(%id, outcome = ?reply.outcome, "backend server deregisters");
        if reply.outcome.is_applied() {
            self.writer.update(None, reply.is_leaving);
        }
        StatusCode::OK
    }

    /// Applies a heartbeat. One of a contested run is acknowledged although it isn't applied: no new
    /// flow is accepted then, which is what a server that is shutting down asks for.
    async fn handle_heartbeat(self, heartbeat: BackendHeartbeat) -> StatusCode {
        let sent = self.ticks.earliest_arrival();
        debug!(beat = ?heartbeat, ?sent, "heartbeat");
        let (id, service) = (heartbeat.id.clone(), heartbeat.service.clone());
        let (started_ms, sequence) = (heartbeat.started_ms, heartbeat.sequence);
        let (answer, outcome) = oneshot::channel();
        let update = AgentUpdate::Heartbeat(heartbeat, sent, answer);
        let Some(reply) = send_update(self.updates, update, outcome).await else {
            return StatusCode::SERVICE_UNAVAILABLE;
        };
        let outcome = reply.outcome;
        if outcome != HeartbeatOutcome::Continued {
            info!(%id, started_ms, sequence, ?outcome, "heartbeat of a run that isn't the known one");
        }
        if outcome == HeartbeatOutcome::Foreign {
            return StatusCode::MISDIRECTED_REQUEST;
        }
        if outcome.is_applied() {
            self.writer.update(Some(service), reply.is_leaving);
        }
        StatusCode::OK
    }
}

/// Sends an update to the traffic thread, and returns its outcome; `None` if the thread has ended.
async fn send_update(
    updates: mpsc::Sender<AgentUpdate>,
    update: AgentUpdate,
    outcome: oneshot::Receiver<BackendOutcome>,
) -> Option<BackendOutcome> {
    updates.send(update).await.ok()?;
    outcome.await.ok()
}
