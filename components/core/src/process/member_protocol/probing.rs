//! Probes, suspicions and the verification of failure reports.

use std::net::SocketAddrV4;

use rand::{
    seq::IndexedRandom,
    Rng, //
};

use super::{
    MemberProtocol,
    INDIRECT_PROBES,
    JOIN_INTERVAL,
    MAX_BOOTSTRAP_INTERVAL,
    MAX_VERIFICATIONS,
    NEIGHBOUR_PROBES,
    NEIGHBOUR_PROBE_LIMIT,
    PROBE_INTERVAL,
    VERIFICATIONS_PER_TICK,
    VERIFY_ALL_LIMIT,
    VERIFY_ONE_IN, //
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
        if let Some(from) = self.versions.next_source(now) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        if let Some(from) = self.keys.next_source(now) {
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
        if self.peers.is_empty() || now >= self.timers.bootstrap {
            self.timers.bootstrap = now.plus(self.bootstrap_interval);
            self.bootstrap_interval =
                Millis(self.bootstrap_interval.0 * 2).min(MAX_BOOTSTRAP_INTERVAL);
            self.contact_bootstrap(now);
        }
        if !self.joined && !self.peers.is_empty() && now >= self.timers.sync {
            if let Some(peer) = self.peers.pick(&mut self.rng) {
                self.start_sync(now, peer, JOIN_INTERVAL);
            }
        }
    }

    /// Probes a bootstrap address that isn't known as the address of a live balancer, and sends the
    /// own record along.
    ///
    /// This continues after the first peer is known, because processes that start together may
    /// otherwise form groups that don't know of each other.
    pub(super) fn contact_bootstrap(&mut self, now: Millis) {
        let list = &self.list;
        let unknown = |address: &&SocketAddrV4| {
            let record = list.find(**address);
            record.is_none_or(|record| record.state == MemberState::Dead)
        };
        let unknown_addresses: Vec<SocketAddrV4> =
            self.bootstrap.iter().filter(unknown).copied().collect();
        let Some(&address) = unknown_addresses.choose(&mut self.rng) else {
            return;
        };
        self.send_introduction(now, address);
    }

    /// Sends the own record to an agent that isn't a known live member. The agent answers with its
    /// record and with the balancers that it uses, through which this balancer can join the others.
    pub(super) fn introduce_to(&mut self, now: Millis, agent: SocketAddrV4) {
        let record = self.list.find(agent);
        if record.is_some_and(|record| record.state != MemberState::Dead) {
            return;
        }
        self.send_introduction(now, agent);
    }

    /// Sends a probe with the own record to a process that may not know it.
    fn send_introduction(&mut self, now: Millis, to: SocketAddrV4) {
        let probe = ProbeBody {
            number: self.detector.next_number(),
            gossip: self.gossip_body(0, None),
            member: Some(self.own_record.clone()),
            balancers: Vec::new(),
        };
        self.send(now, ByteClass::Liveness, to, PeerMessage::Probe(probe));
    }

    pub(super) fn probe(&mut self, now: Millis, target: SocketAddrV4) {
        if let Some(number) = self.detector.start_probe(now, target) {
            self.send_probe(now, target, number, None);
        }
    }

    pub(super) fn send_probe(
        &mut self,
        now: Millis,
        target: SocketAddrV4,
        number: u32,
        report: Option<MemberRecord>,
    ) {
        let disputed_record = report.or_else(|| self.record_to_refute(target));
        let member = disputed_record.is_some().then(|| self.own_record.clone());
        let room = self.gossip_room(now) / 2;
        let probe = ProbeBody {
            number,
            gossip: self.gossip_body(room, disputed_record),
            member,
            balancers: Vec::new(),
        };
        self.send(now, ByteClass::Liveness, target, PeerMessage::Probe(probe));
    }

    /// Handles the timeouts of the failure detector: requests indirect probes, raises and confirms
    /// suspicions, and probes suspected members.
    ///
    /// When indirect probes are requested, the probe is also repeated directly. Under 5% packet
    /// loss this makes false suspicions ten times rarer; with 530 balancers, each of them costs
    /// a changed record at every balancer.
    pub(super) fn check_failures(&mut self, now: Millis) {
        for (number, target) in self.detector.due_indirect(now) {
            self.send_probe(now, target, number, None);
            let helpers = self
                .peers
                .pick_some(&mut self.rng, INDIRECT_PROBES, Some(target));
            for helper in helpers {
                let message = PeerMessage::ProbeRequest { number, target };
                self.send(now, ByteClass::Liveness, helper, message);
            }
        }
        for target in self.detector.take_failed(now) {
            self.handle_probe_timeout(now, target);
        }
        for target in self.detector.due_suspicion_probes(now) {
            let number = self.detector.next_number();
            self.send_probe(now, target, number, None);
        }
        for target in self.detector.take_confirmed(now) {
            self.report_failure(now, target, MemberState::Dead);
        }
    }

    /// Handles a probe that timed out. The target is declared dead if the probe verified another
    /// balancer's report of its death, because that balancer has already waited for a refutation.
    /// Otherwise the target is suspected.
    pub(super) fn handle_probe_timeout(&mut self, now: Millis, target: SocketAddrV4) {
        let confirmed = self
            .reported_dead
            .iter()
            .position(|&address| address == target);
        match confirmed {
            Some(index) => {
                self.reported_dead.swap_remove(index);
                self.report_failure(now, target, MemberState::Dead);
            }
            None => self.suspect(now, target),
        }
    }

    /// Suspects a member. If it is a balancer, further balancers of its data centre are probed.
    pub(super) fn suspect(&mut self, now: Millis, target: SocketAddrV4) {
        self.report_failure(now, target, MemberState::Suspect);
        let Some(record) = self.list.find(target) else {
            return;
        };
        if record.role != MemberRole::Balancer
            || self.detector.pending_probes() >= NEIGHBOUR_PROBE_LIMIT
        {
            return;
        }
        let centre = record.data_centre.clone();
        for _ in 0..NEIGHBOUR_PROBES {
            let neighbour = self.random_neighbour(&centre);
            if let Some(neighbour) = neighbour {
                self.probe(now, neighbour);
            }
        }
    }

    /// Returns a random other balancer of the data centre `centre` that is neither suspected nor
    /// dead.
    pub(super) fn random_neighbour(&mut self, centre: &str) -> Option<SocketAddrV4> {
        let list = &self.list;
        let own_address = self.own_record.address;
        let neighbours: Vec<SocketAddrV4> = list
            .balancers()
            .iter()
            .filter_map(|&key| list.get(key))
            .filter(|record| record.data_centre == centre && record.address != own_address)
            .filter(|record| !record.state.is_failure_report())
            .map(|record| record.address)
            .collect();
        neighbours.choose(&mut self.rng).copied()
    }

    /// Probes some of the members whose failure reports wait for verification.
    pub(super) fn verify_due(&mut self, now: Millis) {
        for _ in 0..VERIFICATIONS_PER_TICK {
            if !self.datagram_budget.has_room(now) {
                return;
            }
            let Some(report) = self.verifications.pop() else {
                return;
            };
            let target = report.address;
            if let Some(number) = self.detector.start_probe(now, target) {
                if report.state == MemberState::Dead {
                    self.reported_dead.push(target);
                }
                self.send_probe(now, target, number, Some(report));
            }
        }
    }

    pub(super) fn random_dead_balancer(&mut self) -> Option<SocketAddrV4> {
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
        let sequence = self.own_record.sequence;
        let is_introduction = probe.member.is_some();
        self.merge_all(now, from, probe.member);
        self.apply_gossip(now, from, probe.gossip);
        let refuted = self.own_record.sequence != sequence;
        let disputed_record = self.record_to_refute(from);
        let room = self.gossip_room(now) / 2;
        let ack = ProbeBody {
            number: probe.number,
            gossip: self.gossip_body(room, disputed_record),
            member: (refuted || is_introduction).then(|| self.own_record.clone()),
            balancers: Vec::new(),
        };
        self.send(now, ByteClass::Liveness, from, PeerMessage::ProbeAck(ack));
    }

    pub(super) fn on_probe_ack(&mut self, now: Millis, from: SocketAddrV4, probe: ProbeBody) {
        self.merge_all(now, from, probe.member);
        if !probe.balancers.is_empty() {
            self.add_bootstrap(probe.balancers);
            self.timers.bootstrap = now;
        }
        if let Some(target) = self.detector.finish_probe(probe.number) {
            self.reported_dead.retain(|&address| address != target);
            self.monitor.record_response(now, target);
        }
        self.monitor.record_response(now, from);
        if let Some(relay) = self.detector.finish_relay(probe.number) {
            let ack = ProbeBody {
                number: relay.requester_number,
                gossip: self.gossip_body(0, None),
                member: self.list.find(from).cloned(),
                balancers: Vec::new(),
            };
            let message = PeerMessage::ProbeAck(ack);
            self.send(now, ByteClass::Liveness, relay.requester, message);
        }
        self.apply_gossip(now, from, probe.gossip);
    }

    pub(super) fn on_probe_request(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        number: u32,
        target: SocketAddrV4,
    ) {
        if let Some(number) = self.detector.start_relay(now, from, number) {
            self.send_probe(now, target, number, None);
        }
    }

    /// Returns whether this balancer has better information than `from` on whether the member of a
    /// failure report is alive.
    ///
    /// That is the case if the member sent a message recently, or if `from` is farther from it than
    /// this balancer. Without the second rule, members on both sides of a network partition would
    /// be declared dead by balancers of their own region when it ends.
    pub(super) fn is_contradicted(
        &self,
        now: Millis,
        from: SocketAddrV4,
        report: &MemberRecord,
    ) -> bool {
        let Some(held) = self.list.find(report.address) else {
            return false;
        };
        let contradicts = held.incarnation == report.incarnation
            && held.sequence <= report.sequence
            && held.state != MemberState::Dead;
        if !contradicts || from == report.address {
            return false;
        }
        if self.monitor.heard_recently(now, report.address) {
            return true;
        }
        let reporter = self.list.find(from);
        let reporter_proximity = reporter.map_or(0, |reporter| reporter.proximity(report));
        reporter_proximity < self.own_record.proximity(report)
    }

    /// Queues a failure report for verification by this balancer. If many are queued, most
    /// balancers leave a report about an agent that they don't monitor to others.
    pub(super) fn queue_verification(&mut self, report: MemberRecord) {
        let is_verifier = report.role == MemberRole::Balancer
            || self.verifications.len() < VERIFY_ALL_LIMIT
            || self.monitor.contains(report.address)
            || self.rng.random_ratio(1, VERIFY_ONE_IN);
        let is_queued = self
            .verifications
            .iter()
            .any(|queued| queued.address == report.address);
        if is_verifier && !is_queued && self.verifications.len() < MAX_VERIFICATIONS {
            self.verifications.push(report);
        }
    }
}
