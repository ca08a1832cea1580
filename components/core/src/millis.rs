//! Time as the decision logic sees it.

/// A point in time or a span, in milliseconds, on the caller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` after `self`.
    pub fn plus(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}
