//! Route of the flows to one address.

use std::net::SocketAddrV4;

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};
use compact_str::CompactString;

/// A service and its share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: CompactString,
    /// Weight relative to the other services of the route; zero for no new flows.
    pub weight: u32,
}

/// Route of the flows to one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowRoute {
    /// Address that callers open flows to.
    pub address: SocketAddrV4,
    /// Services of the route with their shares, in configured order.
    pub shares: Vec<ServiceShare>,
    /// Priority class of the requests; zero is served first.
    pub priority: u8,
    /// Time within which callers expect the response.
    pub latency_objective: Millis,
    /// Whether requests may be repeated: they are idempotent or downloads.
    pub is_idempotent: bool,
}

impl FlowRoute {
    /// Returns the services of the route, beginning with the one chosen for the flow.
    ///
    /// The choice depends only on the flow and the shares, so every process makes the same one.
    pub fn services(&self, flow_hash: u64) -> impl Iterator<Item = &CompactString> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = splitmix64(flow_hash ^ SHARE_SALT) % total.max(1);
        let mut first = 0;
        for (index, share) in self.shares.iter().enumerate() {
            let weight = u64::from(share.weight);
            if point < weight {
                first = index;
                break;
            }
            point -= weight;
        }
        let ahead = self.shares.iter().skip(first);
        let wrapped = self.shares.iter().take(first);
        ahead.chain(wrapped).map(|share| &share.service)
    }

    /// Returns whether new flows may go to `service`.
    pub fn allows(&self, service: &str) -> bool {
        self.shares
            .iter()
            .any(|share| share.service == service && share.weight > 0)
    }
}

/// Keeps the choice of the service independent of the ranking of the agents.
const SHARE_SALT: u64 = 0x5eed_5a17;
