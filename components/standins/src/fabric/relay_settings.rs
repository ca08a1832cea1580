//! Settings of the relay.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration, //
};

/// Function that is called with the address of a caller and a datagram that it sent.
pub(crate) type ObserverFn = Arc<dyn Fn(SocketAddrV4, &[u8]) + Send + Sync>;

/// Settings of the relay, with a method to change each default.
#[derive(Clone)]
pub struct RelaySettings {
    pub(crate) services: Vec<SocketAddrV4>,
    pub(crate) balancers: Vec<Ipv4Addr>,
    pub(crate) seed: u64,
    pub(crate) max_callers: usize,
    pub(crate) idle_timeout: Duration,
    pub(crate) observer: ObserverFn,
}

impl RelaySettings {
    /// Creates settings for the service addresses and the balancers that serve them; port 0 lets
    /// the system pick a port.
    pub fn new(
        services: impl IntoIterator<Item = SocketAddrV4>,
        balancers: impl IntoIterator<Item = Ipv4Addr>,
    ) -> RelaySettings {
        RelaySettings {
            services: services.into_iter().collect(),
            balancers: balancers.into_iter().collect(),
            seed: 1,
            max_callers: 4096,
            idle_timeout: Duration::from_secs(60),
            observer: Arc::new(|_, _| {}),
        }
    }

    /// Sets the seed of the choice of balancers and of random faults.
    pub fn seed(mut self, seed: u64) -> RelaySettings {
        self.seed = seed;
        self
    }

    /// Sets how many pairs of caller and service address may have a socket at once, 4,096 by
    /// default; datagrams of further pairs are dropped.
    pub fn max_callers(mut self, count: usize) -> RelaySettings {
        self.max_callers = count;
        self
    }

    /// Sets after how long without datagrams from a caller its socket is closed, 60 s by default.
    pub fn idle_timeout(mut self, idle_timeout: Duration) -> RelaySettings {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets a function that is called with the address of the caller and the datagram, for each that
    /// a caller sends and before any fault; by default nothing is called.
    pub fn observer(
        mut self,
        observe: impl Fn(SocketAddrV4, &[u8]) + Send + Sync + 'static,
    ) -> RelaySettings {
        self.observer = Arc::new(observe);
        self
    }
}
