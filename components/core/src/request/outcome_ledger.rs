//! Record of the outcomes of requests with an idempotency key.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::Millis;

/// A response that is kept to answer repetitions of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, in the order of the response.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl RecordedResponse {
    /// Returns the bytes that the response takes of [`LedgerLimits::max_bytes`]: names and values
    /// of the header fields, and the body.
    pub fn size(&self) -> usize {
        let fields = self.headers.iter();
        let headers: usize = fields.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// How a request with an idempotency key has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The server responded, and the response is kept.
    Kept(RecordedResponse),
    /// The server responded, but the response is too large to keep.
    NotKept,
    /// The request was sent, but no complete response came back.
    Unknown,
}

/// What the ledger knows about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// The request has not run. It now counts as running, and the caller must run it.
    New,
    /// The request is running.
    Running,
    /// The request ran, with this response.
    Done(&'a RecordedResponse),
    /// The request ran, but its response isn't kept.
    DoneNotKept,
    /// The request has not run and never will under this key.
    Revoked,
    /// The ledger can't tell whether the request ran, so it must not run.
    Unknown,
    /// The ledger is full of running requests; this one was not recorded and must not run.
    Full,
}

/// Limits on what a ledger remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum total size of the kept responses, in bytes.
    pub max_bytes: usize,
    /// How long a key is remembered after its request has ended.
    pub retention: Millis,
}

#[derive(Clone, Debug)]
enum LedgerEntry {
    Running,
    Kept(RecordedResponse),
    NotKept,
    Unknown,
    Revoked,
}

/// Remembers which keys have been used, within limits.
///
/// Keys are issued with consecutive sequence numbers. When the ledger removes a key,
/// `unknown_below` rises above its number, and the status of any lower key without an entry is
/// unknown. A removed key is therefore never taken for a new one, and unused keys cost no memory.
#[derive(Clone, Debug)]
pub struct OutcomeLedger {
    limits: LedgerLimits,
    next: u64,
    unknown_below: u64,
    /// Entries, sorted by sequence number.
    entries: Vec<(u64, LedgerEntry)>,
    /// Keys of ended requests with the time of the end, oldest first.
    ended: VecDeque<(u64, Millis)>,
    /// Keys with a kept response, oldest first.
    kept: VecDeque<u64>,
    bytes: usize,
}

impl OutcomeLedger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> OutcomeLedger {
        OutcomeLedger {
            limits,
            next: 1,
            unknown_below: 1,
            entries: Vec::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Issues the sequence number of a new key.
    pub fn issue(&mut self) -> u64 {
        let sequence = self.next;
        self.next += 1;
        sequence
    }

    /// Marks the request with this key as running, if it may run, and returns the key's status.
    ///
    /// The request must be run only if the status is [`KeyStatus::New`].
    pub fn begin(&mut self, now: Millis, sequence: u64) -> KeyStatus<'_> {
        self.remove_expired(now);
        match self.find(sequence) {
            Ok(at) => self.status_at(at),
            Err(_) if !self.is_unused(sequence) => KeyStatus::Unknown,
            Err(_) if !self.make_room() => KeyStatus::Full,
            Err(_) => {
                self.insert(sequence, LedgerEntry::Running);
                KeyStatus::New
            }
        }
    }

    /// Records the end of a running request, and returns whether it was running.
    pub fn complete(&mut self, now: Millis, sequence: u64, outcome: FinalOutcome) -> bool {
        let Some(at) = self.running_at(sequence) else {
            return false;
        };
        self.entries[at].1 = match outcome {
            FinalOutcome::Kept(recorded) if recorded.size() <= self.limits.max_bytes => {
                self.bytes += recorded.size();
                self.kept.push_back(sequence);
                LedgerEntry::Kept(recorded)
            }
            FinalOutcome::Kept(_) | FinalOutcome::NotKept => LedgerEntry::NotKept,
            FinalOutcome::Unknown => LedgerEntry::Unknown,
        };
        self.ended.push_back((sequence, now));
        self.evict_responses();
        self.remove_expired(now);
        true
    }

