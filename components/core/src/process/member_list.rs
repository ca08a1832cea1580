//! The member list of a balancer.

use std::{
    cmp::Ordering,
    net::SocketAddrV4, //
};

use super::{
    stable_hash::{
        address_hash,
        address_to_number,
        record_hash, //
    },
    MemberRecord,
    MemberRole,
    MemberState, //
};
use crate::Millis;

/// Number of buckets, by the hash of the address, each of which has a digest for bulk syncs.
pub const BUCKETS: usize = 64;

/// Time for which the record of a dead member is kept, so that stale records of its incarnation are
/// recognised. After a network partition between regions, which may last an hour, such records
/// arrive.
pub const DEAD_RETENTION: Millis = Millis(2 * 3_600 * 1_000);

/// Index of a member in the arena of a [`MemberList`]; valid until the member is pruned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey(pub u32);

/// Outcome of merging a record into a [`MemberList`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The list held no record for the address.
    Added(MemberKey),
    /// The record is newer than the one held, which it replaces.
    Changed(MemberKey),
    /// The record belongs to a newer process at the address and replaces the one held.
    Replaced(MemberKey),
    /// The record is as new as the one held, which stays.
    Unchanged(MemberKey),
    /// The record is older than the one held, which stays.
    Stale(MemberKey),
}

impl MergeOutcome {
    /// Returns the key of the member if the record was added or has replaced the one held, and
    /// `None` if the list is unchanged.
    pub fn accepted(self) -> Option<MemberKey> {
        match self {
            MergeOutcome::Added(key) | MergeOutcome::Changed(key) | MergeOutcome::Replaced(key) => {
                Some(key)
            }
            MergeOutcome::Unchanged(_) | MergeOutcome::Stale(_) => None,
        }
    }
}

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    changed_at: Millis,
}

/// All members known to a balancer, in an arena with an index that is sorted by address.
#[derive(Clone, Debug)]
pub struct MemberList {
    arena: Vec<Option<MemberEntry>>,
    free: Vec<MemberKey>,
    index: Vec<(u64, MemberKey)>,
    buckets: [u64; BUCKETS],
    balancers: Vec<MemberKey>,
    balancer_epoch: u64,
    live_count: usize,
}

impl Default for MemberList {
    fn default() -> MemberList {
        MemberList {
            arena: Vec::new(),
            free: Vec::new(),
            index: Vec::new(),
            buckets: [0; BUCKETS],
            balancers: Vec::new(),
            balancer_epoch: 0,
            live_count: 0,
        }
    }
}

impl MemberList {
    /// Adds `record`, unless the record held for its address is as new or newer.
    pub fn merge(&mut self, now: Millis, record: MemberRecord) -> MergeOutcome {
        let number = address_to_number(record.address);
        let found = self.index.binary_search_by_key(&number, |slot| slot.0);
        let position = match found {
            Ok(position) => position,
            Err(position) => return self.insert(now, position, record),
        };
        let key = self.index[position].1;
        let held = self.record(key);
        match record.cmp_age(held) {
            Ordering::Less => MergeOutcome::Stale(key),
            Ordering::Equal => MergeOutcome::Unchanged(key),
            Ordering::Greater => {
                let replaced = record.incarnation > held.incarnation;
                self.replace(now, key, record);
                match replaced {
                    true => MergeOutcome::Replaced(key),
                    false => MergeOutcome::Changed(key),
                }
            }
        }
    }

    /// Removes members that have been dead for [`DEAD_RETENTION`] and returns their addresses.
    pub fn prune(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut pruned = Vec::new();
        let arena = &mut self.arena;
        let free = &mut self.free;
        self.index.retain(|&(_, key)| {
            let slot = &mut arena[key.0 as usize];
            let expired = slot.as_ref().is_some_and(|entry| {
                entry.record.state == MemberState::Dead
                    && now.since(entry.changed_at) >= DEAD_RETENTION
            });
            if expired {
                pruned.extend(slot.take().map(|entry| entry.record.address));
                free.push(key);
            }
            !expired
        });
        pruned
    }

    /// Returns the key of the member at `address`.
    pub fn key_of(&self, address: SocketAddrV4) -> Option<MemberKey> {
        let number = address_to_number(address);
        let found = self.index.binary_search_by_key(&number, |slot| slot.0);
        found.ok().map(|position| self.index[position].1)
    }

    /// Returns the record of the member at `address`.
    pub fn find(&self, address: SocketAddrV4) -> Option<&MemberRecord> {
        self.key_of(address).map(|key| self.record(key))
    }

