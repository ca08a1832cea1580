//! Outcomes of requests that carry an idempotency key.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::Millis;

/// A response that is kept for repetitions of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// Status of the response.
    pub status: u16,
    /// Header fields of the response.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl RecordedResponse {
    /// Returns the bytes that the outcome counts for.
    pub fn size(&self) -> usize {
        let fields = self.headers.iter();
        let headers: usize = fields.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// How a request with a key has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The server responded, and the response is kept.
    Kept(RecordedResponse),
    /// The server responded, and the response is too large to keep.
    NotKept,
    /// The request was sent, and no complete response came back.
    Unknown,
}

/// What the ledger knows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// The request has never run; it now counts as running, and the asker must run it.
    New,
    /// The request is running.
    Running,
    /// The request ran and got this response.
    Done(&'a RecordedResponse),
    /// The request ran and got a response that isn't kept.
    DoneNotKept,
    /// The request has not run and never will.
    Revoked,
    /// The ledger can't tell whether the request ran; it must not run.
    Unknown,
    /// The ledger has no place for another running request; this one was not recorded and not run.
    Full,
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Most keys that are remembered.
    pub count: usize,
    /// Most bytes of kept responses.
    pub bytes: usize,
    /// Longest time that an ended key is remembered.
    pub age: Millis,
}

#[derive(Clone, Debug)]
enum KeyState {
    Running,
    Kept(RecordedResponse),
    NotKept,
    Unknown,
    Revoked,
}

/// Remembers which keys have run, within bounds.
///
/// Keys are issued in sequence. When the ledger forgets one, `unknown_below` rises above it, and
/// every key below that has no entry is answered as unknown. A forgotten key is therefore never
/// taken for a fresh one, and unused keys cost no memory.
#[derive(Clone, Debug)]
pub struct OutcomeLedger {
    bounds: LedgerLimits,
    next: u64,
    unknown_below: u64,
    /// Entries sorted by sequence.
    entries: Vec<(u64, KeyState)>,
    /// Ended keys in the order of their end, with its time.
    ended: VecDeque<(u64, Millis)>,
    /// Keys with a kept response, in the order of their end.
    kept: VecDeque<u64>,
    bytes: usize,
}

impl OutcomeLedger {
    /// Creates an empty ledger.
    pub fn new(bounds: LedgerLimits) -> OutcomeLedger {
        OutcomeLedger {
            bounds,
            next: 1,
            unknown_below: 1,
            entries: Vec::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Issues the sequence of a new key.
    pub fn issue(&mut self) -> u64 {
        let sequence = self.next;
        self.next += 1;
        sequence
    }

    /// Asks to run the request with this key.
    pub fn begin(&mut self, now: Millis, sequence: u64) -> KeyStatus<'_> {
        self.forget_aged(now);
        match self.find(sequence) {
            Ok(at) => self.verdict_at(at),
            Err(_) if !self.is_unused(sequence) => KeyStatus::Unknown,
            Err(_) if !self.make_place() => KeyStatus::Full,
            Err(_) => {
                self.insert(sequence, KeyState::Running);
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
            FinalOutcome::Kept(recorded) if recorded.size() <= self.bounds.bytes => {
                self.bytes += recorded.size();
                self.kept.push_back(sequence);
                KeyState::Kept(recorded)
            }
            FinalOutcome::Kept(_) | FinalOutcome::NotKept => KeyState::NotKept,
            FinalOutcome::Unknown => KeyState::Unknown,
        };
        self.ended.push_back((sequence, now));
        self.drop_bodies();
        self.forget_aged(now);
        true
    }

    /// Records that a request that began was never sent to the server, and returns whether it was
    /// running. The key can be used again.
    pub fn release(&mut self, sequence: u64) -> bool {
        let Some(at) = self.running_at(sequence) else {
            return false;
        };
        self.entries.remove(at);
        true
    }

    /// Makes sure that a request that has not begun never will.
    ///
    /// Returns [`KeyStatus::Revoked`] if the request has not run and never will, and otherwise
    /// what is known of it. Never returns [`KeyStatus::New`].
    pub fn revoke(&mut self, now: Millis, sequence: u64) -> KeyStatus<'_> {
        self.forget_aged(now);
        match self.find(sequence) {
            Ok(at) => self.verdict_at(at),
            Err(_) if !self.is_unused(sequence) => KeyStatus::Unknown,
            Err(_) if !self.make_place() => KeyStatus::Full,
            Err(_) => {
                self.insert(sequence, KeyState::Revoked);
                self.ended.push_back((sequence, now));
                KeyStatus::Revoked
            }
        }
    }

    /// Returns the keys that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of kept responses.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn find(&self, sequence: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&sequence, |(found, _)| *found)
    }

    /// Returns whether a key without an entry has certainly never run.
    fn is_unused(&self, sequence: u64) -> bool {
        (self.unknown_below..self.next).contains(&sequence)
    }

    fn running_at(&self, sequence: u64) -> Option<usize> {
        let at = self.find(sequence).ok()?;
        matches!(self.entries[at].1, KeyState::Running).then_some(at)
    }

    fn insert(&mut self, sequence: u64, state: KeyState) {
        let at = self.entries.partition_point(|(other, _)| *other < sequence);
        self.entries.insert(at, (sequence, state));
    }

    fn verdict_at(&self, at: usize) -> KeyStatus<'_> {
        match &self.entries[at].1 {
            KeyState::Running => KeyStatus::Running,
            KeyState::Kept(recorded) => KeyStatus::Done(recorded),
            KeyState::NotKept => KeyStatus::DoneNotKept,
            KeyState::Unknown => KeyStatus::Unknown,
            KeyState::Revoked => KeyStatus::Revoked,
        }
    }

    /// Forgets the key that ended first if the ledger is full, and returns whether there is place.
    fn make_place(&mut self) -> bool {
        if self.entries.len() >= self.bounds.count {
            self.forget_first();
        }
        self.entries.len() < self.bounds.count
    }

    fn forget_aged(&mut self, now: Millis) {
        let aged = |at: Millis| now.since(at) > self.bounds.age;
        let count = self.ended.iter().take_while(|(_, at)| aged(*at)).count();
        for _ in 0..count {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((sequence, _)) = self.ended.pop_front() else {
            return;
        };
        if self.kept.front() == Some(&sequence) {
            self.drop_first_body();
        }
        if let Ok(at) = self.find(sequence) {
            self.entries.remove(at);
        }
        self.unknown_below = self.unknown_below.max(sequence + 1);
    }

    /// Drops the oldest responses until the rest fits; their keys stay known as run.
    fn drop_bodies(&mut self) {
        while self.bytes > self.bounds.bytes {
            self.drop_first_body();
        }
    }

    fn drop_first_body(&mut self) {
        let Some(sequence) = self.kept.pop_front() else {
            return;
        };
        let Ok(at) = self.find(sequence) else {
            return;
        };
        let state = std::mem::replace(&mut self.entries[at].1, KeyState::NotKept);
        if let KeyState::Kept(recorded) = state {
            self.bytes -= recorded.size();
        }
    }
}
