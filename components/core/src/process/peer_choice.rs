//! Random choice of balancers to talk to.

use std::net::SocketAddrV4;

use rand::{
    rngs::SmallRng,
    seq::IndexedRandom,
    Rng, //
};

use super::{
    MemberList,
    MemberRecord, //
};

/// Of this many peers, one is in another data centre, whose links are costly and lossy.
const REMOTE_ONE_IN: u32 = 10;

/// Fewest local peers for that; below, all peers are equal, because changes must leave a data centre
/// within the few repetitions that a small fleet makes.
const MIN_LOCAL: usize = 8;

/// The live balancers other than the member itself, split by data centre.
#[derive(Clone, Debug, Default)]
pub struct PeerChoice {
    local: Vec<SocketAddrV4>,
    remote: Vec<SocketAddrV4>,
}

impl PeerChoice {
    /// Builds the choice of `own` from the balancers of `list`.
    pub fn new(list: &MemberList, own: &MemberRecord) -> PeerChoice {
        let mut choice = PeerChoice::default();
        for record in list.balancers().iter().filter_map(|&key| list.get(key)) {
            if record.address == own.address {
                continue;
            }
            match record.data_centre == own.data_centre {
                true => choice.local.push(record.address),
                false => choice.remote.push(record.address),
            }
        }
        choice
    }

    /// Returns whether there is no peer.
    pub fn is_empty(&self) -> bool {
        self.local.is_empty() && self.remote.is_empty()
    }

    /// Returns a random peer, nine times out of ten in the same data centre if that has many.
    pub fn pick(&self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        if self.is_empty() {
            return None;
        }
        let remote = match self.local.len() {
            few @ 0..MIN_LOCAL => rng.random_range(0..few + self.remote.len()) >= few,
            _ => rng.random_ratio(1, REMOTE_ONE_IN),
        };
        let (first, other) = match remote {
            true => (&self.remote, &self.local),
            false => (&self.local, &self.remote),
        };
        first.choose(rng).or_else(|| other.choose(rng)).copied()
    }

    /// Returns a random peer in another data centre, if there is one.
    pub fn pick_remote(&self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        self.remote.choose(rng).copied()
    }

    /// Returns up to `count` different peers, of which none is `except`.
    pub fn pick_some(
        &self,
        rng: &mut SmallRng,
        count: usize,
        except: Option<SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let mut picked = Vec::with_capacity(count);
        for _ in 0..4 * count {
            let peer = self.pick(rng);
            let fresh = peer.filter(|peer| !picked.contains(peer) && Some(*peer) != except);
            picked.extend(fresh);
            if picked.len() == count {
                break;
            }
        }
        picked
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        (self.local.capacity() + self.remote.capacity()) * size_of::<SocketAddrV4>()
    }
}