    /// Returns the record of the member `key`, or `None` if the member was pruned.
    pub fn get(&self, key: MemberKey) -> Option<&MemberRecord> {
        let slot = self.arena.get(key.0 as usize)?;
        slot.as_ref().map(|entry| &entry.record)
    }

    /// Returns when the record of the member `key` was added or last replaced.
    pub fn changed_at(&self, key: MemberKey) -> Option<Millis> {
        let slot = self.arena.get(key.0 as usize)?;
        slot.as_ref().map(|entry| entry.changed_at)
    }

    /// Returns all members, sorted by address.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberRecord)> {
        self.index.iter().map(|&(_, key)| (key, self.record(key)))
    }

    /// Returns the member at `position` in the order of addresses.
    pub fn by_position(&self, position: usize) -> Option<(MemberKey, &MemberRecord)> {
        let (_, key) = *self.index.get(position)?;
        Some((key, self.record(key)))
    }

    /// Returns the number of members, dead ones included.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the list has no member.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the number of members that aren't dead.
    pub fn live_len(&self) -> usize {
        self.live_count
    }

    /// Returns the balancers that aren't dead.
    pub fn balancers(&self) -> &[MemberKey] {
        &self.balancers
    }

    /// Returns a number that grows whenever [`MemberList::balancers`] changes.
    pub fn balancer_epoch(&self) -> u64 {
        self.balancer_epoch
    }

    /// Returns a digest of all members that aren't dead.
    ///
    /// Dead members are excluded, because processes prune them at different times.
    pub fn digest(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |sum, &bucket| sum.wrapping_add(bucket))
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns the records in the buckets whose digests differ from `theirs`.
    ///
    /// A digest that is missing in `theirs` counts as that of an empty bucket.
    pub fn differing_records(&self, theirs: &[u64]) -> Vec<&MemberRecord> {
        let differs = |record: &MemberRecord| {
            let bucket = bucket_of(record);
            self.buckets[bucket] != theirs.get(bucket).copied().unwrap_or(0)
        };
        self.iter()
            .map(|(_, record)| record)
            .filter(|record| differs(record))
            .collect()
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        size_of::<MemberList>()
            + self.arena.capacity() * size_of::<Option<MemberEntry>>()
            + self.index.capacity() * size_of::<(u64, MemberKey)>()
            + (self.free.capacity() + self.balancers.capacity()) * size_of::<MemberKey>()
    }

    /// Returns the record of a key that the index holds.
    ///
    /// # Panics
    ///
    /// Panics if the member was pruned, which can't happen with a key from the index.
    fn record(&self, key: MemberKey) -> &MemberRecord {
        self.get(key)
            .expect("each key of the index has a record in the arena")
    }

    fn insert(&mut self, now: Millis, position: usize, record: MemberRecord) -> MergeOutcome {
        let key = self.free.pop().unwrap_or_else(|| {
            self.arena.push(None);
            MemberKey(self.arena.len() as u32 - 1)
        });
        self.index
            .insert(position, (address_to_number(record.address), key));
        self.fill(now, key, record);
        MergeOutcome::Added(key)
    }

    fn replace(&mut self, now: Millis, key: MemberKey, record: MemberRecord) {
        if let Some(old) = self.arena[key.0 as usize].take() {
            self.remove_from_totals(key, &old.record);
        }
        self.fill(now, key, record);
    }

    fn fill(&mut self, now: Millis, key: MemberKey, record: MemberRecord) {
        self.add_to_totals(key, &record);
        let changed_at = now;
        self.arena[key.0 as usize] = Some(MemberEntry { record, changed_at });
    }

    fn add_to_totals(&mut self, key: MemberKey, record: &MemberRecord) {
        if record.state == MemberState::Dead {
            return;
        }
        let bucket = &mut self.buckets[bucket_of(record)];
        *bucket = bucket.wrapping_add(record_hash(record));
        self.live_count += 1;
        if record.role == MemberRole::Balancer {
            if let Err(position) = self.balancers.binary_search(&key) {
                self.balancers.insert(position, key);
                self.balancer_epoch += 1;
            }
        }
    }

    fn remove_from_totals(&mut self, key: MemberKey, record: &MemberRecord) {
        if record.state == MemberState::Dead {
            return;
        }
        let bucket = &mut self.buckets[bucket_of(record)];
        *bucket = bucket.wrapping_sub(record_hash(record));
        self.live_count -= 1;
        if let Ok(position) = self.balancers.binary_search(&key) {
            self.balancers.remove(position);
            self.balancer_epoch += 1;
        }
    }
}

fn bucket_of(record: &MemberRecord) -> usize {
    (address_hash(record.address) >> 58) as usize
}
