//! Probes, suspicion and the doubts about what others say.

use std::net::SocketAddrV4;

use rand::{
    seq::IndexedRandom,
    Rng, //
};

use super::{
    MemberProtocol,
    CHALLENGES_PER_TICK,
    CHALLENGE_ONE_IN,
    FEW_CHALLENGES,
    INDIRECT_PROBES,
    JOIN_INTERVAL,
    MAX_CHALLENGES,
    MAX_SEEK_INTERVAL,
    PROBE_INTERVAL,
    WIDER_LIMIT,
    WIDER_PROBES, //
};
use crate::{
    process::{
        ByteClass,
        MemberAction,
        MemberRecord,
        MemberRole,
        MemberState,
        PeerMessage,
        ProbeBody, //
    },
    Millis, //
};

impl MemberProtocol {
    pub(super) fn fetch_due(&mut self, now: Millis) {
        if let Some(from) = self.versions.due(now) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        if let Some(from) = self.keys.due(now) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
    }

    pub(super) fn probe_due(&mut self, now: Millis) {
        if now < self.timers.probe {
            return;
        }
        self.timers.probe = now.plus(PROBE_INTERVAL);
        if let Some(peer) = self.peers.pick(&mut self.rng) {
            self.probe(now, peer);
        }
        if self.peers.is_empty() || now >= self.timers.seek {
            self.timers.seek = now.plus(self.seek_interval);
            self.seek_interval = Millis(self.seek_interval.0 * 2).min(MAX_SEEK_INTERVAL);
            self.seek(now);
        }
        if !self.joined && !self.peers.is_empty() && now >= self.timers.sync {
            if let Some(peer) = self.peers.pick(&mut self.rng) {
                self.start_sync(now, peer, JOIN_INTERVAL);
            }
        }
    }

    /// Introduces this member at a bootstrap address that isn't known as a live balancer.
    ///
    /// This goes on after the first peer is known, because processes that start together may
    /// otherwise form groups that don't know of each other.
    pub(super) fn seek(&mut self, now: Millis) {
        let list = &self.list;
        let unknown = |address: &&SocketAddrV4| {
            let record = list.find(**address);
            record.is_none_or(|record| record.state == MemberState::Dead)
        };
        let sought: Vec<SocketAddrV4> = self.bootstrap.iter().filter(unknown).copied().collect();
        let Some(&address) = sought.choose(&mut self.rng) else {
            return;
        };
        let probe = ProbeBody {
            number: self.detector.next_number(),
            gossip: self.changes(0, None),
            member: Some(self.own.clone()),
        };
        self.send(now, ByteClass::Liveness, address, PeerMessage::Probe(probe));
    }

    pub(super) fn probe(&mut self, now: Millis, target: SocketAddrV4) {
        if let Some(number) = self.detector.begin(now, target) {
            self.send_probe(now, target, number, None);
        }
    }

    pub(super) fn send_probe(
        &mut self,
        now: Millis,
        target: SocketAddrV4,
        number: u32,
        accusation: Option<MemberRecord>,
    ) {
        let disputed_record = accusation.or_else(|| self.belief_about(target));
        let member = disputed_record.is_some().then(|| self.own.clone());
        let room = self.change_room(now) / 2;
        let probe = ProbeBody {
            number,
            gossip: self.changes(room, disputed_record),
            member,
        };
        self.send(now, ByteClass::Liveness, target, PeerMessage::Probe(probe));
    }

    /// Widens, fails and confirms what is due in the detector.
    ///
    /// A widened probe is also repeated directly. Under 5% loss this makes false suspicions ten
    /// times rarer; at 530 balancers each of them costs a change at every balancer.
    pub(super) fn judge_due(&mut self, now: Millis) {
        for (number, target) in self.detector.widen(now) {
            self.send_probe(now, target, number, None);
            let helpers = self
                .peers
                .pick_some(&mut self.rng, INDIRECT_PROBES, Some(target));
            for helper in helpers {
                let message = PeerMessage::ProbeRequest { number, target };
                self.send(now, ByteClass::Liveness, helper, message);
            }
        }
        for target in self.detector.failed(now) {
            self.fail(now, target);
        }
        for target in self.detector.due_probes(now) {
            let number = self.detector.next_number();
            self.send_probe(now, target, number, None);
        }
        for target in self.detector.confirmed(now) {
            self.accuse(now, target, MemberState::Dead);
        }
    }

    /// Judges a member that answered no probe: dead if it was asked because another balancer takes
    /// it for dead, which has waited for a refutation already, and suspect otherwise.
    pub(super) fn fail(&mut self, now: Millis, target: SocketAddrV4) {
        let confirmed = self
            .confirming
            .iter()
            .position(|&address| address == target);
        match confirmed {
            Some(at) => {
                self.confirming.swap_remove(at);
                self.accuse(now, target, MemberState::Dead);
            }
            None => self.suspect(now, target),
        }
    }

