//! Keys and sessions of the store.

use std::time::Duration;

use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use rand::Rng;
use tokio::time::Instant;

/// One key with its value.
#[derive(Clone, Debug)]
pub(crate) struct KeyEntry {
    pub(crate) key: CompactString,
    pub(crate) value: Bytes,
    pub(crate) flags: u64,
    pub(crate) session: Option<CompactString>,
    pub(crate) lock_index: u64,
    pub(crate) create_index: u64,
    pub(crate) modify_index: u64,
}

/// What happens to the keys of a session that ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LeaseBehavior {
    /// The keys stay, without a holder.
    #[default]
    Release,
    /// The keys are deleted.
    Delete,
}

/// One session.
#[derive(Clone, Debug)]
pub(crate) struct LeaseEntry {
    pub(crate) id: CompactString,
    pub(crate) ttl: Option<Duration>,
    pub(crate) behavior: LeaseBehavior,
    pub(crate) lock_delay: Duration,
    pub(crate) expires: Option<Instant>,
}

/// Condition under which a write takes effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteCondition {
    /// Always.
    None,
    /// The key was last modified at this index; 0 means that it doesn't exist.
    Index(u64),
    /// The session holds the key, or nobody does, and then the session becomes the holder.
    Acquire(CompactString),
    /// The session holds the key, and gives it up.
    Release(CompactString),
}

/// Keys and sessions, with the index that grows by one with each change.
#[derive(Debug, Default)]
pub(crate) struct KvState {
    index: u64,
    keys: Vec<KeyEntry>,
    /// Deleted keys with the index of the deletion, so that watches of a prefix see it.
    tombs: Vec<(CompactString, u64)>,
    leases: Vec<LeaseEntry>,
    /// Keys that can't be acquired before a time, because their holder was lost.
    lock_delays: Vec<(CompactString, Instant)>,
}

impl KvState {
    /// Returns the index of the last change, at least 1.
    pub(crate) fn index(&self) -> u64 {
        self.index.max(1)
    }

    /// Returns the entry of `key`.
    pub(crate) fn entry(&self, key: &str) -> Option<&KeyEntry> {
        self.position(key).ok().map(|at| &self.keys[at])
    }

    /// Returns the entries whose key starts with `prefix`.
    pub(crate) fn entries(&self, prefix: &str) -> &[KeyEntry] {
        let start = self.keys.partition_point(|entry| &*entry.key < prefix);
        let tail = &self.keys[start..];
        let count = tail.partition_point(|entry| entry.key.starts_with(prefix));
        &tail[..count]
    }

    /// Returns the index that a query for `key` reports.
    pub(crate) fn key_index(&self, key: &str) -> u64 {
        self.entry(key)
            .map_or(self.index(), |entry| entry.modify_index)
    }

    /// Returns the index that a query for all keys under `prefix` reports.
    pub(crate) fn prefix_index(&self, prefix: &str) -> u64 {
        let live = self.entries(prefix).iter().map(|entry| entry.modify_index);
        let dead = self.tombs.iter();
        let dead = dead.filter(|(key, _)| key.starts_with(prefix));
        let newest = live.chain(dead.map(|(_, index)| *index)).max();
        newest.unwrap_or(self.index())
    }

    /// Writes a key and returns whether the condition held, or `None` if the session is unknown.
    pub(crate) fn write(
        &mut self,
        key: &str,
        value: Bytes,
        flags: u64,
        condition: &WriteCondition,
        now: Instant,
    ) -> Option<bool> {
        let current = self.entry(key);
        let held_by = current.and_then(|entry| entry.session.clone());
        let modified = current.map_or(0, |entry| entry.modify_index);
        let mut session = held_by.clone();
        match condition {
            WriteCondition::None => {}
            WriteCondition::Index(index) if *index == modified => {}
            WriteCondition::Index(_) => return Some(false),
            WriteCondition::Acquire(id) => {
                self.leases.iter().find(|lease| lease.id == *id)?;
                let other = held_by.as_ref().is_some_and(|holder| holder != id);
                if other || self.is_delayed(key, now) {
                    return Some(false);
                }
                session = Some(id.clone());
            }
            WriteCondition::Release(id) => {
                self.leases.iter().find(|lease| lease.id == *id)?;
                if held_by.as_ref() != Some(id) {
                    return Some(false);
                }
                session = None;
            }
        }
        let newly_held = session.is_some() && held_by.is_none();
        self.store(key, value, flags, session, newly_held);
        Some(true)
    }

