//! Clock of the traffic threads.

use std::time::Duration;

use carobdrum_core::Millis;

/// Clock of the time since the VM booted, including the time for which it was suspended.
///
/// As suspensions count, a process finds after one that the state it holds has aged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BootClock;

impl BootClock {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the system has no such clock; Linux has had it since 2.6.39.
    pub(crate) fn now(self) -> Millis {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is valid for writes of a `timespec`.
        let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
        assert_eq!(status, 0, "clock_gettime(CLOCK_BOOTTIME) failed");
        let time = Duration::new(
            time.tv_sec.unsigned_abs(),
            time.tv_nsec.unsigned_abs() as u32,
        );
        Millis(time.as_millis() as u64)
    }
}
