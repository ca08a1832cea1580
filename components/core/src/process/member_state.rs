//! Role and state of a member.

/// What a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberRole {
    /// Forwards datagrams and keeps the member list.
    Balancer,
    /// Terminates flows next to a backend server.
    Agent,
}

/// State of a member; later states are more severe and win at equal sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The server bears part of its load.
    Cold,
    /// The server bears its full load.
    Warm,
    /// The member takes no new flows.
    Draining,
    /// The member didn't answer and may refute.
    Suspect,
    /// The member has left or is taken for failed.
    Dead,
}

impl MemberState {
    /// Returns whether others, not the member itself, give this state.
    pub fn is_accusation(self) -> bool {
        self >= MemberState::Suspect
    }
}
