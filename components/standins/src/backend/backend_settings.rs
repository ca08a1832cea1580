//! Settings of a backend server.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use compact_str::CompactString;

use super::ServiceTime;

/// Settings of a backend server, built up by its methods.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    pub(crate) name: CompactString,
    pub(crate) service: CompactString,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) service_time: ServiceTime,
    pub(crate) warm_up: Duration,
    pub(crate) overload_downtime: Duration,
    pub(crate) seed: u64,
}

impl BackendSettings {
    /// Creates settings for a server of `service` that bears `slots` requests at once, without
    /// cold start, on a loopback port that the system picks.
    pub fn new(
        name: impl Into<CompactString>,
        service: impl Into<CompactString>,
        slots: u32,
    ) -> BackendSettings {
        BackendSettings {
            name: name.into(),
            service: service.into(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            slots: slots.max(1),
            service_time: ServiceTime::Fixed(Duration::ZERO),
            warm_up: Duration::ZERO,
            overload_downtime: Duration::from_secs(1),
            seed: 1,
        }
    }

    /// Sets the address.
    pub fn address(mut self, address: SocketAddr) -> BackendSettings {
        self.address = address;
        self
    }

    /// Sets how long the server works on a request.
    pub fn service_time(mut self, time: ServiceTime) -> BackendSettings {
        self.service_time = time;
        self
    }

    /// Sets how long a cold server takes until it bears all slots; it bears one request at first.
    pub fn warm_up(mut self, span: Duration) -> BackendSettings {
        self.warm_up = span;
        self
    }

    /// Sets how long the server refuses connections after it fell over; it is cold afterwards.
    pub fn overload_downtime(mut self, span: Duration) -> BackendSettings {
        self.overload_downtime = span;
        self
    }

    /// Sets the seed of the random choices.
    pub fn seed(mut self, seed: u64) -> BackendSettings {
        self.seed = seed;
        self
    }
}
