//! The clock of the traffic threads.

use carobdrum_core::Millis;

/// Time since the VM started, including the time for which it was suspended.
///
/// A process that was suspended sees by this clock that what it knows has aged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub(crate) fn now(self) -> Millis {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is a valid place for the result.
        let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
        if status != 0 {
            return Millis(0);
        }
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
        Millis(seconds * 1_000 + nanoseconds / 1_000_000)
    }
}
