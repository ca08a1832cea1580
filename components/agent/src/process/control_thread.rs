//! The control thread of an agent.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::{
        mpsc::SyncSender,
        Arc, //
    },
    time::Duration, //
};

use carobdrum_control::{
    ask_actor,
    feed_events,
    feed_state,
    feed_ticks,
    serve_control,
    spawn_config,
    spawn_store,
    ActionRunner,
    ConfigArguments,
    ConfigMessage,
    ControlSender,
    DaemonEvent,
    KeyWrapper,
    PublishedState,
    StoreRole, //
};
use carobdrum_core::process::{
    AgentAnnouncer,
    MemberRecord,
    MemberRole,
    MemberState, //
};
use carobdrum_settings::{
    AgentSettings,
    ProcessSettings, //
};
use carobdrum_telemetry::MetricsServer;
use carobdrum_wire::{
    control::{
        ControlBody, //
    },
    ControlMessage,
    TunnelKey, //
};
use prometheus_client::registry::Registry;
use ractor::{
    Actor,
    ActorRef, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use snafu::ResultExt;
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    sync::{
        mpsc,
        oneshot,
        watch,
        Notify, //
    },
};
use tracing::info;

use super::{
    agent_error::{
        MetricsFailedSnafu,
        SocketFailedSnafu, //
    },
    announce_actor::{
        AnnounceActor,
        AnnounceArguments,
        AnnounceMessage, //
    },
    AgentError,
    AgentMetrics,
    AgentShared, //
};
use crate::{
    connection::ControlDatagram,
    request::{
        answer_agent_call,
        answer_outcome_query,
        AgentCall,
        SharedLedger, //
    },
};

/// Interval between ticks of the announcer and between checks of the agent's own state for changes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) struct ControlParts {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: u64,
    pub(crate) secret: [u8; 32],
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) shared: Arc<AgentShared>,
    pub(crate) metrics: AgentMetrics,
    pub(crate) published: watch::Sender<PublishedState>,
    pub(crate) datagrams: mpsc::Receiver<ControlDatagram>,
    pub(crate) ledger: SharedLedger,
    /// Receives the balancers in use; `None` if hedging is off.
    pub(crate) balancers: Option<watch::Sender<Vec<SocketAddrV4>>>,
    /// Calls of other agents for the traffic thread; `None` if hedging is off.
    pub(crate) agent_calls: Option<mpsc::Sender<AgentCall>>,
    pub(crate) ended: oneshot::Receiver<()>,
    pub(crate) ready: SyncSender<Result<(), AgentError>>,
}

