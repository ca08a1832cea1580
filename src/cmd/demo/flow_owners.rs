//! Backend servers that own the flows of the demo's callers.

use std::net::SocketAddrV4;

use carobdrum_core::version::KeyRing;
use compact_str::CompactString;

use crate::cmd::demo::{
    demo_addresses::{
        process_address,
        DemoAddresses, //
    },
    demo_platform::DemoPlatform,
    flow_ids::FlowIds, //
};

/// Names the server that owns a flow, also before its first response: the agent's address is sealed
/// in the connection IDs that the caller uses.
pub(super) struct FlowOwners {
    ids: FlowIds,
    keys: KeyRing,
    /// Tunnel address and server of each agent.
    servers: Vec<(SocketAddrV4, CompactString)>,
}

impl FlowOwners {
    /// Creates the names of the servers of a deployment whose agents seal with `keys`.
    pub(super) fn new(
        addresses: &DemoAddresses,
        platform: &DemoPlatform,
        keys: KeyRing,
    ) -> FlowOwners {
        let names = platform.servers.iter().map(|server| server.name.clone());
        let agents = (0..).map(|index| process_address(addresses.agent(index)));
        FlowOwners {
            ids: platform.flow_ids.clone(),
            keys,
            servers: agents.zip(names).collect(),
        }
    }

    /// Returns the server that owns the latest flow of a caller's port, or an empty text if no agent
    /// has accepted it yet.
    pub(super) fn server(&self, port: u16) -> CompactString {
        let latest = self.ids.latest(port);
        let owner = latest.and_then(|id| self.keys.open(&id));
        let server = owner.and_then(|owner| {
            let mut servers = self.servers.iter();
            servers.find(|(agent, _)| *agent == owner.agent)
        });
        server.map_or_else(CompactString::default, |(_, name)| name.clone())
    }
}
