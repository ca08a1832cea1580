//! Faults of the relay, and what they do to a datagram.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use rand::Rng;

/// Where a datagram goes: between a caller, at a service address, and a balancer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayPath {
    pub(crate) caller: SocketAddrV4,
    pub(crate) service: SocketAddrV4,
    pub(crate) balancer: Ipv4Addr,
}

/// What happens to a datagram: the delay of each copy, none if it is lost.
pub(crate) type CopyDelays = [Option<Duration>; 2];

/// Balancers and faults, as they are at the moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayFaults {
    pub(crate) balancers: Vec<Ipv4Addr>,
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) delay: Duration,
    pub(crate) jitter: Duration,
    pub(crate) cuts: Vec<Ipv4Addr>,
    pub(crate) silenced: Vec<(SocketAddrV4, SocketAddrV4)>,
}

impl RelayFaults {
    /// Picks a balancer for a datagram.
    pub(crate) fn pick_balancer(&self, rng: &mut impl Rng) -> Option<Ipv4Addr> {
        match self.balancers.len() {
            0 => None,
            count => Some(self.balancers[rng.random_range(0..count)]),
        }
    }

    /// Decides how many copies of a datagram are delivered, and how late.
    pub(crate) fn judge(&self, path: RelayPath, rng: &mut impl Rng) -> CopyDelays {
        let flow = (path.caller, path.service);
        if self.cuts.contains(&path.balancer) || self.silenced.contains(&flow) {
            return [None, None];
        }
        if happens(self.loss, rng) {
            return [None, None];
        }
        let first = Some(self.pick_delay(rng));
        let copied = happens(self.duplicates, rng);
        [first, copied.then(|| self.pick_delay(rng))]
    }

    fn pick_delay(&self, rng: &mut impl Rng) -> Duration {
        match self.jitter.is_zero() {
            true => self.delay,
            false => self.delay + self.jitter.mul_f64(rng.random()),
        }
    }
}

/// Draws from the random numbers only when the outcome is open.
fn happens(probability: f64, rng: &mut impl Rng) -> bool {
    probability > 0.0 && rng.random_bool(probability)
}
