//! Agent that may get a packet.

use std::net::SocketAddrV4;

/// Distance of an agent from a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CandidateDistance {
    /// It has a free slot in another data centre, and the flow's has none.
    Spill,
    /// Its data centre is the flow's, which the ranking chooses.
    Near,
    /// It is an anchor of the flow in another data centre.
    Anchor,
    /// It is in another data centre.
    Far,
}

/// Criteria that precede the hash in the order of candidates, in this order; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CandidateRank {
    /// Whether the agent doesn't answer.
    pub(crate) suspect: bool,
    /// Whether its data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Distance of its data centre.
    pub(crate) distance: CandidateDistance,
    /// Position of its service in the flow's list of services.
    pub(crate) service: u8,
    /// Whether it recently reported no free slot.
    pub(crate) busy: bool,
}

/// An agent that may get a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) rank: CandidateRank,
    /// Cost of the rendezvous hash by the server's weight; the lowest comes first. Zero if weights don't
    /// matter.
    pub(crate) cost: u64,
    /// Rendezvous hash, equal at all balancers; the highest score comes first.
    pub(crate) score: u64,
    /// Hash of the data centre's name.
    pub(crate) centre: u32,
    pub(crate) address: SocketAddrV4,
    pub(crate) failing: bool,
    /// Whether a recent report shows a free slot.
    pub(crate) is_free: bool,
    /// Whether its last two reports showed no free slot.
    pub(crate) was_full_twice: bool,
    /// Whether it is one of the flow's anchors, to which the owner announces itself.
    pub(crate) is_anchor: bool,
}

impl Candidate {
    /// Returns a number by which candidates are sorted: by rank, cost and hash.
    pub(crate) fn order(&self) -> u128 {
        let CandidateRank {
            suspect,
            evacuated,
            distance,
            service,
            busy,
        } = self.rank;
        let flags = u64::from(suspect) << 12 | u64::from(evacuated) << 11;
        let distance = (distance as u64) << 9;
        let rank = flags | distance | u64::from(service) << 1 | u64::from(busy);
        // A cost has less than 51 bits.
        let upper = rank << 51 | self.cost;
        u128::from(upper) << 64 | u128::from(!self.score)
    }
}
