//! The list of all members.

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

/// Number of bucket digests.
pub const BUCKETS: usize = 64;

/// How long the record of a dead member stays, so that late records of its incarnation are
/// recognised. Regions may lose contact for an hour, after which such records arrive.
pub const DEAD_RETENTION: Millis = Millis(2 * 3_600 * 1_000);

/// Place of a member in the arena of a [`MemberList`]; valid until the member is pruned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey(pub u32);

/// What became of a record that was merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeVerdict {
    /// The address was unknown.
    Added(MemberKey),
    /// The record is newer than the one held.
    MemberChanged(MemberKey),
    /// The record belongs to a newer process at the address.
    Replaced(MemberKey),
    /// The record is the one held.
    Known(MemberKey),
    /// The record is older than the one held.
    Stale(MemberKey),
}

impl MergeVerdict {
    /// Returns the key of the member whose record was taken over, if it was.
    pub fn taken(self) -> Option<MemberKey> {
        match self {
            MergeVerdict::Added(key)
            | MergeVerdict::MemberChanged(key)
            | MergeVerdict::Replaced(key) => Some(key),
            MergeVerdict::Known(_) | MergeVerdict::Stale(_) => None,
        }
    }
}

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    changed: Millis,
}

/// All members known to a balancer, in an arena with an index sorted by address.
#[derive(Clone, Debug)]
pub struct MemberList {
    arena: Vec<Option<MemberEntry>>,
    free: Vec<MemberKey>,
    index: Vec<(u64, MemberKey)>,
    buckets: [u64; BUCKETS],
    balancers: Vec<MemberKey>,
    balancer_epoch: u64,
    live: usize,
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
            live: 0,
        }
    }
}

impl MemberList {
    /// Takes `record` over if it is newer than the one held for its address.
    pub fn merge(&mut self, now: Millis, record: MemberRecord) -> MergeVerdict {
        let number = address_to_number(record.address);
        let found = self.index.binary_search_by_key(&number, |slot| slot.0);
        let at = match found {
            Ok(at) => at,
            Err(at) => return self.insert(now, at, record),
        };
        let key = self.index[at].1;
        let held = self.record(key);
        match record.cmp_age(held) {
            Ordering::Less => MergeVerdict::Stale(key),
            Ordering::Equal => MergeVerdict::Known(key),
            Ordering::Greater => {
                let replaced = record.incarnation > held.incarnation;
                self.replace(now, key, record);
                match replaced {
                    true => MergeVerdict::Replaced(key),
                    false => MergeVerdict::MemberChanged(key),
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
                    && now.since(entry.changed) >= DEAD_RETENTION
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
        found.ok().map(|at| self.index[at].1)
    }

    /// Returns the record of the member at `address`.
    pub fn find(&self, address: SocketAddrV4) -> Option<&MemberRecord> {
        self.key_of(address).map(|key| self.record(key))
    }

    /// Returns the record of the member `key`, if it wasn't pruned.
    pub fn get(&self, key: MemberKey) -> Option<&MemberRecord> {
        let slot = self.arena.get(key.0 as usize)?;
        slot.as_ref().map(|entry| &entry.record)
    }

    /// Returns when the record of the member `key` was last replaced.
    pub fn changed_at(&self, key: MemberKey) -> Option<Millis> {
        let slot = self.arena.get(key.0 as usize)?;
        slot.as_ref().map(|entry| entry.changed)
    }

    /// Returns all members, sorted by address.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberRecord)> {
        self.index.iter().map(|&(_, key)| (key, self.record(key)))
    }

    /// Returns the member at `position` of the order by address.
    pub fn at(&self, position: usize) -> Option<(MemberKey, &MemberRecord)> {
        let (_, key) = *self.index.get(position)?;
        Some((key, self.record(key)))
    }

    /// Returns the number of members, dead ones included.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the number of members that aren't dead.
    pub fn live_len(&self) -> usize {
        self.live
    }

    /// Returns the balancers that aren't dead.
    pub fn balancers(&self) -> &[MemberKey] {
        &self.balancers
    }

    /// Returns a number that changes whenever [`MemberList::balancers`] does.
    pub fn balancer_epoch(&self) -> u64 {
        self.balancer_epoch
    }

    /// Returns the digest of all members that aren't dead.
    ///
    /// Dead members are left out, because processes prune them at different times.
    pub fn digest(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |sum, &bucket| sum.wrapping_add(bucket))
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns the records in those buckets whose digest differs from `theirs`.
    ///
    /// A missing digest counts as that of an empty bucket.
    pub fn differing(&self, theirs: &[u64]) -> Vec<&MemberRecord> {
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
    /// Panics if the member was pruned, which the index excludes.
    fn record(&self, key: MemberKey) -> &MemberRecord {
        self.get(key).expect("the index holds only filled slots")
    }

    fn insert(&mut self, now: Millis, at: usize, record: MemberRecord) -> MergeVerdict {
        let key = self.free.pop().unwrap_or_else(|| {
            self.arena.push(None);
            MemberKey(self.arena.len() as u32 - 1)
        });
        self.index
            .insert(at, (address_to_number(record.address), key));
        self.fill(now, key, record);
        MergeVerdict::Added(key)
    }

    fn replace(&mut self, now: Millis, key: MemberKey, record: MemberRecord) {
        if let Some(old) = self.arena[key.0 as usize].take() {
            self.unaccount(key, &old.record);
        }
        self.fill(now, key, record);
    }

    fn fill(&mut self, now: Millis, key: MemberKey, record: MemberRecord) {
        self.account(key, &record);
        let changed = now;
        self.arena[key.0 as usize] = Some(MemberEntry { record, changed });
    }

    fn account(&mut self, key: MemberKey, record: &MemberRecord) {
        if record.state == MemberState::Dead {
            return;
        }
        let bucket = &mut self.buckets[bucket_of(record)];
        *bucket = bucket.wrapping_add(record_hash(record));
        self.live += 1;
        if record.role == MemberRole::Balancer {
            if let Err(at) = self.balancers.binary_search(&key) {
                self.balancers.insert(at, key);
                self.balancer_epoch += 1;
            }
        }
    }

    fn unaccount(&mut self, key: MemberKey, record: &MemberRecord) {
        if record.state == MemberState::Dead {
            return;
        }
        let bucket = &mut self.buckets[bucket_of(record)];
        *bucket = bucket.wrapping_sub(record_hash(record));
        self.live -= 1;
        if let Ok(at) = self.balancers.binary_search(&key) {
            self.balancers.remove(at);
            self.balancer_epoch += 1;
        }
    }
}

fn bucket_of(record: &MemberRecord) -> usize {
    (address_hash(record.address) >> 58) as usize
}
