//! Faults that the store shows.

use std::time::Duration;

use bytes::Bytes;

/// Faults that the store shows.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreFaults {
    /// Delay before a call takes effect.
    pub(crate) delay_before: Duration,
    /// Delay between the effect of a call and its response.
    pub(crate) delay_after: Duration,
    /// How many further writes are let through before responses are lost.
    pub(crate) writes_before_loss: u32,
    /// How many responses to writes are lost after the write took effect.
    pub(crate) lost_writes: u32,
    /// Body that replaces the response to a number of reads.
    pub(crate) garbled_reads: Option<(u32, Bytes)>,
}

impl StoreFaults {
    /// Returns whether the response to the write at hand is to be lost.
    pub(crate) fn take_lost_write(&mut self) -> bool {
        if self.writes_before_loss > 0 {
            self.writes_before_loss -= 1;
            return false;
        }
        let lost = self.lost_writes > 0;
        self.lost_writes = self.lost_writes.saturating_sub(1);
        lost
    }

    /// Returns the body that replaces the response to the read at hand.
    pub(crate) fn take_garbled_read(&mut self) -> Option<Bytes> {
        let (left, body) = self.garbled_reads.as_mut()?;
        *left = left.checked_sub(1)?;
        Some(body.clone())
    }
}
