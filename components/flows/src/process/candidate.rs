//! Agent that may get a packet.

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

/// An agent that may get a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Rendezvous hash, equal at all balancers; the highest score comes first.
    pub(crate) score: u64,
    /// Cost of the rendezvous hash by the server's weight, for opening packets; the lowest comes first. Zero
    /// if weights don't matter.
    pub(crate) cost: u64,
    /// Index of the agent in the table.
    pub(crate) agent: u32,
    /// Index of the group.
    pub(crate) group: u32,
    /// Hash of the data centre's name.
    pub(crate) centre: u32,
    /// Position of its service in the flow's list of services.
    pub(crate) service: u8,
    /// Whether the agent doesn't answer.
    pub(crate) suspect: bool,
    /// Whether its data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Whether it may get an opening packet.
    pub(crate) takes_flow: bool,
    /// Whether it recently reported no free slot; matters for opening packets.
    pub(crate) busy: bool,
    pub(crate) failing: bool,
    /// Whether a recent report shows a free slot.
    pub(crate) is_free: bool,
    /// Whether its last two reports showed no free slot.
    pub(crate) was_full_twice: bool,
    /// Whether it is one of the flow's anchors, to which the owner announces itself.
    pub(crate) is_anchor: bool,
}

impl Candidate {
    /// Returns a number by which candidates of opening packets are sorted: by suspicion, evacuation,
    /// distance, service, free slots, cost and hash.
    pub(crate) fn opening_order(&self, distance: CandidateDistance) -> u128 {
        // A cost has less than 51 bits.
        let upper = (self.rank(distance) | u64::from(self.busy)) << 51 | self.cost;
        u128::from(upper) << 64 | u128::from(!self.score)
    }

    /// Returns such a number for later packets, to which the servers' load doesn't matter.
    pub(crate) fn later_order(&self, home: u32) -> u128 {
        let distance = if self.centre == home {
            CandidateDistance::Near
        } else if self.is_anchor {
            CandidateDistance::Anchor
        } else {
            CandidateDistance::Far
        };
        u128::from(self.rank(distance) << 51) << 64 | u128::from(!self.score)
    }

    fn rank(&self, distance: CandidateDistance) -> u64 {
        let flags = u64::from(self.suspect) << 12 | u64::from(self.evacuated) << 11;
        flags | (distance as u64) << 9 | u64::from(self.service) << 1
    }
}
