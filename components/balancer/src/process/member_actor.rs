//! The actor that owns the member list and publishes forwarding plans.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
};

use carobdrum_control::{
    decode_peer,
    decode_records,
    encode_records,
    ActionRunner,
    ProcessClock,
    PublishedState, //
};
use carobdrum_core::process::{
    GossipBody,
    MemberAction,
    MemberEvent,
    MemberProtocol,
    MemberRole,
    MemberState,
    PeerMessage,
    FULL_WARMUP_LEVEL, //
};
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchAgents,
        Gossip,
        Nothing,
        SyncMembers, //
    },
    ControlMessage,
    TunnelHeader, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef,
    RpcReplyPort, //
};
use tokio::sync::watch;
use tracing::info;

use super::{
    agent_listing::list_agents,
    traffic_state::TrafficNotice,
    BalancerMetrics, //
};
use crate::{
    ForwardPlan,
    PlanBuilder,
    PlanTarget, //
};

pub(crate) enum MemberMessage {
    /// A control datagram was received.
    Datagram {
        source: SocketAddrV4,
        header: TunnelHeader,
        message: ControlMessage,
    },
    /// A traffic thread saw a newer version or an agent that isn't a target.
    TrafficNotice(TrafficNotice),
    /// A control call has ended.
    CallCompleted(MemberEvent),
    /// Another balancer requests the records of differing buckets.
    AnswerSync(SyncMembers, RpcReplyPort<ControlMessage>),
    /// An agent requests the list of its service's agents.
    AnswerAgents(FetchAgents, RpcReplyPort<ControlMessage>),
    /// Another balancer sent records.
    RecordsPushed(Gossip),
    /// The configuration or the key ring has changed.
    StateChanged(PublishedState),
    /// Further bootstrap addresses, from the store.
    Bootstrap(Vec<SocketAddrV4>),
    /// The graceful shutdown has started.
    Leave,
    /// Periodic tick.
    Tick,
}

pub(crate) struct MemberArguments {
    pub(crate) protocol: MemberProtocol,
    pub(crate) runner: ActionRunner,
    pub(crate) clock: ProcessClock,
    pub(crate) plans: watch::Sender<Arc<ForwardPlan>>,
    pub(crate) metrics: BalancerMetrics,
    /// Receives whether the balancer is isolated, that is, knows no other balancer.
    pub(crate) isolation_sender: watch::Sender<bool>,
}

pub(crate) struct ActorState {
    arguments: MemberArguments,
    published: PublishedState,
    /// Whether members have changed since the last plan.
    is_stale: bool,
}

/// Owns the member list and publishes forwarding plans.
pub(crate) struct MemberActor;

impl Actor for MemberActor {
    type Msg = MemberMessage;
    type State = ActorState;
    type Arguments = MemberArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<MemberMessage>,
        arguments: MemberArguments,
    ) -> Result<ActorState, ActorProcessingErr> {
        Ok(ActorState {
            arguments,
            published: PublishedState::default(),
            is_stale: false,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<MemberMessage>,
        message: MemberMessage,
        state: &mut ActorState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            MemberMessage::Datagram {
                source,
                header,
                message,
            } => state.handle_datagram(source, &header, message),
            MemberMessage::TrafficNotice(notice) => state.handle_notice(notice),
            MemberMessage::CallCompleted(event) => state.handle_event(event),
            MemberMessage::AnswerSync(request, reply) => {
                // The send fails if the requester no longer waits for the response.
                let _ = reply.send(state.answer_sync(&request));
            }
            MemberMessage::AnswerAgents(request, reply) => {
                let _ = reply.send(state.answer_agents(&request));
            }
            MemberMessage::RecordsPushed(gossip) => {
                state.handle_event(MemberEvent::RecordsPushed {
                    peer: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
                    records: decode_records(gossip.members),
                })
            }
            MemberMessage::StateChanged(published) => state.set_published(published),
            MemberMessage::Bootstrap(addresses) => {
                state.arguments.protocol.add_bootstrap(addresses);
            }
            MemberMessage::Leave => state.leave(),
            MemberMessage::Tick => {
                state.handle_event(MemberEvent::Tick);
                let balancers = state.arguments.protocol.list().balancers().len();
                // The list contains this balancer, too.
                state
                    .arguments
                    .isolation_sender
                    .send_replace(balancers <= 1);
                if state.is_stale {
                    state.publish_plan();
                }
            }
        }
        Ok(())
    }
}

impl ActorState {
    fn handle_datagram(
        &mut self,
        source: SocketAddrV4,
        header: &TunnelHeader,
        message: ControlMessage,
    ) {
        let Some(message) = message.body.and_then(decode_peer) else {
            self.arguments.metrics.drop(crate::DropReason::Malformed);
            return;
        };
        self.handle_event(MemberEvent::Received {
            from: SocketAddrV4::new(*source.ip(), header.control_port),
            version: header.version,
            message,
        });
    }

