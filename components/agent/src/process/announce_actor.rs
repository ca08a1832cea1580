//! The actor that announces the agent to balancers.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_control::{
    decode_peer,
    ActionRunner,
    PublishedState, //
};
use carobdrum_core::{
    process::{
        AgentAnnouncer,
        GossipBody,
        MemberAction,
        MemberEvent,
        MemberState,
        PeerMessage,
        FULL_WARMUP_LEVEL, //
    },
    Millis,
};
use carobdrum_settings::ProcessSettings;
use carobdrum_wire::ControlMessage;
use prost::Message;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::sync::{
    watch,
    Notify, //
};

use super::{
    AgentMetrics,
    AgentShared,
    DropReason, //
};
use crate::connection::ControlDatagram;

/// Time without an acknowledged heartbeat after which the entry points are read again.
const ISOLATION_TIMEOUT: Millis = Millis(5_000);

pub(crate) enum AnnounceMessage {
    /// A control datagram was received, or any datagram with a newer version number.
    Datagram(ControlDatagram),
    /// A control call has ended.
    CallCompleted(MemberEvent),
    /// The configuration or the key ring has changed.
    StateChanged(PublishedState),
    /// Further bootstrap addresses, from the store.
    Bootstrap(Vec<SocketAddrV4>),
    /// Periodic tick.
    Tick,
}

pub(crate) struct AnnounceArguments {
    pub(crate) settings: ProcessSettings,
    pub(crate) announcer: AgentAnnouncer,
    pub(crate) runner: ActionRunner,
    pub(crate) shared: Arc<AgentShared>,
    pub(crate) metrics: AgentMetrics,
    /// Notified when no balancer acknowledges the agent, to read the entry points again.
    pub(crate) refresh: Arc<Notify>,
    /// Receives the balancers that the agent sends heartbeats to; `None` if hedging is off.
    pub(crate) balancers: Option<watch::Sender<Vec<SocketAddrV4>>>,
}

pub(crate) struct AnnounceState {
    arguments: AnnounceArguments,
    published: PublishedState,
    slots: u32,
    last_acknowledged: Millis,
}

/// Announces the agent to balancers.
pub(crate) struct AnnounceActor;

impl Actor for AnnounceActor {
    type Msg = AnnounceMessage;
    type State = AnnounceState;
    type Arguments = AnnounceArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<AnnounceMessage>,
        arguments: AnnounceArguments,
    ) -> Result<AnnounceState, ActorProcessingErr> {
        let last_acknowledged = arguments.shared.clock.now();
        Ok(AnnounceState {
            arguments,
            published: PublishedState::default(),
            slots: 0,
            last_acknowledged,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<AnnounceMessage>,
        message: AnnounceMessage,
        state: &mut AnnounceState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            AnnounceMessage::Datagram(datagram) => state.handle_datagram(datagram),
            AnnounceMessage::CallCompleted(event) => state.handle_event(event),
            AnnounceMessage::StateChanged(published) => state.set_published(published),
            AnnounceMessage::Bootstrap(addresses) => {
                state.arguments.announcer.add_bootstrap(addresses);
            }
            AnnounceMessage::Tick => state.tick(),
        }
        Ok(())
    }
}

impl AnnounceState {
    /// Handles a control datagram. The notice of a newer version has no payload and is handled like
    /// an empty gossip message with that version.
    fn handle_datagram(&mut self, datagram: ControlDatagram) {
        let ControlDatagram {
            source,
            header,
            payload,
        } = datagram;
        let message = if payload.is_empty() {
            Some(PeerMessage::Gossip(GossipBody::default()))
        } else {
            let decoded = ControlMessage::decode(&*payload).ok();
            decoded
                .and_then(|message| message.body)
                .and_then(decode_peer)
        };
        let Some(message) = message else {
            self.arguments.metrics.drop(DropReason::Malformed);
            return;
        };
        self.handle_event(MemberEvent::Received {
            from: SocketAddrV4::new(*source.ip(), header.control_port),
            version: header.version,
            message,
        });
    }

    fn handle_event(&mut self, event: MemberEvent) {
        let now = self.arguments.shared.clock.now();
        let actions = self.arguments.announcer.handle(now, event);
        self.run(actions);
    }

    fn run(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            let sent = self.arguments.runner.run(action, &self.published, Vec::new);
            self.arguments
                .metrics
                .control_sent_bytes
                .inc_by(sent as u64);
        }
    }

    fn set_published(&mut self, published: PublishedState) {
        let number = published.config_number();
        let version = published.key_version();
        let is_newer = number > self.published.config_number();
        let has_newer_keys = version > self.published.key_version();
        self.published = published;
        if is_newer {
            self.apply_version();
            self.handle_event(MemberEvent::VersionAdopted {
                number,
                evacuates_centre: false,
            });
        }
        if has_newer_keys {
            self.handle_event(MemberEvent::KeyRingAdopted { version });
        }
    }

    /// Applies what the version in force contains about this agent.
    fn apply_version(&mut self) {
        let Some(config) = self.published.config.as_deref() else {
            return;
        };
        let AnnounceArguments {
            settings,
            shared,
            metrics,
            ..
        } = &self.arguments;
        let pool = config.pools.pool_for_server(&settings.name);
        let service = pool.and_then(|pool| config.service_id(&pool.service));
        let out = config.pools.is_evacuated(&settings.data_centre);
        let connections = pool.map_or(0, |pool| pool.connections);
        self.slots = pool.map_or(0, |pool| pool.slots);
        shared.set_version(config.number, service.unwrap_or_default(), out, connections);
        metrics.config_version.set(i64::from(config.number));
    }

    fn tick(&mut self) {
        let now = self.arguments.shared.clock.now();
        let warmup_level = self.arguments.shared.warmup_level();
        let state = match (self.arguments.shared.is_draining(), warmup_level) {
            (true, _) => MemberState::Draining,
            (false, FULL_WARMUP_LEVEL) => MemberState::Warm,
            (false, _) => MemberState::Cold,
        };
        let announcer = &mut self.arguments.announcer;
        let actions = announcer.announce(now, state, self.slots, warmup_level);
        self.run(actions);
        self.handle_event(MemberEvent::Tick);
        if let Some(balancers) = &self.arguments.balancers {
            let active: Vec<SocketAddrV4> = self.arguments.announcer.balancers().collect();
            balancers.send_if_modified(|known| {
                let is_new = *known != active;
                *known = active;
                is_new
            });
        }
        if self.arguments.announcer.is_acknowledged() {
            self.last_acknowledged = now;
        } else if now.since(self.last_acknowledged) >= ISOLATION_TIMEOUT {
            self.last_acknowledged = now;
            self.arguments.refresh.notify_one();
        }
    }
}
