//! Settings of the relay.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration, //
};

/// Settings of the relay, built up by its methods.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    pub(crate) services: Vec<SocketAddrV4>,
    pub(crate) balancers: Vec<Ipv4Addr>,
    pub(crate) seed: u64,
    pub(crate) max_callers: usize,
    pub(crate) idle: Duration,
}

impl RelaySettings {
    /// Creates settings for the service addresses and the balancers behind them.
    pub fn new(
        services: impl IntoIterator<Item = SocketAddrV4>,
        balancers: impl IntoIterator<Item = Ipv4Addr>,
    ) -> RelaySettings {
        RelaySettings {
            services: services.into_iter().collect(),
            balancers: balancers.into_iter().collect(),
            seed: 1,
            max_callers: 4096,
            idle: Duration::from_secs(60),
        }
    }

    /// Sets the seed of the random choices.
    pub fn seed(mut self, seed: u64) -> RelaySettings {
        self.seed = seed;
        self
    }

    /// Sets how many pairs of caller and service address may have a socket at once.
    pub fn max_callers(mut self, count: usize) -> RelaySettings {
        self.max_callers = count;
        self
    }

    /// Sets after how long without datagrams a caller's socket is closed.
    pub fn idle(mut self, idle: Duration) -> RelaySettings {
        self.idle = idle;
        self
    }
}
