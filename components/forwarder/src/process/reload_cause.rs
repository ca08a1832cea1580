//! Causes of reading the settings again.

/// Why a process reads its settings again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReloadCause {
    /// The process got the signal for it.
    Signal,
    /// The file may change without a signal.
    RegularCheck,
    /// A heartbeat named another service, which may use the address of the server by now.
    OtherService,
}

impl ReloadCause {
    /// Returns the name that logs show.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ReloadCause::Signal => "signal",
            ReloadCause::RegularCheck => "check",
            ReloadCause::OtherService => "heartbeat of another service",
        }
    }
}
