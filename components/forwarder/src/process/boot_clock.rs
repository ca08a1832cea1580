//! The clock of the traffic threads.

use std::time::Duration;

use carobdrum_core::Millis;

/// Time since the VM started, including the time for which it was suspended.
///
/// A process that was suspended sees by this clock that what it knows has aged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BootClock;

impl BootClock {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the system has no such clock, as no Linux since 2.6.39.
    pub(crate) fn now(self) -> Millis {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is a valid place for the result.
        let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
        assert_eq!(
            status, 0,
            "the system has no clock of the time since its start"
        );
        let time = Duration::new(
            time.tv_sec.unsigned_abs(),
            time.tv_nsec.unsigned_abs() as u32,
        );
        Millis(time.as_millis() as u64)
    }
}
