//! Keys and sessions of the store.

use std::time::Duration;

use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use rand::Rng;
use tokio::time::Instant;

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
pub(crate) enum SessionBehavior {
    /// The keys stay and are unlocked.
    #[default]
    Release,
    /// The keys are deleted.
    Delete,
}

#[derive(Clone, Debug)]
pub(crate) struct SessionEntry {
    pub(crate) id: CompactString,
    pub(crate) ttl: Option<Duration>,
    pub(crate) behavior: SessionBehavior,
    pub(crate) lock_delay: Duration,
    pub(crate) expires: Option<Instant>,
}

/// Condition for a write to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteCondition {
    /// Always.
    None,
    /// The key was last modified at this index; 0 if it doesn't exist.
    Index(u64),
    /// The key is unlocked or locked by this session, which locks it.
    Acquire(CompactString),
    /// The key is locked by this session, which unlocks it.
    Release(CompactString),
}

/// Keys and sessions, with an index that grows by one with each change.
#[derive(Debug, Default)]
pub(crate) struct KvState {
    index: u64,
    keys: Vec<KeyEntry>,
    /// Deleted keys and the indexes of their deletion, which let watches of a prefix notice it.
    tombstones: Vec<(CompactString, u64)>,
    sessions: Vec<SessionEntry>,
    /// Keys whose session expired, and the time until which they can't be locked.
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

    /// Returns the entries whose key starts with `prefix`, sorted by key.
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
        let existing = self.entries(prefix).iter().map(|entry| entry.modify_index);
        let deleted = self.tombstones.iter();
        let deleted = deleted.filter(|(key, _)| key.starts_with(prefix));
        let newest = existing.chain(deleted.map(|(_, index)| *index)).max();
        newest.unwrap_or(self.index())
    }

    /// Writes a key if the condition holds, and returns whether it does; `None` if its session is
    /// unknown.
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
                self.sessions.iter().find(|session| session.id == *id)?;
                let other = held_by.as_ref().is_some_and(|holder| holder != id);
                if other || self.is_delayed(key, now) {
                    return Some(false);
                }
                session = Some(id.clone());
            }
            WriteCondition::Release(id) => {
                self.sessions.iter().find(|session| session.id == *id)?;
                if held_by.as_ref() != Some(id) {
                    return Some(false);
                }
                session = None;
            }
        }
        let newly_held = session.is_some() && held_by.is_none();
        self.put_entry(key, value, flags, session, newly_held);
        Some(true)
    }

    /// Deletes a key, if it was last modified at the index of `condition`, and returns whether the
    /// key doesn't exist any more.
    pub(crate) fn delete(&mut self, key: &str, condition: Option<u64>) -> bool {
        let Ok(at) = self.position(key) else {
            return true;
        };
        if condition.is_some_and(|index| index != self.keys[at].modify_index) {
            return false;
        }
        let entry = self.keys.remove(at);
        self.index = self.index() + 1;
        self.add_tombstone(entry.key);
        true
    }

    /// Creates a session and returns its id.
    pub(crate) fn create_session(
        &mut self,
        ttl: Option<Duration>,
        behavior: SessionBehavior,
        lock_delay: Duration,
        now: Instant,
    ) -> CompactString {
        let id = random_id();
        self.index = self.index() + 1;
        self.sessions.push(SessionEntry {
            id: id.clone(),
            ttl,
            behavior,
            lock_delay,
            expires: ttl.map(|ttl| now + ttl),
        });
        id
    }

    /// Renews a session and returns it; `None` if it doesn't exist.
    pub(crate) fn renew_session(&mut self, id: &str, now: Instant) -> Option<&SessionEntry> {
        let session = self.sessions.iter_mut().find(|session| session.id == id)?;
        session.expires = session.ttl.map(|ttl| now + ttl);
        Some(session)
    }

    /// Ends a session, releases or deletes its keys, and returns whether it existed.
    ///
    /// A session that `expired` starts its lock delay; one that was destroyed doesn't.
    pub(crate) fn end_session(&mut self, id: &str, expired: bool, now: Instant) -> bool {
        let Some(at) = self.sessions.iter().position(|session| session.id == id) else {
            return false;
        };
        let session = self.sessions.remove(at);
        self.index = self.index() + 1;
        let held = self.keys.iter();
        let held = held.filter(|entry| entry.session.as_ref() == Some(&session.id));
        let held: Vec<CompactString> = held.map(|entry| entry.key.clone()).collect();
        for key in held {
            if expired && !session.lock_delay.is_zero() {
                self.lock_delays
                    .push((key.clone(), now + session.lock_delay));
            }
            self.release_key(&key, session.behavior);
        }
        true
    }

    /// Ends the sessions that have expired, and returns whether there were any.
    pub(crate) fn expire_sessions(&mut self, now: Instant) -> bool {
        self.lock_delays.retain(|(_, until)| *until > now);
        let expired = self.sessions.iter();
        let expired = expired.filter(|session| session.expires.is_some_and(|at| at <= now));
        let expired: Vec<CompactString> = expired.map(|session| session.id.clone()).collect();
        for id in &expired {
            self.end_session(id, true, now);
        }
        !expired.is_empty()
    }

    pub(crate) fn sessions(&self) -> &[SessionEntry] {
        &self.sessions
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.keys
            .binary_search_by(|entry| entry.key.as_str().cmp(key))
    }

    fn is_delayed(&self, key: &str, now: Instant) -> bool {
        let mut delays = self.lock_delays.iter();
        delays.any(|(delayed, until)| delayed == key && *until > now)
    }

    fn release_key(&mut self, key: &str, behavior: SessionBehavior) {
        if behavior == SessionBehavior::Delete {
            self.delete(key, None);
            return;
        }
        if let Ok(at) = self.position(key) {
            self.index = self.index() + 1;
            self.keys[at].session = None;
            self.keys[at].modify_index = self.index;
        }
    }

    fn put_entry(
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
                self.tombstones.retain(|(deleted, _)| deleted != key);
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

    fn add_tombstone(&mut self, key: CompactString) {
        self.tombstones.retain(|(deleted, _)| *deleted != key);
        self.tombstones.push((key, self.index));
    }
}

/// Returns a random id in the format of a UUID.
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
