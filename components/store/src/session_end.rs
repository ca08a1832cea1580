//! What becomes of a session's keys.

/// What the store does with the keys that a session holds when the session ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionEnd {
    /// The keys are deleted.
    #[default]
    Delete,
    /// The keys stay, without a holder.
    Release,
}

impl SessionEnd {
    /// Returns the name of the behaviour in the protocol.
    pub(crate) fn behavior(self) -> &'static str {
        match self {
            SessionEnd::Delete => "delete",
            SessionEnd::Release => "release",
        }
    }
}
