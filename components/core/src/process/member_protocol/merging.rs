//! Merging of records from other members.

use std::net::SocketAddrV4;

use rand::Rng;

use super::{
    MemberProtocol,
    MAX_GOSSIPED_BATCH,
    MAX_MISMATCH_TIME,
    STABLE_LIST_MISMATCHES,
    STABLE_LIST_TIME,
    STABLE_RECORD_AGE,
    SYNC_INTERVAL, //
};
use crate::{
    process::{
        GossipBody,
        MemberAction,
        MemberKey,
        MemberRecord,
        MemberRole,
        MemberState,
        MergeOutcome,
        PeerMessage, //
    },
    Millis, //
};

impl MemberProtocol {
    /// Gives a member a more severe state, as a failure report of this balancer.
    pub(super) fn report_failure(&mut self, now: Millis, target: SocketAddrV4, state: MemberState) {
        let Some(record) = self.list.find(target) else {
            return;
        };
        if record.state < state {
            let report = record.with_state(state);
            self.apply_record(now, report, true);
        }
    }

    /// Merges a record. If the list changes, queues the change for gossip and updates what depends
    /// on it.
    pub(super) fn apply_record(
        &mut self,
        now: Millis,
        record: MemberRecord,
        is_own_report: bool,
    ) -> MergeOutcome {
        let address = record.address;
        let outcome = self.list.merge(now, record);
        if let Some(key) = outcome.accepted() {
            if self.is_gossiped(key) {
                self.queue.push(address);
            }
            self.timers.last_change = now;
            self.mismatches = 0;
            self.actions.push(MemberAction::MemberChanged(key));
            self.update_detector(now, key, is_own_report);
            self.refresh_peers();
        }
        outcome
    }

    /// Returns whether the current state of the member is gossiped. A suspicion of an agent isn't,
    /// because the balancers that receive the agent's heartbeats report it to the agent in their
    /// acks.
    pub(super) fn is_gossiped(&self, key: MemberKey) -> bool {
        self.list.get(key).is_some_and(|record| {
            record.role == MemberRole::Balancer || record.state != MemberState::Suspect
        })
    }

    pub(super) fn update_detector(&mut self, now: Millis, key: MemberKey, is_own_report: bool) {
        let Some(record) = self.list.get(key) else {
            return;
        };
        match record.state {
            MemberState::Suspect => self.detector.add_suspicion(now, record, is_own_report),
            MemberState::Dead => {
                self.detector.clear_suspicion(record.address);
                self.detector.cancel_probes(record.address);
                self.monitor.remove(record.address);
            }
            _ => self.detector.clear_suspicion(record.address),
        }
    }

    pub(super) fn on_gossip(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        version: u32,
        gossip: GossipBody,
    ) {
        self.apply_gossip(now, from, gossip);
        if version < self.versions.current() {
            let class = self.announcement_class(true);
            let message = PeerMessage::Gossip(self.gossip_body(0, None));
            self.send(now, class, from, message);
        }
    }

    /// Merges gossiped records and starts a bulk sync if digests have differed for long enough.
    pub(super) fn apply_gossip(&mut self, now: Millis, from: SocketAddrV4, gossip: GossipBody) {
        self.merge_all(now, from, gossip.members);
        self.observe_key_version(now, gossip.key_version, from);
        if gossip.digest == 0 {
            return;
        }
        if gossip.digest == self.list.digest() {
            self.first_mismatch = None;
            return;
        }
        self.mismatches += 1;
        let since = *self.first_mismatch.get_or_insert(now);
        let list_is_stable = now.since(self.timers.last_change) >= STABLE_LIST_TIME
            && self.mismatches >= STABLE_LIST_MISMATCHES;
        let mismatch_persists = now.since(since) >= MAX_MISMATCH_TIME;
        if (list_is_stable || mismatch_persists)
            && now >= self.timers.sync
            && self.bulk_budget.has_room(now)
        {
            self.start_sync(now, from, SYNC_INTERVAL);
        }
    }

    pub(super) fn start_sync(&mut self, now: Millis, with: SocketAddrV4, interval: Millis) {
        let jitter = Millis(self.rng.random_range(0..=interval.0 / 2));
        self.timers.sync = now.plus(interval).plus(jitter);
        self.first_mismatch = None;
        self.mismatches = 0;
        self.bulk_budget
            .charge(now, size_of_val(self.list.buckets()));
        self.actions.push(MemberAction::Sync { with });
    }

    pub(super) fn synced(&mut self, now: Millis, peer: SocketAddrV4, records: Vec<MemberRecord>) {
        self.joined = true;
        let newer = self.newer_records(&records);
        self.merge_bulk(now, peer, records);
        if newer.is_empty() {
            return;
        }
        let bytes: usize = newer.iter().map(MemberRecord::wire_len).sum();
        self.bulk_budget.charge(now, bytes);
        self.actions.push(MemberAction::Push {
            to: peer,
            records: newer,
        });
    }

    /// Returns the records of this balancer that are newer than those in `records` of the same
    /// members.
    pub(super) fn newer_records(&self, records: &[MemberRecord]) -> Vec<MemberRecord> {
        records
            .iter()
            .filter_map(|record| {
                let held = self.list.find(record.address)?;
                held.cmp_age(record).is_gt().then(|| held.message_copy())
            })
            .collect()
    }

    /// Merges records of a bulk sync. Changes from a large batch aren't gossiped: members that lack
    /// them get them from a bulk sync of their own, at a fraction of the bytes.
    pub(super) fn merge_bulk(
        &mut self,
        now: Millis,
        peer: SocketAddrV4,
        records: Vec<MemberRecord>,
    ) {
        let kept_queue = (records.len() > MAX_GOSSIPED_BATCH).then(|| self.queue.clone());
        self.merge_all(now, peer, records);
        if let Some(kept_queue) = kept_queue {
            self.queue = kept_queue;
            self.queue.push(self.own_record.address);
        }
    }

    pub(super) fn merge_all(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        records: impl IntoIterator<Item = MemberRecord>,
    ) {
        for record in records {
            self.merge_one(now, from, record);
        }
    }

    pub(super) fn merge_one(&mut self, now: Millis, from: SocketAddrV4, mut record: MemberRecord) {
        if record.address == self.own_record.address {
            self.refute(now, &record);
            return;
        }
        if let Some(held) = self.list.find(record.address) {
            record.complete_from(held);
        }
        if record.state.is_failure_report() && self.is_contradicted(now, from, &record) {
            self.queue_verification(record);
            return;
        }
        if let MergeOutcome::Stale(key) = self.apply_record(now, record, false) {
            let changed_at = self.list.changed_at(key);
            if changed_at.is_some_and(|changed| now.since(changed) >= STABLE_RECORD_AGE) {
                if let Some(held) = self.list.get(key) {
                    self.queue.push(held.address);
                }
            }
        }
    }

    /// Makes the own record newer than `record`, a newer record of this balancer that it hasn't
    /// announced itself.
    pub(super) fn refute(&mut self, now: Millis, record: &MemberRecord) {
        if record.cmp_age(&self.own_record).is_le() {
            return;
        }
        self.own_record.supersede(record);
        self.publish_own_record(now);
    }

    pub(super) fn publish_own_record(&mut self, now: Millis) {
        self.apply_record(now, self.own_record.clone(), false);
    }
}
