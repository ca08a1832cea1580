//! Treatment of a session's keys when it ends.

/// What the store does with the keys that a session holds when the session ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionEnd {
    /// The keys are deleted.
    #[default]
    Delete,
    /// The keys stay, and no session holds them any more.
    Release,
}

impl SessionEnd {
    /// Returns the name of the behaviour in Consul's API.
    pub(crate) fn behavior(self) -> &'static str {
        match self {
            SessionEnd::Delete => "delete",
            SessionEnd::Release => "release",
        }
    }
}
