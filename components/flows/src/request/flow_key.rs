//! Identity of a flow.

use std::{
    fmt,
    net::SocketAddrV4, //
};

use carobdrum_core::process::{
    address_to_number,
    splitmix64, //
};

/// The two endpoints of a flow, which identify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service that the caller opened the flow to.
    pub service_address: SocketAddrV4,
}

impl FlowKey {
    /// Returns a hash of the flow that is equal in every process.
    pub fn hash(&self) -> u64 {
        splitmix64(
            address_to_number(self.caller) ^ splitmix64(address_to_number(self.service_address)),
        )
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.service_address)
    }
}
