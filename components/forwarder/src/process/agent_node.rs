//! Agent daemon.

use std::{
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_core::Millis;
use carobdrum_flows::process::{
    AgentRecord,
    Deregistration, //
};
use carobdrum_platform::NodeRequest;
use http::StatusCode;
use ractor::ActorRef;
use snafu::{
    OptionExt,
    ResultExt, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::timeout,
};
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::{
    agent_settings::{
        resend_limits,
        tracker_settings,
        AgentSettings, //
    },
    backend_requests::{
        serve_backend,
        BackendRequests, //
    },
    boot_clock::BootClock,
    deregistration_task::DeregistrationTask,
    entry_writer::EntryWriter,
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
    AgentUpdate, //
};

/// Capacity of the queue of updates for the traffic thread.
const UPDATE_QUEUE: usize = 64;

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

async fn control(file: SettingsFile) -> Result<(), NodeError> {
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
    let (peers, metrics) = (context.peers.clone(), context.metrics.clone());
    let in_force = context.in_force.clone();
    spawn_traffic(
        move || AgentTraffic::open(tracker, limits, server, outgoing, peers, metrics),
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
        store: context.store(&settings),
        min_lease: Duration::from_millis(settings.store.min_lease_ms),
        registers: settings.flows.reset_lost,
        is_ending: is_ending.clone(),
    };
    let lease = spawn_lease(arguments).await.context(ActorSnafu)?;
    tokio::task::spawn_local(follow_era(context.era.subscribe(), lease.clone()));
    let writer = EntryWriter::new(lease.clone(), record);
    let agent_settings = Rc::new(AgentSettings::new(file, updates.clone()));
    serve_readiness(node.ready).await?;
    let requests = BackendRequests {
        updates: updates.clone(),
        writer: writer.clone(),
        ticks: TickHistory::start(),
        settings: agent_settings.clone(),
    };
    serve_backend(backend.heartbeats, requests).await?;
    context.follow_balancers(&settings);
    if settings.flows.reset_lost {
        let metrics = context.metrics.clone();
        tokio::task::spawn_local(watch_silence(server, updates.clone(), metrics));
    }
    if settings.flows.save_flows_s > 0 {
        tokio::task::spawn_local(save_flows(FlowSavingArguments {
            store: context.store(&settings),
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
            () = agent_settings.follow(&mut context.reload) => {}
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

/// Tells the lease actor of each later era of the store, which peers may show sooner than the store does.
async fn follow_era(mut era: watch::Receiver<u32>, lease: ActorRef<LeaseMessage>) {
    while era.changed().await.is_ok() {
        if lease.send_message(LeaseMessage::EraRisen).is_err() {
            return;
        }
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
