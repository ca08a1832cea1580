//! The control thread of a balancer.

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
    unix_millis,
    ActionRunner,
    ConfigArguments,
    ConfigMessage,
    ControlSender,
    DaemonEvent,
    KeyWrapper,
    ProcessClock,
    PublishedState,
    StoreRole, //
};
use carobdrum_core::process::{
    MemberProtocol,
    MemberRecord,
    MemberRole, //
};
use carobdrum_settings::{
    BalancerSettings,
    ProcessSettings, //
};
use carobdrum_telemetry::MetricsServer;
use carobdrum_wire::{
    control::{
        ControlBody,
        Nothing, //
    },
    ControlMessage,
    DatagramKind,
    TunnelKey,
    TunnelOpener,
    MAX_DATAGRAM_LEN, //
};
use prometheus_client::registry::Registry;
use prost::Message;
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
        watch, //
    },
};
use tracing::{
    debug,
    info, //
};

use super::{
    balancer_error::{
        MetricsFailedSnafu,
        SocketFailedSnafu, //
    },
    member_actor::{
        MemberActor,
        MemberArguments,
        MemberMessage, //
    },
    traffic_state::TrafficNotice,
    BalancerError,
    BalancerMetrics, //
};
use crate::ForwardPlan;

/// Maximum number of senders whose keys are cached for checking control datagrams.
const MAX_SENDERS: usize = 16_384;
/// Interval between ticks of the membership protocol.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the buffer for one control datagram: one byte more than the maximum, so that a longer
/// datagram is noticed.
const RECEIVE_BUFFER_LEN: usize = MAX_DATAGRAM_LEN + 1;
/// Time that the graceful shutdown waits until its announcement is sent and the store task has ended.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) struct ControlParts {
    pub(crate) settings: BalancerSettings,
    pub(crate) secret: [u8; 32],
    pub(crate) metrics: BalancerMetrics,
    pub(crate) plans: watch::Sender<Arc<ForwardPlan>>,
    pub(crate) notice_receiver: mpsc::Receiver<TrafficNotice>,
    pub(crate) stopped: watch::Receiver<bool>,
    pub(crate) ready: SyncSender<Result<(), BalancerError>>,
}

/// Runs the control thread until the balancer is stopped. Reports to `ready` once the control
/// address is open, or the error that prevented it.
///
/// # Errors
///
/// Returns a [`BalancerError`] if an actor can't be started.
pub(crate) async fn run_control(parts: ControlParts) -> Result<(), BalancerError> {
    let ControlParts {
        settings,
        secret,
        metrics,
        plans,
        notice_receiver,
        mut stopped,
        ready,
    } = parts;
    let address = settings.process.address;
    let sockets = open_sockets(address).await;
    let (udp, tcp) = match sockets {
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
    let (published, state) = watch::channel(PublishedState::default());
    let config = spawn_config(ConfigArguments {
        wrapper: wrapper.clone(),
        published,
    })
    .await?;
    let (event_sender, events) = mpsc::unbounded_channel();
    let runner = ActionRunner::new(
        ControlSender::new(&key, Arc::clone(&udp), address.port()),
        key.clone(),
        config.clone(),
        Arc::new(move |event| {
            // The send fails only if the balancer has stopped.
            let _ = event_sender.send(event);
        }),
    );
    let (isolation_sender, isolated) = watch::channel(true);
    let arguments = MemberArguments {
        isolation_sender,
        protocol: member_protocol(&settings.process),
        runner,
        clock: ProcessClock::start(),
        plans,
        metrics: metrics.clone(),
    };
    let (members, _) = Actor::spawn(None, MemberActor, arguments).await?;
    let (entry_points, entry_point_updates) = watch::channel(Vec::new());
    tokio::spawn(serve_requests(
        tcp,
        key.clone(),
        config.clone(),
        members.clone(),
    ));
    tokio::spawn(read_datagrams(udp, key, members.clone(), metrics));
    tokio::spawn(feed_state(
        state.clone(),
        members.clone(),
        MemberMessage::StateChanged,
    ));
    tokio::spawn(feed_events(
        notice_receiver,
        events,
        entry_point_updates,
        members.clone(),
        event_message,
    ));
    tokio::spawn(feed_ticks(TICK_INTERVAL, members.clone(), || {
        MemberMessage::Tick
    }));
    let role = StoreRole::Watcher {
        entry_points,
        isolated,
        stopped: stopped.clone(),
    };
    let store = spawn_store(
        &settings.store,
        &settings.process,
        wrapper,
        config,
        state,
        role,
    );
    info!(%address, "balancer ready");
    let _ = ready.send(Ok(()));
    // The sender lives as long as the handle, so the balancer also stops when the handle is
    // dropped.
    let _ = stopped.wait_for(|stop| *stop).await;
    let _ = members.cast(MemberMessage::Leave);
    let leaving = async {
        let _ = members.drain_and_wait(None).await;
        let _ = store.await;
    };
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, leaving).await;
    Ok(())
}

