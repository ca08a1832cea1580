//! Changed member records that are queued for gossip.

use std::net::SocketAddrV4;

use super::stable_hash::address_to_number;

/// Transmissions of a change for each doubling of the number of members. With two, the change
/// reaches every member with high probability under 5% packet loss; bulk syncs after a comparison
/// of digests repair the rest.
const RETRANSMIT_FACTOR: u32 = 2;

/// The same for a long queue, in which repeating one change delays the first transmission of
/// another.
const LONG_QUEUE_RETRANSMIT_FACTOR: u32 = 1;

/// Number of queued changes from which the queue counts as long.
const LONG_QUEUE_LEN: usize = 64;

/// Largest number of queued changes; more than the members of one data centre at the target size.
const MAX_QUEUE_LEN: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    number: u64,
    address: SocketAddrV4,
    transmissions: u32,
}

/// Addresses of changed members, each with the number of its transmissions.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    entries: Vec<QueueEntry>,
}

impl GossipQueue {
    /// Queues the member at `address`. If it is queued already, its number of transmissions is
    /// reset.
    ///
    /// If the queue is too long then, the change with the most transmissions is removed.
    pub fn push(&mut self, address: SocketAddrV4) {
        let number = address_to_number(address);
        match self
            .entries
            .binary_search_by_key(&number, |entry| entry.number)
        {
            Ok(index) => self.entries[index].transmissions = 0,
            Err(index) => {
                let entry = QueueEntry {
                    number,
                    address,
                    transmissions: 0,
                };
                self.entries.insert(index, entry);
                self.evict_excess();
            }
        }
    }

    /// Returns the changes with the fewest transmissions that fit into `room` bytes, and counts one
    /// transmission of each.
    ///
    /// `len_of` returns the encoded length of a change, or `None` if the member no longer exists. A
    /// change is removed after a number of transmissions that is logarithmic in `members`.
    pub fn take(
        &mut self,
        room: usize,
        members: usize,
        len_of: impl Fn(SocketAddrV4) -> Option<usize>,
    ) -> Vec<SocketAddrV4> {
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order.sort_by_key(|&index| self.entries[index].transmissions);
        let mut left = room;
        let mut taken = Vec::new();
        for index in order {
            let entry = &mut self.entries[index];
            let Some(len) = len_of(entry.address) else {
                entry.transmissions = u32::MAX;
                continue;
            };
            if len > left {
                break;
            }
            left -= len;
            entry.transmissions += 1;
            taken.push(entry.address);
        }
        let limit = retransmit_limit(members, self.entries.len());
        self.entries.retain(|entry| entry.transmissions < limit);
        taken
    }

    /// Returns the number of queued changes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no change is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_excess(&mut self) {
        if self.entries.len() <= MAX_QUEUE_LEN {
            return;
        }
        let indices = 0..self.entries.len();
        if let Some(most) = indices.max_by_key(|&index| self.entries[index].transmissions) {
            self.entries.remove(most);
        }
    }
}

/// Returns how often a change is sent to a fleet of `members` while `queued` changes are in the
/// queue.
fn retransmit_limit(members: usize, queued: usize) -> u32 {
    let factor = match queued {
        0..LONG_QUEUE_LEN => RETRANSMIT_FACTOR,
        _ => LONG_QUEUE_RETRANSMIT_FACTOR,
    };
    factor * (usize::BITS - members.leading_zeros())
}
