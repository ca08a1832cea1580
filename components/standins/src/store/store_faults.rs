//! Injected faults of the store.

use std::time::Duration;

use bytes::Bytes;

/// Fault of a write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// No fault.
    #[default]
    None,
    /// The write takes effect, but its connection is closed without a response.
    DropResponse,
    /// The write takes effect after a delay, even if the client has disconnected by then.
    Delay(Duration),
}

/// Injected faults of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreFaults {
    /// Delay before a request takes effect.
    pub(crate) delay_before: Duration,
    /// Delay between the effect of a request and its response.
    pub(crate) delay_after: Duration,
    /// Fault of the next `faulty_writes` writes after `writes_before_fault` others.
    write_fault: WriteFault,
    writes_before_fault: u32,
    faulty_writes: u32,
    /// Remaining number of reads to corrupt, and the body that they are answered with.
    pub(crate) corrupted_reads: Option<(u32, Bytes)>,
}

impl StoreFaults {
    /// Leaves the next `skipped` writes unchanged and applies `fault` to the `count` after them.
    pub(crate) fn schedule_write_fault(&mut self, fault: WriteFault, skipped: u32, count: u32) {
        self.write_fault = fault;
        self.writes_before_fault = skipped;
        self.faulty_writes = count;
    }

    /// Returns the fault of the current write, and counts the write.
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

    /// Returns the body that replaces the response to the current read, if it is to be corrupted.
    pub(crate) fn take_corrupted_read(&mut self) -> Option<Bytes> {
        let (left, body) = self.corrupted_reads.as_mut()?;
        *left = left.checked_sub(1)?;
        Some(body.clone())
    }
}
