//! Limit on control bytes.

use crate::Millis;

/// Importance of control bytes; earlier classes pass first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ByteClass {
    /// A version that takes a data centre out; always passes.
    TakeOut,
    /// Any other version.
    Version,
    /// Answers to heartbeats and probes. They pass always, because a withheld answer makes the
    /// sender suspect a live member; their number is bounded by what is received.
    Answer,
    /// Changes of members and own probes.
    Membership,
}

/// A token bucket for sent bytes.
///
/// It may go into debt by what always passes; the debt delays the classes below.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    rate: u64,
    burst: i64,
    balance: i64,
    /// Thousandths of a byte earned but not yet added.
    fraction: u64,
    at: Millis,
}

impl ByteBudget {
    /// Creates a full bucket that gains `rate` bytes per second and holds at most `burst` bytes.
    pub fn new(rate: u32, burst: u32) -> ByteBudget {
        ByteBudget {
            rate: rate.into(),
            burst: burst.into(),
            balance: burst.into(),
            fraction: 0,
            at: Millis(0),
        }
    }

    /// Takes `bytes` and returns true, or returns false if the class must wait.
    pub fn take(&mut self, now: Millis, class: ByteClass, bytes: usize) -> bool {
        self.refill(now);
        let floor = match class {
            ByteClass::TakeOut | ByteClass::Answer => i64::MIN,
            ByteClass::Version => 0,
            ByteClass::Membership => self.burst / 4,
        };
        let left = self.balance - bytes as i64;
        if left < floor {
            return false;
        }
        self.balance = left.max(-self.burst);
        true
    }

    /// Returns whether membership traffic passes now.
    pub fn has_room(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.balance > self.burst / 4
    }

    /// Takes bytes that were sent in bulk.
    pub fn charge(&mut self, now: Millis, bytes: usize) {
        self.refill(now);
        self.balance = (self.balance - bytes as i64).max(-self.burst);
    }

    fn refill(&mut self, now: Millis) {
        let earned = now.since(self.at).0.saturating_mul(self.rate) + self.fraction;
        self.at = self.at.max(now);
        self.fraction = earned % 1_000;
        let whole = i64::try_from(earned / 1_000).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_add(whole).min(self.burst);
    }
}
