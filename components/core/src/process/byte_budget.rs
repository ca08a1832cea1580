//! Limit on the control bytes that a process sends.

use crate::Millis;

/// Priority of control bytes; earlier variants have priority over later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ByteClass {
    /// Announces a configuration version that evacuates a data centre; always passes.
    Evacuation,
    /// Announces any other version.
    Version,
    /// Regular probes, one per interval, and acks of heartbeats and probes. They always pass,
    /// because without an ack the sender suspects a live member; the number of acks is bounded by
    /// the messages received. They are deducted only down to the reserve, so that the classes above
    /// keep their reserve and the class below gets what the bucket gains next.
    Liveness,
    /// Changed member records. Probes that verify failure reports aren't started while this class
    /// has to wait.
    Membership,
}

/// A token bucket for sent bytes.
///
/// The balance may become negative through bytes that always pass; lower classes then wait until
/// it has recovered.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    rate: u64,
    burst: i64,
    balance: i64,
    /// Thousandths of a byte that were gained but not yet added to the balance.
    fraction: u64,
    refilled_at: Millis,
}

impl ByteBudget {
    /// Creates a full bucket that gains `rate` bytes per second and holds at most `burst` bytes.
    pub fn new(rate: u32, burst: u32) -> ByteBudget {
        ByteBudget {
            rate: rate.into(),
            burst: burst.into(),
            balance: burst.into(),
            fraction: 0,
            refilled_at: Millis(0),
        }
    }

    /// Deducts `bytes` and returns true, or returns false if the class has to wait.
    pub fn take(&mut self, now: Millis, class: ByteClass, bytes: usize) -> bool {
        self.refill(now);
        let left = self.balance - bytes as i64;
        match class {
            ByteClass::Evacuation => self.balance = left.max(-self.burst),
            ByteClass::Liveness => self.balance = left.max(self.reserve().min(self.balance)),
            ByteClass::Version if left < 0 => return false,
            ByteClass::Membership if left < self.reserve() => return false,
            ByteClass::Version | ByteClass::Membership => self.balance = left,
        }
        true
    }

    /// Returns how many bytes of class [`ByteClass::Membership`] may be sent now.
    pub fn room(&mut self, now: Millis) -> usize {
        self.refill(now);
        usize::try_from(self.balance - self.reserve()).unwrap_or(0)
    }

    /// Returns whether bytes of class [`ByteClass::Membership`] may be sent now.
    pub fn has_room(&mut self, now: Millis) -> bool {
        self.room(now) > 0
    }

    /// Deducts bytes that were sent in bulk, without a limit on how far the balance becomes
    /// negative.
    pub fn charge(&mut self, now: Millis, bytes: usize) {
        self.refill(now);
        self.balance -= bytes as i64;
    }

    /// Returns the balance that is reserved for the announcement of versions.
    fn reserve(&self) -> i64 {
        self.burst / 4
    }

    fn refill(&mut self, now: Millis) {
        let earned = now.since(self.refilled_at).0.saturating_mul(self.rate) + self.fraction;
        self.refilled_at = self.refilled_at.max(now);
        self.fraction = earned % 1_000;
        let whole = i64::try_from(earned / 1_000).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_add(whole).min(self.burst);
    }
}
