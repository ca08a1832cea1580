//! Decisions of an agent about the packets to and from its backend server.

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
    wait_limit_us,
    FailureRate,
    FlowEntry,
    FlowStage,
    KeeperAction,
    LoadEstimate,
    PassCause, //
};
use crate::{
    process::{
        name_hash,
        AgentReport,
        BackendBeat,
        BackendLife,
        ColdBudget, //
    },
    request::{
        BestOffer,
        FlowKey,
        FlowPacket,
        ForwardHead,
        PacketKind, //
    },
    version::SiteRules, //
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
    rules: Option<Arc<SiteRules>>,
    life: BackendLife,
    cold: ColdBudget,
    load: LoadEstimate,
    flows: HashMap<FlowKey, FlowEntry>,
    offers: VecDeque<(Millis, FlowKey)>,
    failures: FailureRate,
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
            stopping: false,
            settings,
        }
    }

    /// Takes a version of the configuration.
    pub fn set_rules(&mut self, rules: Arc<SiteRules>) {
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
    pub fn take_beat(&mut self, beat: BackendBeat, now: Millis) -> bool {
        let cold_until = now.plus(beat.cold_left);
        let slots = beat.slots;
        let service = beat.service.clone();
        if !self.life.take_beat(beat, now) {
            return false;
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
            failing: self.failures.percent(now),
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

    fn take_open(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        mut head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let key = packet.key;
        if let Some(entry) = self.flows.get_mut(&key) {
            match entry.stage {
                FlowStage::Offered { .. } | FlowStage::Open => {
                    entry.used = now;
                    actions.push(KeeperAction::Deliver);
                    return;
                }
                FlowStage::Passed(to) if !head.rest.contains(&to) && !head.assigned => {
                    head.rest.insert(0, to);
                }
                _ => {}
            }
        }
        if let Some(cause) = self
            .refusal(now)
            .or_else(|| self.route_refusal(packet, &head, now))
        {
            self.pass_open(key, head, cause, None, now, actions);
            return;
        }
        let wait_us = self.load.wait_us();
        let bearable = wait_us <= self.wait_limit_us(packet);
        if wait_us == 0 || (head.assigned && bearable) {
            self.accept(key, bytes, head, now, actions);
            return;
        }
        if bearable {
            self.offer_load(&mut head, wait_us);
        }
        let near_done = head.near == 0 && head.best.is_some_and(|best| best.wait_us <= DISTANCE_US);
        let last = head.rest.is_empty() || near_done;
        match head.best {
            Some(best) if last && best.agent == self.settings.address => {
                self.accept(key, bytes, head, now, actions);
            }
            _ => self.pass_open(key, head, PassCause::Busy, None, now, actions),
        }
    }

    fn wait_limit_us(&self, packet: &FlowPacket) -> u32 {
        let route = self
            .rules
            .as_ref()
            .and_then(|rules| rules.route(packet.key.service));
        route.map_or(u32::MAX, wait_limit_us)
    }

    fn offer_load(&self, head: &mut ForwardHead, wait_us: u32) {
        let distance_us = if head.centre == self.centre {
            0
        } else {
            DISTANCE_US
        };
        let offer = BestOffer {
            agent: self.settings.address,
            wait_us: wait_us + distance_us,
        };
        if head.best.is_none_or(|best| offer.wait_us < best.wait_us) {
            head.best = Some(offer);
        }
    }

    fn accept(
        &mut self,
        key: FlowKey,
        bytes: &Bytes,
        head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        self.forget(key);
        self.cold.take(now);
        self.load.begin();
        self.offers.push_back((now.plus(ACCEPT_TIME), key));
        actions.push(KeeperAction::Deliver);
        if head.hops > 1 || head.delivered {
            actions.push(KeeperAction::Hint(head.balancer, key));
        }
        let stage = FlowStage::Offered {
            server_sequence: None,
        };
        let mut entry = FlowEntry::new(stage, head, now);
        entry.request = Some(now);
        entry.opening = Some(bytes.clone());
        self.flows.insert(key, entry);
    }

    /// Sends an opening packet to the next candidate, to the best one at the end of the list, or
    /// refuses it.
    fn pass_open(
        &mut self,
        key: FlowKey,
        mut head: ForwardHead,
        cause: PassCause,
        stored: Option<Bytes>,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let near_done = head.near == 0 && head.best.is_some_and(|best| best.wait_us <= DISTANCE_US);
        let to = match head.best {
            Some(best) if (head.rest.is_empty() || near_done) && !head.assigned => {
                head.assigned = true;
                Some(best.agent)
            }
            _ if head.rest.is_empty() => None,
            _ => {
                head.near = head.near.saturating_sub(1);
                Some(head.rest.remove(0))
            }
        };
        let Some(to) = to else {
            let action = if head.delivered {
                KeeperAction::Drop(key, cause)
            } else {
                KeeperAction::Refuse(key, cause)
            };
            actions.push(action);
            return;
        };
        let offered = self.flows.get(&key).is_some_and(|entry| {
            matches!(entry.stage, FlowStage::Offered { .. } | FlowStage::Open)
        });
        if !offered {
            let entry = FlowEntry::new(FlowStage::Passed(to), head.clone(), now);
            self.flows.insert(key, entry);
        }
        actions.push(KeeperAction::PassOn {
            key,
            to,
            head,
            stored,
            cause,
        });
    }

    fn take_later(
        &mut self,
        packet: &FlowPacket,
        mut head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            self.try_server(packet.key, head, now, actions);
            return;
        };
        entry.used = now;
        let held = match entry.stage {
            FlowStage::Offered {
                server_sequence: Some(first),
            } => packet.acknowledged.wrapping_sub(first) < OFFER_SPAN,
            FlowStage::Offered {
                server_sequence: None,
            } => false,
            FlowStage::Open | FlowStage::Trial | FlowStage::Closed => true,
            FlowStage::Foreign => false,
            FlowStage::Passed(to) => {
                head.rest.retain(|candidate| *candidate != to);
                head.rest.insert(0, to);
                false
            }
        };
        if !held {
            let cause = match entry.stage {
                FlowStage::Passed(_) => PassCause::Followed,
                _ => PassCause::NotHeld,
            };
            pass_later(packet.key, head, cause, actions);
            return;
        }
        if matches!(entry.stage, FlowStage::Offered { .. }) {
            entry.stage = FlowStage::Open;
        }
        entry.head = head;
        if packet.kind == PacketKind::Reset {
            entry.stage = FlowStage::Closed;
            if entry.request.take().is_some() {
                self.load.end();
            }
        }
        let asks = packet.data_len > 0 && entry.stage == FlowStage::Open;
        if asks && entry.request.replace(now).is_none() {
            self.load.begin();
        }
        if packet.kind == PacketKind::Finish {
            entry.caller_done = true;
            entry.close_if_done();
        }
        actions.push(KeeperAction::Deliver);
    }

    /// Delivers a packet of an unknown flow. The server returns it if it doesn't hold the flow,
    /// which the agent can't know after a restart.
    fn try_server(
        &mut self,
        key: FlowKey,
        head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let entry = FlowEntry::new(FlowStage::Trial, head, now);
        self.flows.insert(key, entry);
        actions.push(KeeperAction::Deliver);
    }

    /// Decides about a packet of the backend server.
    pub fn take_backend(
        &mut self,
        packet: &FlowPacket,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        if packet.returned {
            self.take_returned(packet, now, actions);
            return;
        }
        self.life.take_sign(now);
        actions.push(KeeperAction::ToCaller);
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            return;
        };
        entry.used = now;
        entry.opening = None;
        match (&mut entry.stage, packet.kind) {
            (FlowStage::Offered { server_sequence }, PacketKind::Accept) => {
                *server_sequence = Some(packet.sequence);
            }
            (_, PacketKind::Reset) => entry.stage = FlowStage::Closed,
            (FlowStage::Trial, _) => entry.stage = FlowStage::Open,
            _ => {}
        }
        if packet.kind == PacketKind::Finish {
            entry.server_done = true;
            entry.close_if_done();
        }
        let answers = packet.data_len > 0 || packet.kind == PacketKind::Reset;
        if answers {
            if let Some(start) = entry.request.take() {
                let time = now.since(start);
                self.load.answer(time);
                actions.push(KeeperAction::Answered(packet.key, time));
            }
        }
    }

    /// Notes whether an answer of the server is a failure.
    pub fn note_answer(&mut self, failed: bool, now: Millis) {
        self.failures.record(failed, now);
    }

    fn take_returned(&mut self, packet: &FlowPacket, now: Millis, actions: &mut Vec<KeeperAction>) {
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            actions.push(KeeperAction::Drop(packet.key, PassCause::NotHeld));
            return;
        };
        let mut head = entry.head.clone();
        if packet.is_open() {
            self.forget(packet.key);
            head.best = head.best.filter(|best| best.agent != self.settings.address);
            self.pass_open(packet.key, head, PassCause::NotHeld, None, now, actions);
        } else {
            let elsewhere = matches!(
                entry.stage,
                FlowStage::Offered { .. } | FlowStage::Passed(_)
            );
            if !elsewhere {
                entry.stage = FlowStage::Foreign;
                if entry.request.take().is_some() {
                    self.load.end();
                }
            }
            pass_later(packet.key, head, PassCause::NotHeld, actions);
        }
    }

    /// Passes on the opening packets that the server didn't answer in time, and no longer counts the
    /// offers that no caller took up as load.
    pub fn check_offers(&mut self, now: Millis, actions: &mut Vec<KeeperAction>) {
        while let Some((due, key)) = self.offers.front().copied() {
            if due > now {
                return;
            }
            self.offers.pop_front();
            let Some(entry) = self.flows.get_mut(&key) else {
                continue;
            };
            if matches!(entry.stage, FlowStage::Offered { .. }) && entry.request.take().is_some() {
                self.load.end();
            }
            let Some(opening) = entry.opening.take() else {
                continue;
            };
            let mut head = entry.head.clone();
            if head.rest.is_empty() {
                continue;
            }
            head.delivered = true;
            head.best = None;
            head.assigned = false;
            self.pass_open(key, head, PassCause::NoAnswer, Some(opening), now, actions);
        }
    }

    /// Returns when [`FlowKeeper::check_offers`] is due.
    pub fn next_offer(&self) -> Option<Millis> {
        self.offers.front().map(|(due, _)| *due)
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

    /// Returns why the server takes no new flow at all now.
    fn refusal(&self, now: Millis) -> Option<PassCause> {
        if self.stopping {
            return Some(PassCause::Stopping);
        }
        if !self.life.takes_flows(now) {
            return Some(PassCause::Unavailable);
        }
        let rules = self.rules.as_ref()?;
        if rules.is_closed(&self.settings.centre) {
            return Some(PassCause::Closed);
        }
        None
    }

    /// Returns why the server doesn't take this flow now.
    fn route_refusal(
        &mut self,
        packet: &FlowPacket,
        head: &ForwardHead,
        now: Millis,
    ) -> Option<PassCause> {
        if head.service != name_hash(&self.service) {
            return Some(PassCause::WrongService);
        }
        let rules = self.rules.as_ref()?;
        if let Some(route) = rules.route(packet.key.service) {
            if !route.allows(&self.service) {
                return Some(PassCause::WrongService);
            }
        } else if rules.revision >= head.revision {
            return Some(PassCause::WrongService);
        }
        let room = self.cold_has_room(now);
        (!room).then_some(PassCause::Cold)
    }

    /// Returns whether a cold server may get another flow, under the limit of its service.
    fn cold_has_room(&mut self, now: Millis) -> bool {
        let rate = self
            .rules
            .as_ref()
            .and_then(|rules| rules.service(&self.service))
            .and_then(|rules| rules.cold_rate);
        let Some(rate) = rate else {
            return true;
        };
        let limit = rate * self.settings.cold_factor + self.settings.cold_slack;
        self.cold
            .has_room(now, (limit.floor() as u32).saturating_sub(1))
    }
}

fn pass_later(
    key: FlowKey,
    mut head: ForwardHead,
    cause: PassCause,
    actions: &mut Vec<KeeperAction>,
) {
    if head.rest.is_empty() {
        actions.push(KeeperAction::Drop(key, PassCause::NotHeld));
        return;
    }
    let to = head.rest.remove(0);
    actions.push(KeeperAction::PassOn {
        key,
        to,
        head,
        stored: None,
        cause,
    });
}
