//! Injected faults of the relay and their effect on a datagram.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use rand::Rng;

/// Endpoints of a datagram in either direction: caller, service address and balancer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayPath {
    pub(crate) caller: SocketAddrV4,
    pub(crate) service: SocketAddrV4,
    pub(crate) balancer: Ipv4Addr,
}

/// Delays of the copies of a datagram; one `Some` delivers it, two duplicate it, none loses it.
pub(crate) type CopyDelays = [Option<Duration>; 2];

/// Balancers and faults now in effect.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayFaults {
    pub(crate) balancers: Vec<Ipv4Addr>,
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) delay: Duration,
    pub(crate) jitter: Duration,
    pub(crate) isolated_balancers: Vec<Ipv4Addr>,
    pub(crate) blackholed_flows: Vec<(SocketAddrV4, SocketAddrV4)>,
}

impl RelayFaults {
    /// Picks a balancer for a datagram; `None` if there is none.
    pub(crate) fn pick_balancer(&self, rng: &mut impl Rng) -> Option<Ipv4Addr> {
        match self.balancers.len() {
            0 => None,
            count => Some(self.balancers[rng.random_range(0..count)]),
        }
    }

    /// Decides how many copies of a datagram are delivered, and their delays.
    pub(crate) fn decide_copies(&self, path: RelayPath, rng: &mut impl Rng) -> CopyDelays {
        let flow = (path.caller, path.service);
        if self.isolated_balancers.contains(&path.balancer) || self.blackholed_flows.contains(&flow)
        {
            return [None, None];
        }
        if draw_event(self.loss, rng) {
            return [None, None];
        }
        let first = Some(self.pick_delay(rng));
        let is_duplicated = draw_event(self.duplicates, rng);
        [first, is_duplicated.then(|| self.pick_delay(rng))]
    }

    fn pick_delay(&self, rng: &mut impl Rng) -> Duration {
        match self.jitter.is_zero() {
            true => self.delay,
            false => self.delay + self.jitter.mul_f64(rng.random()),
        }
    }
}

/// Returns `true` with a probability; draws no random number if the probability is 0.
fn draw_event(probability: f64, rng: &mut impl Rng) -> bool {
    probability > 0.0 && rng.random_bool(probability)
}