    pub(super) fn suspect(&mut self, now: Millis, target: SocketAddrV4) {
        self.accuse(now, target, MemberState::Suspect);
        let Some(record) = self.list.find(target) else {
            return;
        };
        if record.role != MemberRole::Balancer || self.detector.pending() >= WIDER_LIMIT {
            return;
        }
        let centre = record.data_centre.clone();
        for _ in 0..WIDER_PROBES {
            let neighbour = self.neighbour(&centre);
            if let Some(neighbour) = neighbour {
                self.probe(now, neighbour);
            }
        }
    }

    /// Returns a random balancer of a data centre that isn't suspected.
    pub(super) fn neighbour(&mut self, centre: &str) -> Option<SocketAddrV4> {
        let list = &self.list;
        let own = self.own.address;
        let near: Vec<SocketAddrV4> = list
            .balancers()
            .iter()
            .filter_map(|&key| list.get(key))
            .filter(|record| record.data_centre == centre && record.address != own)
            .filter(|record| !record.state.is_accusation())
            .map(|record| record.address)
            .collect();
        near.choose(&mut self.rng).copied()
    }

    /// Asks some of the accused members to refute.
    pub(super) fn challenge_due(&mut self, now: Millis) {
        for _ in 0..CHALLENGES_PER_TICK {
            if !self.budget.has_room(now) {
                return;
            }
            let Some(accusation) = self.challenges.pop() else {
                return;
            };
            let target = accusation.address;
            if let Some(number) = self.detector.begin(now, target) {
                if accusation.state == MemberState::Dead {
                    self.confirming.push(target);
                }
                self.send_probe(now, target, number, Some(accusation));
            }
        }
    }

    pub(super) fn dead_balancer(&mut self) -> Option<SocketAddrV4> {
        let dead: Vec<SocketAddrV4> = self
            .list
            .iter()
            .map(|(_, record)| record)
            .filter(|record| record.role == MemberRole::Balancer)
            .filter(|record| record.state == MemberState::Dead)
            .map(|record| record.address)
            .collect();
        dead.choose(&mut self.rng).copied()
    }

    pub(super) fn on_probe(&mut self, now: Millis, from: SocketAddrV4, probe: ProbeBody) {
        let sequence = self.own.sequence;
        let introduced = probe.member.is_some();
        self.merge_all(now, from, probe.member);
        self.absorb(now, from, probe.gossip);
        let refuted = self.own.sequence != sequence;
        let disputed_record = self.belief_about(from);
        let room = self.change_room(now) / 2;
        let answer = ProbeBody {
            number: probe.number,
            gossip: self.changes(room, disputed_record),
            member: (refuted || introduced).then(|| self.own.clone()),
        };
        self.send(
            now,
            ByteClass::Liveness,
            from,
            PeerMessage::ProbeAck(answer),
        );
    }

    pub(super) fn on_probe_ack(&mut self, now: Millis, from: SocketAddrV4, probe: ProbeBody) {
        self.merge_all(now, from, probe.member);
        if let Some(target) = self.detector.answered(probe.number) {
            self.confirming.retain(|&address| address != target);
            self.watch.answered(now, target);
        }
        self.watch.answered(now, from);
        if let Some(relay) = self.detector.relayed(probe.number) {
            let answer = ProbeBody {
                number: relay.asked_number,
                gossip: self.changes(0, None),
                member: self.list.find(from).cloned(),
            };
            let message = PeerMessage::ProbeAck(answer);
            self.send(now, ByteClass::Liveness, relay.asker, message);
        }
        self.absorb(now, from, probe.gossip);
    }

    pub(super) fn on_probe_request(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        number: u32,
        target: SocketAddrV4,
    ) {
        if let Some(number) = self.detector.relay(now, from, number) {
            self.send_probe(now, target, number, None);
        }
    }

    /// Returns whether this balancer knows better than `from` that a member answers.
    ///
    /// The member was heard lately, or the accuser is farther from it than this balancer. Without
    /// the second rule, the end of a split would make both sides take their own members for dead.
    pub(super) fn doubts(
        &self,
        now: Millis,
        from: SocketAddrV4,
        accusation: &MemberRecord,
    ) -> bool {
        let Some(held) = self.list.find(accusation.address) else {
            return false;
        };
        let contradicts = held.incarnation == accusation.incarnation
            && held.sequence <= accusation.sequence
            && held.state != MemberState::Dead;
        if !contradicts || from == accusation.address {
            return false;
        }
        if self.watch.is_fresh(now, accusation.address) {
            return true;
        }
        let accuser = self.list.find(from);
        let theirs = accuser.map_or(0, |accuser| accuser.closeness(accusation));
        theirs < self.own.closeness(accusation)
    }

    pub(super) fn challenge(&mut self, accusation: MemberRecord) {
        let close = accusation.role == MemberRole::Balancer
            || self.challenges.len() < FEW_CHALLENGES
            || self.watch.knows(accusation.address)
            || self.rng.random_ratio(1, CHALLENGE_ONE_IN);
        let queued = self
            .challenges
            .iter()
            .any(|waiting| waiting.address == accusation.address);
        if close && !queued && self.challenges.len() < MAX_CHALLENGES {
            self.challenges.push(accusation);
        }
    }
}