    /// Handles a notice. That of a newer version is handled like an empty gossip message with that
    /// version.
    fn handle_notice(&mut self, notice: TrafficNotice) {
        let event = match notice {
            TrafficNotice::NewerVersion { number, peer } => MemberEvent::Received {
                from: peer,
                version: number,
                message: PeerMessage::Gossip(GossipBody::default()),
            },
            TrafficNotice::AgentSeen(agent) => MemberEvent::AgentSeen { agent },
        };
        self.handle_event(event);
    }

    fn handle_event(&mut self, event: MemberEvent) {
        let now = self.arguments.clock.now();
        let actions = self.arguments.protocol.handle(now, event);
        self.run(actions);
    }

    fn run(&mut self, actions: Vec<MemberAction>) {
        let MemberArguments {
            protocol,
            runner,
            metrics,
            ..
        } = &mut self.arguments;
        for action in actions {
            if let MemberAction::MemberChanged(key) = action {
                self.is_stale = true;
                if let Some(record) = protocol.list().get(key) {
                    let state = record.state;
                    info!(
                        name = %record.name,
                        address = %record.address,
                        ?state,
                        "member changed"
                    );
                }
            }
            let sent = runner.run(action, &self.published, || protocol.buckets().to_vec());
            metrics.control_sent_bytes.inc_by(sent as u64);
        }
    }

    fn answer_sync(&mut self, request: &SyncMembers) -> ControlMessage {
        let now = self.arguments.clock.now();
        let records = self.arguments.protocol.answer_sync(now, &request.buckets);
        let body = match records {
            Some(records) => ControlBody::Members(Gossip {
                members: encode_records(&records),
                ..Gossip::default()
            }),
            None => ControlBody::Nothing(Nothing {}),
        };
        ControlMessage::new(body)
    }

    fn answer_agents(&self, request: &FetchAgents) -> ControlMessage {
        let Some(config) = self.published.config.as_deref() else {
            return ControlMessage::new(ControlBody::Nothing(Nothing {}));
        };
        let members = self.arguments.protocol.list().iter();
        let agents = list_agents(config, members.map(|(_, record)| record), request);
        ControlMessage::new(ControlBody::Members(Gossip {
            members: encode_records(&agents),
            ..Gossip::default()
        }))
    }

    fn set_published(&mut self, published: PublishedState) {
        let number = published.config_number();
        let key_version = published.key_version();
        let evacuates_centre = evacuates_centre(&self.published, &published);
        let is_newer = number > self.published.config_number();
        let has_newer_keys = key_version > self.published.key_version();
        self.published = published;
        if is_newer {
            self.handle_event(MemberEvent::VersionAdopted {
                number,
                evacuates_centre,
            });
        }
        if has_newer_keys {
            self.handle_event(MemberEvent::KeyRingAdopted {
                version: key_version,
            });
        }
        self.publish_plan();
    }

    fn leave(&mut self) {
        let now = self.arguments.clock.now();
        let actions = self.arguments.protocol.announce(now, MemberState::Dead);
        self.run(actions);
    }

    fn publish_plan(&mut self) {
        self.is_stale = false;
        let Some(config) = &self.published.config else {
            return;
        };
        let mut builder = PlanBuilder::default()
            .keys(self.published.keys.clone())
            .config(config);
        for (_, record) in self.arguments.protocol.list().iter() {
            if record.role != MemberRole::Agent || record.weight() == 0 {
                continue;
            }
            let warmup_level = f32::from(record.warmup_level) / f32::from(FULL_WARMUP_LEVEL);
            let target = PlanTarget::from_server(
                config,
                &record.name,
                &record.data_centre,
                record.address,
                warmup_level,
            );
            if let Some(target) = target {
                builder = builder.target(target);
            }
        }
        let plan = builder.build();
        let metrics = &self.arguments.metrics;
        metrics.config_version.set(i64::from(plan.config_number()));
        metrics.targets.set(plan.targets.len() as i64);
        self.arguments.plans.send_replace(Arc::new(plan));
    }
}

/// Returns whether `newer` evacuates a data centre that `older` doesn't.
fn evacuates_centre(older: &PublishedState, newer: &PublishedState) -> bool {
    let Some(newer) = &newer.config else {
        return false;
    };
    let was_evacuated = |name: &str| {
        let config = older.config.as_ref();
        config.is_some_and(|config| config.pools.is_evacuated(name))
    };
    newer
        .pools
        .data_centres
        .iter()
        .any(|centre| newer.pools.is_evacuated(&centre.name) && !was_evacuated(&centre.name))
}
