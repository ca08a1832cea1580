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

/// Settings of a backend server, with a method to change each default.
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
    /// Creates settings for a server of `service` with a capacity of `slots` concurrent requests,
    /// without warm-up, on a loopback port that the system picks.
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

    /// Sets the address to listen on.
    pub fn address(mut self, address: SocketAddr) -> BackendSettings {
        self.address = address;
        self
    }

    /// Sets how long the server works on a request; zero by default.
    pub fn service_time(mut self, time: ServiceTime) -> BackendSettings {
        self.service_time = time;
        self
    }

    /// Sets how long the capacity of a cold server grows, from one request to all slots.
    pub fn warm_up(mut self, duration: Duration) -> BackendSettings {
        self.warm_up = duration;
        self
    }

    /// Sets how long an overloaded server refuses connections, 1 s by default; it is cold
    /// afterwards.
    pub fn overload_downtime(mut self, duration: Duration) -> BackendSettings {
        self.overload_downtime = duration;
        self
    }

    /// Sets the seed of service times and shedding.
    pub fn seed(mut self, seed: u64) -> BackendSettings {
        self.seed = seed;
        self
    }
}
