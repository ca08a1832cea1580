//! Faults that the store shows.

use std::time::Duration;

use bytes::Bytes;

/// What goes wrong with a write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// Nothing.
    #[default]
    None,
    /// The write takes effect, and its response is lost.
    DropResponse,
    /// The write takes effect late, also when the client has gone by then.
    Delay(Duration),
}

/// Faults that the store shows.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreFaults {
    /// Delay before a call takes effect.
    pub(crate) delay_before: Duration,
    /// Delay between the effect of a call and its response.
    pub(crate) delay_after: Duration,
    /// What goes wrong with a number of writes.
    write_fault: WriteFault,
    writes_before_fault: u32,
    faulty_writes: u32,
    /// Body that replaces the response to a number of reads.
    pub(crate) corrupted_reads: Option<(u32, Bytes)>,
}

impl StoreFaults {
    /// Lets `skipped` writes through and puts the fault on the `count` writes that follow.
    pub(crate) fn plan_writes(&mut self, fault: WriteFault, skipped: u32, count: u32) {
        self.write_fault = fault;
        self.writes_before_fault = skipped;
        self.faulty_writes = count;
    }

    /// Returns what goes wrong with the write at hand.
    pub(crate) fn take_write_fault(&mut self) -> WriteFault {
        if self.writes_before_fault > 0 {
            self.writes_before_fault -= 1;
            return WriteFault::None;
        }
        if self.faulty_writes == 0 {
            return WriteFault::None;
        }
        self.faulty_writes -= 1;
        self.write_fault
    }

    /// Returns the body that replaces the response to the read at hand.
    pub(crate) fn take_garbled_read(&mut self) -> Option<Bytes> {
        let (left, body) = self.corrupted_reads.as_mut()?;
        *left = left.checked_sub(1)?;
        Some(body.clone())
    }
}