async fn open_sockets(
    address: SocketAddrV4,
) -> Result<(Arc<UdpSocket>, TcpListener), BalancerError> {
    let udp = UdpSocket::bind(address)
        .await
        .context(SocketFailedSnafu { address })?;
    let tcp = TcpListener::bind(address)
        .await
        .context(SocketFailedSnafu { address })?;
    Ok((Arc::new(udp), tcp))
}

fn member_protocol(settings: &ProcessSettings) -> MemberProtocol {
    let own = MemberRecord::builder(MemberRole::Balancer, settings.address, unix_millis())
        .name(settings.name.clone())
        .location(settings.data_centre.clone(), settings.region.clone())
        .build();
    MemberProtocol::builder(own, SmallRng::from_os_rng())
        .bootstrap(settings.bootstrap.iter().copied())
        .build()
}

/// Starts the metrics server if the settings have an address for it.
fn serve_metrics(
    address: Option<SocketAddr>,
    metrics: &BalancerMetrics,
) -> Result<Option<MetricsServer>, BalancerError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let mut registry = Registry::with_prefix("carobdrum_balancer");
    metrics.register(&mut registry);
    let server = MetricsServer::spawn(address, registry).context(MetricsFailedSnafu)?;
    Ok(Some(server))
}

async fn serve_requests(
    tcp: TcpListener,
    key: TunnelKey,
    config: ActorRef<ConfigMessage>,
    members: ActorRef<MemberMessage>,
) {
    serve_control(tcp, key, move |request| {
        let config = config.clone();
        let members = members.clone();
        async move {
            match request.body {
                Some(ControlBody::SyncMembers(sync)) => {
                    ask_actor(&members, |reply| MemberMessage::AnswerSync(sync, reply)).await
                }
                Some(ControlBody::FetchAgents(request)) => {
                    ask_actor(&members, |reply| {
                        MemberMessage::AnswerAgents(request, reply)
                    })
                    .await
                }
                Some(ControlBody::Members(gossip)) => {
                    let _ = members.cast(MemberMessage::RecordsPushed(gossip));
                    ControlMessage::new(ControlBody::Nothing(Nothing {}))
                }
                body => {
                    let request = ControlMessage { body };
                    ask_actor(&config, |reply| ConfigMessage::Serve(request, reply)).await
                }
            }
        }
    })
    .await;
}

async fn read_datagrams(
    socket: Arc<UdpSocket>,
    key: TunnelKey,
    members: ActorRef<MemberMessage>,
    metrics: BalancerMetrics,
) {
    let mut opener = TunnelOpener::new(key, MAX_SENDERS);
    let mut buffer = [0; RECEIVE_BUFFER_LEN];
    loop {
        let (len, source) = match socket.recv_from(&mut buffer).await {
            Ok((len, std::net::SocketAddr::V4(source))) => (len, source),
            Ok(_) => continue,
            Err(error) => {
                debug!(%error, "cannot read control datagram");
                continue;
            }
        };
        metrics.control_received_bytes.inc_by(len as u64);
        let (header, payload) = match opener.open(&buffer[..len]) {
            Ok(opened) => opened,
            Err(error) => {
                debug!(%source, %error, "control datagram refused");
                metrics.drop(error.into());
                continue;
            }
        };
        if header.kind != DatagramKind::Control {
            metrics.drop(crate::DropReason::UnexpectedKind);
            continue;
        }
        let Ok(message) = ControlMessage::decode(payload) else {
            metrics.drop(crate::DropReason::Malformed);
            continue;
        };
        let datagram = MemberMessage::Datagram {
            source,
            header,
            message,
        };
        if members.cast(datagram).is_err() {
            return;
        }
    }
}

fn event_message(item: DaemonEvent<TrafficNotice>) -> MemberMessage {
    match item {
        DaemonEvent::Traffic(notice) => MemberMessage::TrafficNotice(notice),
        DaemonEvent::CallCompleted(event) => MemberMessage::CallCompleted(event),
        DaemonEvent::EntryPoints(entry_points) => MemberMessage::Bootstrap(entry_points),
    }
}
