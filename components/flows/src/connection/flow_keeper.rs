//! Decisions of an agent about the packets to and from its backend server.

mod later;
mod opening;

use std::{
    collections::VecDeque,
    net::SocketAddrV4,
    sync::Arc, //
};

use bytes::Bytes;
use carobdrum_core::Millis;
use compact_str::CompactString;
use hashbrown::HashMap;

use super::{
    FailureRate,
    FlowEntry,
    FlowStage,
    KeeperAction,
    LoadEstimate,
    PassCause,
    ReturnPause, //
};
use crate::{
    process::{
        name_hash,
        AgentReport,
        BackendHeartbeat,
        BackendLife,
        ColdBudget, //
    },
    request::{FlowKey, FlowPacket, ForwardHead},
    version::SiteConfig, //
};

/// Time that a server has for its answer to an opening packet, and for which an offer that the
/// caller doesn't take up counts as load.
const ACCEPT_TIME: Millis = Millis(60);

/// Time after which a caller has given up a flow that didn't open.
const OPEN_TIME: Millis = Millis(1_600);

/// Time for which the packets of a closed flow still go to its server.
const CLOSED_TIME: Millis = Millis(5_000);

/// Time without a packet after which a request no longer counts as load.
const REQUEST_TIME: Millis = Millis(3_000);

/// Wait that the distance to another data centre counts as, in microseconds.
const DISTANCE_US: u32 = 20_000;

/// Agents that may see one packet.
const MAX_HOPS: u8 = 16;

/// Span of sequence numbers after a server's first one that acknowledge an offer of that server.
const OFFER_SPAN: u32 = 1 << 20;

/// Slots of a server that hasn't told.
const DEFAULT_SLOTS: u32 = 2;

/// What an agent is told by its settings.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// Address of the agent.
    pub address: SocketAddrV4,
    /// Data centre of the agent.
    pub centre: CompactString,
    /// Service of the backend server, until the server itself names one.
    pub service: CompactString,
    /// Time without a sign of the server after which it gets no new flows.
    pub fence: Millis,
    /// Factor over the rate that a cold server states, within the limit.
    pub cold_factor: f64,
    /// Requests over the rate that a cold server states, within the limit.
    pub cold_slack: f64,
}

/// State of an agent.
#[derive(Debug)]
pub struct FlowKeeper {
    settings: KeeperSettings,
    centre: u32,
    service: CompactString,
    rules: Option<Arc<SiteConfig>>,
    life: BackendLife,
    cold: ColdBudget,
    load: LoadEstimate,
    flows: HashMap<FlowKey, FlowEntry>,
    offers: VecDeque<(Millis, FlowKey)>,
    failures: FailureRate,
    returns: ReturnPause,
    stopping: bool,
}

impl FlowKeeper {
    /// Starts with no flows.
    pub fn new(settings: KeeperSettings, now: Millis) -> FlowKeeper {
        FlowKeeper {
            centre: name_hash(&settings.centre),
            service: settings.service.clone(),
            rules: None,
            life: BackendLife::new(now, settings.fence),
            cold: ColdBudget::default(),
            load: LoadEstimate::new(DEFAULT_SLOTS),
            flows: HashMap::new(),
            offers: VecDeque::new(),
            failures: FailureRate::default(),
            returns: ReturnPause::default(),
            stopping: false,
            settings,
        }
    }

    /// Takes a version of the configuration.
    pub fn set_rules(&mut self, rules: Arc<SiteConfig>) {
        self.rules = Some(rules);
    }

    /// Takes changed settings. The service that the server itself named goes before theirs.
    pub fn set_settings(&mut self, settings: KeeperSettings) {
        if self.life.service().is_none() {
            self.service = settings.service.clone();
        }
        self.centre = name_hash(&settings.centre);
        self.life.set_fence(settings.fence);
        self.settings = settings;
    }

    /// Takes a heartbeat of the server; returns false for an outdated one.
    pub fn take_beat(&mut self, beat: BackendHeartbeat, now: Millis) -> bool {
        let cold_until = now.plus(beat.cold_remaining);
        let slots = beat.slots;
        let service = beat.service.clone();
        let restarted = self.life.is_other_run(&beat);
        if !self.life.take_beat(beat, now) {
            return false;
        }
        if restarted {
            self.returns.clear();
        }
        self.cold.set_cold(cold_until);
        self.load.set_slots(slots);
        self.service = service;
        true
    }

    /// Notes that the server with this identity has left.
    pub fn leave(&mut self, id: &str) -> bool {
        self.life.leave(id)
    }

    /// Stops taking new flows, before the process ends.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the number of flows that are open or offered.
    pub fn open_flows(&self) -> usize {
        let open =
            |entry: &&FlowEntry| matches!(entry.stage, FlowStage::Open | FlowStage::Offered { .. });
        self.flows.values().filter(open).count()
    }

    /// Returns what balancers are told.
    pub fn report(&mut self, now: Millis) -> AgentReport {
        AgentReport {
            failure_percent: self.failures.percent(now),
            accepts: self.refusal(now).is_none(),
            busy: self.load.busy(),
            slots: self.load.slots(),
            revision: self.rules.as_ref().map_or(0, |rules| rules.revision),
        }
    }

    /// Returns the data centre of the agent.
    pub fn centre(&self) -> &CompactString {
        &self.settings.centre
    }

    /// Returns the service of the server.
    pub fn service(&self) -> &CompactString {
        &self.service
    }

    /// Decides about a packet of a caller.
    pub fn take_forward(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        mut head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        head.hops = head.hops.saturating_add(1);
        if head.hops > MAX_HOPS {
            actions.push(KeeperAction::Drop(packet.key, PassCause::NotHeld));
            return;
        }
        if packet.is_open() {
            self.take_open(packet, bytes, head, now, actions);
        } else {
            self.take_later(packet, head, now, actions);
        }
    }

    /// Forgets what is out of date.
    pub fn expire(&mut self, now: Millis) {
        let idle_time = self
            .rules
            .as_ref()
            .map_or(CLOSED_TIME, |rules| rules.idle_time.max(CLOSED_TIME));
        let load = &mut self.load;
        self.flows.retain(|_, entry| {
            let idle = now.since(entry.used);
            let most = match entry.stage {
                FlowStage::Offered { .. } => OPEN_TIME,
                FlowStage::Trial | FlowStage::Foreign | FlowStage::Closed => CLOSED_TIME,
                FlowStage::Open | FlowStage::Passed(_) => idle_time,
            };
            let kept = idle < most;
            if (!kept || idle >= REQUEST_TIME) && entry.request.take().is_some() {
                load.end();
            }
            kept
        });
    }

    fn forget(&mut self, key: FlowKey) {
        if let Some(entry) = self.flows.remove(&key) {
            if entry.request.is_some() {
                self.load.end();
            }
        }
    }
}