    /// Deletes a key and returns whether it is gone; only the index of `condition` is deleted.
    pub(crate) fn delete(&mut self, key: &str, condition: Option<u64>) -> bool {
        let Ok(at) = self.position(key) else {
            return true;
        };
        if condition.is_some_and(|index| index != self.keys[at].modify_index) {
            return false;
        }
        let entry = self.keys.remove(at);
        self.index = self.index() + 1;
        self.bury(entry.key);
        true
    }

    /// Creates a session and returns its id.
    pub(crate) fn create_lease(
        &mut self,
        ttl: Option<Duration>,
        behavior: LeaseBehavior,
        lock_delay: Duration,
        now: Instant,
    ) -> CompactString {
        let id = random_id();
        self.index = self.index() + 1;
        self.leases.push(LeaseEntry {
            id: id.clone(),
            ttl,
            behavior,
            lock_delay,
            expires: ttl.map(|ttl| now + ttl),
        });
        id
    }

    /// Renews a session and returns it, if it exists.
    pub(crate) fn renew_lease(&mut self, id: &str, now: Instant) -> Option<&LeaseEntry> {
        let lease = self.leases.iter_mut().find(|lease| lease.id == id)?;
        lease.expires = lease.ttl.map(|ttl| now + ttl);
        Some(lease)
    }

    /// Ends a session: its keys are released or deleted. `lost` tells that the holder didn't ask
    /// for it, which starts the lock delay.
    pub(crate) fn end_lease(&mut self, id: &str, lost: bool, now: Instant) -> bool {
        let Some(at) = self.leases.iter().position(|lease| lease.id == id) else {
            return false;
        };
        let lease = self.leases.remove(at);
        self.index = self.index() + 1;
        let held = self.keys.iter();
        let held = held.filter(|entry| entry.session.as_ref() == Some(&lease.id));
        let held: Vec<CompactString> = held.map(|entry| entry.key.clone()).collect();
        for key in held {
            if lost && !lease.lock_delay.is_zero() {
                self.lock_delays.push((key.clone(), now + lease.lock_delay));
            }
            self.free_key(&key, lease.behavior);
        }
        true
    }

    /// Ends the sessions whose time is over, and returns whether there were any.
    pub(crate) fn expire_leases(&mut self, now: Instant) -> bool {
        self.lock_delays.retain(|(_, until)| *until > now);
        let over = self.leases.iter();
        let over = over.filter(|lease| lease.expires.is_some_and(|at| at <= now));
        let over: Vec<CompactString> = over.map(|lease| lease.id.clone()).collect();
        for id in &over {
            self.end_lease(id, true, now);
        }
        !over.is_empty()
    }

    /// Returns the sessions.
    pub(crate) fn leases(&self) -> &[LeaseEntry] {
        &self.leases
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.keys
            .binary_search_by(|entry| entry.key.as_str().cmp(key))
    }

    fn is_delayed(&self, key: &str, now: Instant) -> bool {
        let mut delays = self.lock_delays.iter();
        delays.any(|(delayed, until)| delayed == key && *until > now)
    }

    fn free_key(&mut self, key: &str, behavior: LeaseBehavior) {
        if behavior == LeaseBehavior::Delete {
            self.delete(key, None);
            return;
        }
        if let Ok(at) = self.position(key) {
            self.index = self.index() + 1;
            self.keys[at].session = None;
            self.keys[at].modify_index = self.index;
        }
    }

    fn store(
        &mut self,
        key: &str,
        value: Bytes,
        flags: u64,
        session: Option<CompactString>,
        newly_held: bool,
    ) {
        self.index = self.index() + 1;
        let index = self.index;
        match self.position(key) {
            Ok(at) => {
                let entry = &mut self.keys[at];
                entry.value = value;
                entry.flags = flags;
                entry.session = session;
                entry.lock_index += u64::from(newly_held);
                entry.modify_index = index;
            }
            Err(at) => {
                self.tombs.retain(|(buried, _)| buried != key);
                let entry = KeyEntry {
                    key: key.into(),
                    value,
                    flags,
                    session,
                    lock_index: u64::from(newly_held),
                    create_index: index,
                    modify_index: index,
                };
                self.keys.insert(at, entry);
            }
        }
    }

    fn bury(&mut self, key: CompactString) {
        self.tombs.retain(|(buried, _)| *buried != key);
        self.tombs.push((key, self.index));
    }
}

/// Returns a random identity in the form of a UUID.
fn random_id() -> CompactString {
    let bits: u128 = rand::rng().random();
    format_compact!(
        "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
        (bits >> 96) as u32,
        (bits >> 80) as u16,
        (bits >> 64) as u16,
        (bits >> 48) as u16,
        bits & 0xffff_ffff_ffff
    )
}
