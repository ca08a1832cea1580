//! Delay after which a missing acknowledgement shows a loss.

use carobdrum_core::{
    request::HedgeDelay,
    Millis, //
};

/// Multiple of the 95th percentile of the acknowledgement times that is the delay.
const PERCENTILE_FACTOR: u64 = 2;

/// Age of a packet from which it isn't sent again. The ends retransmit after 200 ms.
pub(super) const MAX_COPY_AGE: Millis = Millis(180);

/// How a caller acknowledges a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcknowledgementKind {
    /// Acceptance of the flow, acknowledged by the caller's next packet.
    Acceptance,
    /// Second data packet of a pair, acknowledged at once.
    Second,
    /// First data packet of a pair, acknowledged with the second one. Without a second one the
    /// acknowledgement may be late.
    First,
}

/// Number of kinds of acknowledgements.
const KINDS: usize = 3;

/// Reason why no delay is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnknownDelay {
    /// There are too few acknowledgement times.
    FewSamples,
    /// The delay isn't below [`MAX_COPY_AGE`].
    Slow,
}

/// Finds the delay after which a packet counts as late: twice the 95th percentile of the recent
/// acknowledgement times of its kind.
#[derive(Clone, Debug, Default)]
pub(super) struct AcknowledgementDelay {
    times: [HedgeDelay; KINDS],
}

impl AcknowledgementDelay {
    /// Records the time from a packet to its acknowledgement.
    pub(super) fn record(&mut self, kind: AcknowledgementKind, time: Millis, now: Millis) {
        self.times[kind as usize].record(now, time);
    }

    /// Returns the delay of a kind, at least `min_delay`.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is none.
    pub(super) fn delay(
        &mut self,
        kind: AcknowledgementKind,
        min_delay: Millis,
        now: Millis,
    ) -> Result<Millis, UnknownDelay> {
        let percentile = self.times[kind as usize].percentile(now);
        let percentile = percentile.ok_or(UnknownDelay::FewSamples)?;
        let delay = Millis(percentile.0.saturating_mul(PERCENTILE_FACTOR)).max(min_delay);
        if delay >= MAX_COPY_AGE {
            return Err(UnknownDelay::Slow);
        }
        Ok(delay)
    }
}
