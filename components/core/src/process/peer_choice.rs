//! Random choice of the balancers that a balancer sends probes and gossip to.

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

/// One in this many chosen peers is in another data centre; the links there are costly and lossy.
const REMOTE_ONE_IN: u32 = 10;

/// Number of peers in the own data centre from which they are preferred. With fewer, all peers are
/// equally likely, because a change has to leave the data centre within the few transmissions that
/// it gets in a small fleet.
const MIN_LOCAL_PEERS: usize = 8;

/// The balancers other than the process itself that aren't dead, in the own data centre and in
/// others.
#[derive(Clone, Debug, Default)]
pub struct PeerChoice {
    local: Vec<SocketAddrV4>,
    remote: Vec<SocketAddrV4>,
}

impl PeerChoice {
    /// Creates the choice of the balancer with `own_record` from the balancers of `list`.
    pub fn new(list: &MemberList, own_record: &MemberRecord) -> PeerChoice {
        let mut choice = PeerChoice::default();
        for record in list.balancers().iter().filter_map(|&key| list.get(key)) {
            if record.address == own_record.address {
                continue;
            }
            match record.data_centre == own_record.data_centre {
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

    /// Returns a random peer, or `None` if there is none. If the own data centre has enough peers,
    /// nine in ten are chosen there.
    pub fn pick(&self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        if self.is_empty() {
            return None;
        }
        let remote = match self.local.len() {
            few @ 0..MIN_LOCAL_PEERS => rng.random_range(0..few + self.remote.len()) >= few,
            _ => rng.random_ratio(1, REMOTE_ONE_IN),
        };
        let (first, other) = match remote {
            true => (&self.remote, &self.local),
            false => (&self.local, &self.remote),
        };
        first.choose(rng).or_else(|| other.choose(rng)).copied()
    }

    /// Returns a random peer in another data centre, or `None` if there is none.
    pub fn pick_remote(&self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        self.remote.choose(rng).copied()
    }

    /// Returns up to `count` different random peers other than `except`.
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
