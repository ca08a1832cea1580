//! Role and state of a member.

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberRole {
    /// Forwards datagrams to agents and maintains the member list.
    Balancer,
    /// Terminates flows for a backend server.
    Agent,
}

/// State of a member. Between records of equal incarnation and sequence, the later variant has
/// precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The backend server is warming up and can use only part of its slots.
    Cold,
    /// The backend server can use all of its slots.
    Warm,
    /// The member takes no new flows.
    Draining,
    /// The member didn't acknowledge probes; it may still refute the suspicion.
    Suspect,
    /// The member has left, or was declared dead after a suspicion that it didn't refute.
    Dead,
}

impl MemberState {
    /// Returns whether a record in this state is a failure report, usually made by another member.
    pub fn is_failure_report(self) -> bool {
        self >= MemberState::Suspect
    }
}
