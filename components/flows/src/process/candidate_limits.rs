//! Limits of the candidates of a packet.

/// Limits for opening packets, and for later packets at each service but the first, where a flow may have
/// opened before the route changed. While all servers are busy, each candidate in another data centre adds
/// the delay of a hop there.
pub(crate) const OPENING_LIMITS: CandidateLimits = CandidateLimits {
    near: 4,
    far: 1,
    all_far: 2,
};

/// Limits of the candidates of a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateLimits {
    /// Limit in the flow's data centre.
    pub(crate) near: usize,
    /// Limit in each other data centre.
    pub(crate) far: usize,
    /// Limit over all other data centres, that of the caller not counted.
    pub(crate) all_far: usize,
}

impl CandidateLimits {
    /// Returns the limits for a service at this position in the flow's list of services, if these are the
    /// limits for the first one.
    pub(crate) fn for_service(self, service: u8) -> CandidateLimits {
        if service > 0 {
            OPENING_LIMITS
        } else {
            self
        }
    }

    /// Returns the limit of the candidates of a service in one data centre.
    pub(crate) fn in_centre(self, is_near: bool) -> usize {
        if is_near {
            self.near
        } else {
            self.far
        }
    }
}