/// Runs the control thread until the traffic thread has ended. Reports to `ready` once the control
/// address is open, or the error that prevented it.
///
/// # Errors
///
/// Returns an [`AgentError`] if an actor can't be started.
pub(crate) async fn run_control(parts: ControlParts) -> Result<(), AgentError> {
    let ControlParts {
        settings,
        incarnation,
        secret,
        socket,
        shared,
        metrics,
        published,
        datagrams,
        ledger,
        balancers,
        agent_calls,
        ended,
        ready,
    } = parts;
    let address = settings.process.address;
    let opened = async {
        let udp = UdpSocket::from_std(socket).context(SocketFailedSnafu { address })?;
        let tcp = TcpListener::bind(address).await;
        Ok((Arc::new(udp), tcp.context(SocketFailedSnafu { address })?))
    };
    let (udp, tcp) = match opened.await {
        Ok(sockets) => sockets,
        Err(error) => {
            let _ = ready.send(Err(error));
            return Ok(());
        }
    };
    let _metrics_server = match serve_metrics(settings.process.metrics_address, &metrics) {
        Ok(server) => server,
        Err(error) => {
            let _ = ready.send(Err(error));
            return Ok(());
        }
    };
    let key = TunnelKey::new(&secret);
    let wrapper = KeyWrapper::new(&secret);
    let state = published.subscribe();
    let config = spawn_config(ConfigArguments {
        wrapper: wrapper.clone(),
        published,
    })
    .await?;
    let (event_sender, events) = mpsc::unbounded_channel();
    let runner = ActionRunner::new(
        ControlSender::new(&key, udp, address.port()),
        key.clone(),
        config.clone(),
        Arc::new(move |event| {
            // The send fails only if the agent has stopped.
            let _ = event_sender.send(event);
        }),
    );
    let refresh = Arc::new(Notify::new());
    let arguments = AnnounceArguments {
        settings: settings.process.clone(),
        announcer: agent_announcer(&settings.process, incarnation),
        runner,
        shared: Arc::clone(&shared),
        metrics,
        refresh: Arc::clone(&refresh),
        balancers,
    };
    let (announcer, _) = Actor::spawn(None, AnnounceActor, arguments).await?;
    let (entry_points, entry_point_updates) = watch::channel(Vec::new());
    let role = StoreRole::Reader {
        entry_points,
        refresh,
    };
    spawn_store(
        &settings.store,
        &settings.process,
        wrapper,
        config.clone(),
        state.clone(),
        role,
    );
    tokio::spawn(serve_requests(
        tcp,
        key,
        config,
        state.clone(),
        ledger,
        shared,
        agent_calls,
    ));
    tokio::spawn(feed_state(
        state,
        announcer.clone(),
        AnnounceMessage::StateChanged,
    ));
    tokio::spawn(feed_events(
        datagrams,
        events,
        entry_point_updates,
        announcer.clone(),
        event_message,
    ));
    tokio::spawn(feed_ticks(TICK_INTERVAL, announcer.clone(), || {
        AnnounceMessage::Tick
    }));
    info!(%address, "agent ready");
    let _ = ready.send(Ok(()));
    let _ = ended.await;
    announcer.stop(None);
    Ok(())
}

/// Starts the metrics server if the settings have an address for it.
fn serve_metrics(
    address: Option<SocketAddr>,
    metrics: &AgentMetrics,
) -> Result<Option<MetricsServer>, AgentError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let mut registry = Registry::with_prefix("carobdrum_agent");
    metrics.register(&mut registry);
    let server = MetricsServer::spawn(address, registry).context(MetricsFailedSnafu)?;
    Ok(Some(server))
}

async fn serve_requests(
    tcp: TcpListener,
    key: TunnelKey,
    config: ActorRef<ConfigMessage>,
    state: watch::Receiver<PublishedState>,
    ledger: SharedLedger,
    shared: Arc<AgentShared>,
    agent_calls: Option<mpsc::Sender<AgentCall>>,
) {
    serve_control(tcp, key, move |request| {
        let config = config.clone();
        let ledger = ledger.clone();
        let agent_calls = agent_calls.clone();
        let keys = state.borrow().keys.clone();
        let now = shared.clock.now();
        async move {
            if let Some(ControlBody::QueryOutcome(query)) = &request.body {
                let reply = answer_outcome_query(&query.key, keys.as_deref(), &ledger, now);
                return ControlMessage::new(ControlBody::Outcome(reply));
            }
            match answer_agent_call(request, agent_calls.as_ref()).await {
                Ok(response) => response,
                Err(request) => {
                    ask_actor(&config, |reply| ConfigMessage::Serve(request, reply)).await
                }
            }
        }
    })
    .await;
}

fn agent_announcer(settings: &ProcessSettings, incarnation: u64) -> AgentAnnouncer {
    let own = MemberRecord::builder(MemberRole::Agent, settings.address, incarnation)
        .name(settings.name.clone())
        .location(settings.data_centre.clone(), settings.region.clone())
        .state(MemberState::Cold)
        .slots(0, 0)
        .build();
    let bootstrap = settings.bootstrap.iter().copied();
    AgentAnnouncer::new(own, SmallRng::from_os_rng(), bootstrap)
}

fn event_message(item: DaemonEvent<ControlDatagram>) -> AnnounceMessage {
    match item {
        DaemonEvent::Traffic(datagram) => AnnounceMessage::Datagram(datagram),
        DaemonEvent::CallCompleted(event) => AnnounceMessage::CallCompleted(event),
        DaemonEvent::EntryPoints(entry_points) => AnnounceMessage::Bootstrap(entry_points),
    }
}
