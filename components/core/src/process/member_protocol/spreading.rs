//! What is sent to other balancers and to agents.

use std::net::SocketAddrV4;

use super::{
    MemberProtocol,
    AGENT_NOTICE_INTERVAL,
    ASSIGN_PARTS,
    DATAGRAM_OVERHEAD,
    GOSSIP_INTERVAL,
    HURRIED_PARTS,
    MESSAGE_FRAME,
    MIN_CHANGE_ROOM,
    VERSION_FANOUT,
    VERSION_SPREAD, //
};
use crate::{
    process::{
        ByteClass,
        GossipBody,
        HeartbeatPlan,
        MemberAction,
        MemberRecord,
        MemberRole,
        MemberState,
        PeerChoice,
        PeerMessage, //
        MAX_MESSAGE_LEN,
    },
    Millis, //
};

impl MemberProtocol {
    pub(super) fn refresh_peers(&mut self) {
        if self.peers_epoch == self.list.balancer_epoch() {
            return;
        }
        self.peers_epoch = self.list.balancer_epoch();
        self.peers = PeerChoice::new(&self.list, &self.own);
        self.plan = HeartbeatPlan::new(&self.list);
        self.assign_hurry = self.list.len();
    }

    pub(super) fn gossip_due(&mut self, now: Millis) {
        if now < self.timers.gossip {
            return;
        }
        self.timers.gossip = now.plus(GOSSIP_INTERVAL);
        let spreading = now < self.timers.spread_until;
        if self.queue.is_empty() && !spreading {
            return;
        }
        let Some(peer) = self.peers.pick(&mut self.rng) else {
            return;
        };
        let room = self.change_room(now);
        if !spreading && room == 0 {
            return;
        }
        let class = self.notice_class(spreading);
        let message = PeerMessage::Gossip(self.changes(room, None));
        self.send(now, class, peer, message);
    }

    /// Returns the number of bytes of changes that a message may carry now, or 0 if too few.
    pub(super) fn change_room(&mut self, now: Millis) -> usize {
        let room = self.budget.room(now).min(MAX_MESSAGE_LEN);
        match room.saturating_sub(DATAGRAM_OVERHEAD) {
            small if small < MIN_CHANGE_ROOM => 0,
            room => room,
        }
    }

    pub(super) fn notice_class(&self, spreading: bool) -> ByteClass {
        match (spreading, self.evacuates_centre) {
            (true, true) => ByteClass::TakeOut,
            (true, false) => ByteClass::Version,
            (false, _) => ByteClass::Membership,
        }
    }

    pub(super) fn notify_agents_due(&mut self, now: Millis) {
        if now >= self.timers.spread_until || now < self.timers.agent_notice {
            return;
        }
        self.timers.agent_notice = now.plus(AGENT_NOTICE_INTERVAL);
        let class = self.notice_class(true);
        for agent in self.watch.behind(now, self.versions.held()) {
            let ack = self.ack_for(agent, None);
            self.send(now, class, agent, PeerMessage::HeartbeatAck(ack));
        }
    }

    pub(super) fn watch_due(&mut self, now: Millis) {
        let parts = match self.assign_hurry {
            0 => ASSIGN_PARTS,
            _ => HURRIED_PARTS,
        };
        let part = self.list.len().div_ceil(parts);
        self.assign_hurry = self.assign_hurry.saturating_sub(part);
        for _ in 0..part {
            self.assign_next(now);
        }
        for agent in self.watch.silent(now) {
            let known = self.list.find(agent).map(|record| record.state);
            match known {
                Some(state) if !state.is_accusation() => self.probe(now, agent),
                Some(_) => {}
                None => self.watch.remove(agent),
            }
        }
    }

    /// Checks for one member whether it is an agent that should use this balancer.
    pub(super) fn assign_next(&mut self, now: Millis) {
        let at = self.assign_at;
        self.assign_at = (at + 1) % self.list.len().max(1);
        let Some((_, record)) = self.list.at(at) else {
            return;
        };
        if record.role != MemberRole::Agent || record.state == MemberState::Dead {
            return;
        }
        let ours = self.plan.is_chosen(record, self.own.address);
        self.watch.assign(now, record.address, ours);
    }

    pub(super) fn adopt(&mut self, now: Millis, number: u32, evacuates_centre: bool) {
        if number <= self.versions.held() {
            return;
        }
        self.versions.adopted(number);
        self.evacuates_centre = evacuates_centre;
        self.spread(now);
    }

    pub(super) fn adopt_keys(&mut self, now: Millis, version: u32) {
        if version <= self.keys.held() {
            return;
        }
        self.keys.adopted(version);
        self.spread(now);
    }

    pub(super) fn saw_keys(&mut self, now: Millis, version: u32, from: SocketAddrV4) {
        if let Some(from) = self.keys.saw(now, version, from) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
    }

    /// Tells some peers and the own agents of the version in force, and again for a while.
    pub(super) fn spread(&mut self, now: Millis) {
        self.timers.spread_until = now.plus(VERSION_SPREAD);
        self.timers.agent_notice = now;
        let class = self.notice_class(true);
        let mut peers = self
            .peers
            .pick_some(&mut self.rng, VERSION_FANOUT - 1, None);
        let remote = self.peers.pick_remote(&mut self.rng);
        peers.extend(remote.filter(|remote| !peers.contains(remote)));
        for peer in peers {
            let message = PeerMessage::Gossip(self.changes(0, None));
            self.send(now, class, peer, message);
        }
        self.notify_agents_due(now);
    }

    /// Returns a gossip body with `first` and as many waiting changes as fit into `room` bytes.
    pub(super) fn changes(&mut self, room: usize, first: Option<MemberRecord>) -> GossipBody {
        let list = &self.list;
        let used = first.as_ref().map_or(0, MemberRecord::wire_len);
        let balancers = list.balancers().len();
        let room = room.saturating_sub(used + MESSAGE_FRAME);
        let len_of = |address| {
            let record = list.find(address)?;
            Some(record.for_message().wire_len())
        };
        let taken = self.queue.take(room, balancers, len_of);
        let mut members: Vec<MemberRecord> = first.into_iter().collect();
        let more = taken.into_iter().filter_map(|address| list.find(address));
        members.extend(more.map(MemberRecord::for_message));
        GossipBody {
            members,
            digest: list.digest(),
            key_version: self.keys.held(),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Millis,
        class: ByteClass,
        to: SocketAddrV4,
        message: PeerMessage,
    ) {
        let bytes = message.wire_len() + DATAGRAM_OVERHEAD;
        if self.budget.take(now, class, bytes) {
            self.actions.push(MemberAction::Send { to, message });
        }
    }
}
