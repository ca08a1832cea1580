//! What other balancers tell of members.

use std::net::SocketAddrV4;

use rand::Rng;

use super::{
    MemberProtocol,
    MAX_PASSED_ON,
    MISMATCH_BUSY,
    MISMATCH_QUIET,
    SETTLED_AGE,
    SETTLED_MISMATCHES,
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
        MergeVerdict,
        PeerMessage, //
    },
    Millis, //
};

impl MemberProtocol {
    pub(super) fn accuse(&mut self, now: Millis, target: SocketAddrV4, state: MemberState) {
        let Some(record) = self.list.find(target) else {
            return;
        };
        if record.state < state {
            let accusation = record.with_state(state);
            self.take_over(now, accusation, true);
        }
    }

    /// Merges a record and does what a change calls for.
    pub(super) fn take_over(
        &mut self,
        now: Millis,
        record: MemberRecord,
        own_verdict: bool,
    ) -> MergeVerdict {
        let address = record.address;
        let verdict = self.list.merge(now, record);
        if let Some(key) = verdict.taken() {
            if self.is_passed_on(key) {
                self.queue.push(address);
            }
            self.timers.last_change = now;
            self.mismatches = 0;
            self.actions.push(MemberAction::MemberChanged(key));
            self.follow_state(now, key, own_verdict);
            self.refresh_peers();
        }
        verdict
    }

    /// Returns whether changes of the member are passed on now. Suspicions of agents aren't: the
    /// balancers that expect its heartbeats tell the agent themselves.
    pub(super) fn is_passed_on(&self, key: MemberKey) -> bool {
        self.list.get(key).is_some_and(|record| {
            record.role == MemberRole::Balancer || record.state != MemberState::Suspect
        })
    }

    pub(super) fn follow_state(&mut self, now: Millis, key: MemberKey, own_verdict: bool) {
        let Some(record) = self.list.get(key) else {
            return;
        };
        match record.state {
            MemberState::Suspect => self.detector.suspect(now, record, own_verdict),
            MemberState::Dead => {
                self.detector.clear(record.address);
                self.detector.heard(record.address);
                self.watch.remove(record.address);
            }
            _ => self.detector.clear(record.address),
        }
    }

    pub(super) fn on_gossip(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        version: u32,
        gossip: GossipBody,
    ) {
        self.absorb(now, from, gossip);
        if version < self.versions.held() {
            let class = self.notice_class(true);
            let message = PeerMessage::Gossip(self.changes(0, None));
            self.send(now, class, from, message);
        }
    }

    /// Takes changes over and compares the sender's digest.
    pub(super) fn absorb(&mut self, now: Millis, from: SocketAddrV4, gossip: GossipBody) {
        self.merge_all(now, from, gossip.members);
        self.saw_keys(now, gossip.key_version, from);
        if gossip.digest == 0 {
            return;
        }
        if gossip.digest == self.list.digest() {
            self.mismatch_since = None;
            return;
        }
        self.mismatches += 1;
        let since = *self.mismatch_since.get_or_insert(now);
        let settled = now.since(self.timers.last_change) >= MISMATCH_QUIET
            && self.mismatches >= SETTLED_MISMATCHES;
        let busy = now.since(since) >= MISMATCH_BUSY;
        if (settled || busy) && now >= self.timers.sync && self.bulk.has_room(now) {
            self.start_sync(now, from, SYNC_INTERVAL);
        }
    }

    pub(super) fn start_sync(&mut self, now: Millis, with: SocketAddrV4, interval: Millis) {
        let jitter = Millis(self.rng.random_range(0..=interval.0 / 2));
        self.timers.sync = now.plus(interval).plus(jitter);
        self.mismatch_since = None;
        self.mismatches = 0;
        self.bulk.charge(now, size_of_val(self.list.buckets()));
        self.actions.push(MemberAction::Sync { with });
    }

    pub(super) fn synced(&mut self, now: Millis, peer: SocketAddrV4, records: Vec<MemberRecord>) {
        self.joined = true;
        let newer = self.newer_than(&records);
        self.merge_bulk(now, peer, records);
        if newer.is_empty() {
            return;
        }
        let bytes: usize = newer.iter().map(MemberRecord::wire_len).sum();
        self.bulk.charge(now, bytes);
        self.actions.push(MemberAction::Push {
            to: peer,
            records: newer,
        });
    }

    /// Returns the own records that are newer than those a peer sent for the same members.
    pub(super) fn newer_than(&self, records: &[MemberRecord]) -> Vec<MemberRecord> {
        records
            .iter()
            .filter_map(|record| {
                let held = self.list.find(record.address)?;
                held.cmp_age(record).is_gt().then(|| held.for_message())
            })
            .collect()
    }

    /// Merges records of a bulk sync. A large batch isn't passed on one by one: whoever lacks it
    /// gets it by a sync of its own at a fraction of the bytes.
    pub(super) fn merge_bulk(
        &mut self,
        now: Millis,
        peer: SocketAddrV4,
        records: Vec<MemberRecord>,
    ) {
        let waiting = (records.len() > MAX_PASSED_ON).then(|| self.queue.clone());
        self.merge_all(now, peer, records);
        if let Some(waiting) = waiting {
            self.queue = waiting;
            self.queue.push(self.own.address);
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
        if record.address == self.own.address {
            self.refute(now, &record);
            return;
        }
        if let Some(held) = self.list.find(record.address) {
            record.complete_from(held);
        }
        if record.state.is_accusation() && self.doubts(now, from, &record) {
            self.challenge(record);
            return;
        }
        if let MergeVerdict::Stale(key) = self.take_over(now, record, false) {
            let settled = self.list.changed_at(key);
            if settled.is_some_and(|changed| now.since(changed) >= SETTLED_AGE) {
                if let Some(held) = self.list.get(key) {
                    self.queue.push(held.address);
                }
            }
        }
    }

    /// Raises the own sequence or incarnation above a record that contradicts the own one.
    pub(super) fn refute(&mut self, now: Millis, record: &MemberRecord) {
        if record.cmp_age(&self.own).is_le() {
            return;
        }
        self.own.supersede(record);
        self.publish_own(now);
    }

    pub(super) fn publish_own(&mut self, now: Millis) {
        self.take_over(now, self.own.clone(), false);
    }
}
