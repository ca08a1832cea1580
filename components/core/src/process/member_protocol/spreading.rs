//! Gossip, version announcements and the monitoring of assigned agents.

use std::net::SocketAddrV4;

use super::{
    MemberProtocol,
    AGENT_ANNOUNCE_INTERVAL,
    ASSIGNMENT_CHECK_TICKS,
    DATAGRAM_OVERHEAD,
    FAST_ASSIGNMENT_CHECK_TICKS,
    GOSSIP_INTERVAL,
    MESSAGE_FIELDS_LEN,
    MIN_GOSSIP_ROOM,
    VERSION_ANNOUNCE_DURATION,
    VERSION_FANOUT, //
};
use crate::{
    process::{
        ByteClass,
        GossipBody,
        HeartbeatAssignment,
        MemberAction,
        MemberRecord,
        MemberRole,
        MemberState,
        PeerChoice,
        PeerMessage,
        MAX_MESSAGE_LEN, //
    },
    Millis, //
};

impl MemberProtocol {
    /// Updates what depends on the list of live balancers, if that has changed.
    pub(super) fn refresh_peers(&mut self) {
        if self.peers_epoch == self.list.balancer_epoch() {
            return;
        }
        self.peers_epoch = self.list.balancer_epoch();
        self.peers = PeerChoice::new(&self.list, &self.own_record);
        self.assignment = HeartbeatAssignment::new(&self.list);
        self.fast_checks = self.list.len();
    }

    pub(super) fn gossip_due(&mut self, now: Millis) {
        if now < self.timers.gossip {
            return;
        }
        self.timers.gossip = now.plus(GOSSIP_INTERVAL);
        let announcing = now < self.timers.announce_until;
        if self.queue.is_empty() && !announcing {
            return;
        }
        let Some(peer) = self.peers.pick(&mut self.rng) else {
            return;
        };
        let room = self.gossip_room(now);
        if !announcing && room == 0 {
            return;
        }
        let class = self.announcement_class(announcing);
        let message = PeerMessage::Gossip(self.gossip_body(room, None));
        self.send(now, class, peer, message);
    }

    /// Returns the number of bytes of gossip that a message may carry now, or 0 if they are too
    /// few.
    pub(super) fn gossip_room(&mut self, now: Millis) -> usize {
        let room = self.datagram_budget.room(now).min(MAX_MESSAGE_LEN);
        match room.saturating_sub(DATAGRAM_OVERHEAD) {
            small if small < MIN_GOSSIP_ROOM => 0,
            room => room,
        }
    }

    pub(super) fn announcement_class(&self, announcing: bool) -> ByteClass {
        match (announcing, self.evacuates_centre) {
            (true, true) => ByteClass::Evacuation,
            (true, false) => ByteClass::Version,
            (false, _) => ByteClass::Membership,
        }
    }

    pub(super) fn announce_to_agents_due(&mut self, now: Millis) {
        if now >= self.timers.announce_until || now < self.timers.agent_announcement {
            return;
        }
        self.timers.agent_announcement = now.plus(AGENT_ANNOUNCE_INTERVAL);
        let class = self.announcement_class(true);
        for agent in self.monitor.outdated(now, self.versions.current()) {
            let ack = self.ack_for(agent, None);
            self.send(now, class, agent, PeerMessage::HeartbeatAck(ack));
        }
    }

    pub(super) fn check_heartbeats(&mut self, now: Millis) {
        let ticks = match self.fast_checks {
            0 => ASSIGNMENT_CHECK_TICKS,
            _ => FAST_ASSIGNMENT_CHECK_TICKS,
        };
        let count = self.list.len().div_ceil(ticks);
        self.fast_checks = self.fast_checks.saturating_sub(count);
        for _ in 0..count {
            self.check_assignment(now);
        }
        for agent in self.monitor.take_silent(now) {
            let known = self.list.find(agent).map(|record| record.state);
            match known {
                Some(state) if !state.is_failure_report() => self.probe(now, agent),
                Some(_) => {}
                None => self.monitor.remove(agent),
            }
        }
    }

    /// Checks whether the next member of the list is an agent assigned to this balancer.
    pub(super) fn check_assignment(&mut self, now: Millis) {
        let position = self.next_check;
        self.next_check = (position + 1) % self.list.len().max(1);
        let Some((_, record)) = self.list.by_position(position) else {
            return;
        };
        if record.role != MemberRole::Agent || record.state == MemberState::Dead {
            return;
        }
        let assigned = self.assignment.is_chosen(record, self.own_record.address);
        self.monitor.assign(now, record.address, assigned);
    }

    pub(super) fn adopt(&mut self, now: Millis, number: u32, evacuates_centre: bool) {
        if number <= self.versions.current() {
            return;
        }
        self.versions.set_current(number);
        self.evacuates_centre = evacuates_centre;
        self.announce_version(now);
    }

    pub(super) fn adopt_keys(&mut self, now: Millis, version: u32) {
        if version <= self.keys.current() {
            return;
        }
        self.keys.set_current(version);
        self.announce_version(now);
    }

    pub(super) fn observe_key_version(&mut self, now: Millis, version: u32, from: SocketAddrV4) {
        if let Some(from) = self.keys.observe(now, version, from) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
    }

    /// Announces the versions in force to some peers and to agents. Further announcements follow
    /// for [`VERSION_ANNOUNCE_DURATION`].
    pub(super) fn announce_version(&mut self, now: Millis) {
        self.timers.announce_until = now.plus(VERSION_ANNOUNCE_DURATION);
        self.timers.agent_announcement = now;
        let class = self.announcement_class(true);
        let mut peers = self
            .peers
            .pick_some(&mut self.rng, VERSION_FANOUT - 1, None);
        let remote = self.peers.pick_remote(&mut self.rng);
        peers.extend(remote.filter(|remote| !peers.contains(remote)));
        for peer in peers {
            let message = PeerMessage::Gossip(self.gossip_body(0, None));
            self.send(now, class, peer, message);
        }
        self.announce_to_agents_due(now);
    }

    /// Returns a gossip body with the record `first` and as many queued changes as fit into `room`
    /// bytes in total.
    pub(super) fn gossip_body(&mut self, room: usize, first: Option<MemberRecord>) -> GossipBody {
        let list = &self.list;
        let used = first.as_ref().map_or(0, MemberRecord::wire_len);
        let balancers = list.balancers().len();
        let room = room.saturating_sub(used + MESSAGE_FIELDS_LEN);
        let len_of = |address| {
            let record = list.find(address)?;
            Some(record.message_copy().wire_len())
        };
        let taken = self.queue.take(room, balancers, len_of);
        let mut members: Vec<MemberRecord> = first.into_iter().collect();
        let more = taken.into_iter().filter_map(|address| list.find(address));
        members.extend(more.map(MemberRecord::message_copy));
        GossipBody {
            members,
            digest: list.digest(),
            key_version: self.keys.current(),
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
        if self.datagram_budget.take(now, class, bytes) {
            self.actions.push(MemberAction::Send { to, message });
        }
    }
}
