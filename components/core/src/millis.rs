//! Time for the decision logic.

/// A time on the caller's monotonic clock, or a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` after `self`, limited to the largest time.
    pub fn plus(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}