    /// Records that a request marked as running was never sent to the server, and returns whether
    /// it was marked. The key can be used again.
    pub fn release(&mut self, sequence: u64) -> bool {
        let Some(at) = self.running_at(sequence) else {
            return false;
        };
        self.entries.remove(at);
        true
    }

    /// Revokes the key of a request that has not run, so that it never will.
    ///
    /// Returns [`KeyStatus::Revoked`] if the request has not run and never will, and otherwise
    /// what is known about it. Never returns [`KeyStatus::New`].
    pub fn revoke(&mut self, now: Millis, sequence: u64) -> KeyStatus<'_> {
        self.remove_expired(now);
        match self.find(sequence) {
            Ok(at) => self.status_at(at),
            Err(_) if !self.is_unused(sequence) => KeyStatus::Unknown,
            Err(_) if !self.make_room() => KeyStatus::Full,
            Err(_) => {
                self.insert(sequence, LedgerEntry::Revoked);
                self.ended.push_back((sequence, now));
                KeyStatus::Revoked
            }
        }
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the kept responses, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn find(&self, sequence: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&sequence, |(found, _)| *found)
    }

    /// Returns whether a key without an entry was issued and certainly never used.
    fn is_unused(&self, sequence: u64) -> bool {
        (self.unknown_below..self.next).contains(&sequence)
    }

    fn running_at(&self, sequence: u64) -> Option<usize> {
        let at = self.find(sequence).ok()?;
        matches!(self.entries[at].1, LedgerEntry::Running).then_some(at)
    }

    fn insert(&mut self, sequence: u64, entry: LedgerEntry) {
        let at = self.entries.partition_point(|(other, _)| *other < sequence);
        self.entries.insert(at, (sequence, entry));
    }

    fn status_at(&self, at: usize) -> KeyStatus<'_> {
        match &self.entries[at].1 {
            LedgerEntry::Running => KeyStatus::Running,
            LedgerEntry::Kept(recorded) => KeyStatus::Done(recorded),
            LedgerEntry::NotKept => KeyStatus::DoneNotKept,
            LedgerEntry::Unknown => KeyStatus::Unknown,
            LedgerEntry::Revoked => KeyStatus::Revoked,
        }
    }

    /// Removes the key whose request ended first if the ledger is full, and returns whether there
    /// is room for another.
    fn make_room(&mut self) -> bool {
        if self.entries.len() >= self.limits.max_keys {
            self.remove_oldest();
        }
        self.entries.len() < self.limits.max_keys
    }

    fn remove_expired(&mut self, now: Millis) {
        let expired = |at: Millis| now.since(at) > self.limits.retention;
        let count = self.ended.iter().take_while(|(_, at)| expired(*at)).count();
        for _ in 0..count {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((sequence, _)) = self.ended.pop_front() else {
            return;
        };
        if self.kept.front() == Some(&sequence) {
            self.evict_oldest_response();
        }
        if let Ok(at) = self.find(sequence) {
            self.entries.remove(at);
        }
        self.unknown_below = self.unknown_below.max(sequence + 1);
    }

    /// Drops the oldest responses until the rest fits; their keys are still known to have run.
    fn evict_responses(&mut self) {
        while self.bytes > self.limits.max_bytes {
            self.evict_oldest_response();
        }
    }

    fn evict_oldest_response(&mut self) {
        let Some(sequence) = self.kept.pop_front() else {
            return;
        };
        let Ok(at) = self.find(sequence) else {
            return;
        };
        let entry = std::mem::replace(&mut self.entries[at].1, LedgerEntry::NotKept);
        if let LedgerEntry::Kept(recorded) = entry {
            self.bytes -= recorded.size();
        }
    }
}
