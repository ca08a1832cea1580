//! Limit on control bytes.

use crate::Millis;

/// Importance of control bytes; earlier classes pass first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ByteClass {
    /// A version that takes a data centre out; always passes.
    TakeOut,
    /// Any other version.
    Version,
    /// Probes, one per interval, and answers to heartbeats and probes. They pass always, because a
    /// withheld answer makes the sender suspect a live member; their number is bounded by what is
    /// received. They never take what is reserved for the classes above nor all that is left for
    /// the class below.
    Liveness,
    /// Changes of members, and probes beyond the regular ones.
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
        let left = self.balance - bytes as i64;
        match class {
            ByteClass::TakeOut => self.balance = left.max(-self.burst),
            ByteClass::Liveness => self.balance = left.max(self.reserve().min(self.balance)),
            ByteClass::Version if left < 0 => return false,
            ByteClass::Membership if left < self.reserve() => return false,
            ByteClass::Version | ByteClass::Membership => self.balance = left,
        }
        true
    }

    /// Returns the number of bytes of membership traffic that pass now.
    pub fn room(&mut self, now: Millis) -> usize {
        self.refill(now);
        usize::try_from(self.balance - self.reserve()).unwrap_or(0)
    }

    /// Returns whether membership traffic passes now.
    pub fn has_room(&mut self, now: Millis) -> bool {
        self.room(now) > 0
    }

    /// Takes bytes that were sent in bulk; the debt is paid in full.
    pub fn charge(&mut self, now: Millis, bytes: usize) {
        self.refill(now);
        self.balance -= bytes as i64;
    }

    /// Returns the balance that membership traffic leaves to versions.
    fn reserve(&self) -> i64 {
        self.burst / 4
    }

    fn refill(&mut self, now: Millis) {
        let earned = now.since(self.at).0.saturating_mul(self.rate) + self.fraction;
        self.at = self.at.max(now);
        self.fraction = earned % 1_000;
        let whole = i64::try_from(earned / 1_000).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_add(whole).min(self.burst);
    }
}
