//! Flow whose owner is searched for.

use carobdrum_core::process::splitmix64;

use super::FlowKey;

/// A flow whose owner is searched for, and how far its caller has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueriedFlow {
    /// The flow.
    pub key: FlowKey,
    /// Acknowledgement number of the caller's packet.
    pub acknowledged: u32,
}

impl QueriedFlow {
    /// Returns a digest of flows and their order. The reply to a query repeats it, which shows that the
    /// agent has read the flows that the balancer asked for.
    pub fn digest(flows: &[QueriedFlow]) -> u64 {
        flows.iter().fold(1, |digest, flow| {
            splitmix64(digest ^ flow.key.hash() ^ splitmix64(u64::from(flow.acknowledged)))
        })
    }
}
