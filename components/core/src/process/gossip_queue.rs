//! Changes that wait to be passed on.

use std::net::SocketAddrV4;

use super::stable_hash::address_to_number;

/// Repetitions of a change for each doubling of the fleet. Two give every member the change with
/// high probability under 5% loss; digests repair the rest.
const REPEAT_FACTOR: u32 = 2;

/// The same while many changes wait, when repetitions of one delay the first copy of another.
const CROWDED_FACTOR: u32 = 1;

/// Waiting changes from which that holds.
const CROWD: usize = 64;

/// Changes kept at once; more than the members of a data centre at the target size.
const MAX_CHANGES: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    number: u64,
    address: SocketAddrV4,
    sent: u32,
}

/// Addresses of changed members, each with the number of times it was sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    entries: Vec<QueueEntry>,
}

impl GossipQueue {
    /// Queues the member at `address`, from the start if it is queued already.
    ///
    /// Above the limit the most sent change leaves.
    pub fn push(&mut self, address: SocketAddrV4) {
        let number = address_to_number(address);
        match self
            .entries
            .binary_search_by_key(&number, |entry| entry.number)
        {
            Ok(at) => self.entries[at].sent = 0,
            Err(at) => {
                let entry = QueueEntry {
                    number,
                    address,
                    sent: 0,
                };
                self.entries.insert(at, entry);
                self.limit();
            }
        }
    }

    /// Takes the least sent changes that fit into `room` bytes.
    ///
    /// `len_of` gives the encoded length of a change, or `None` for one that no longer exists.
    /// A change leaves the queue after a number of repetitions that is logarithmic in `members`.
    pub fn take(
        &mut self,
        room: usize,
        members: usize,
        len_of: impl Fn(SocketAddrV4) -> Option<usize>,
    ) -> Vec<SocketAddrV4> {
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order.sort_by_key(|&at| self.entries[at].sent);
        let mut left = room;
        let mut taken = Vec::new();
        for at in order {
            let entry = &mut self.entries[at];
            let Some(len) = len_of(entry.address) else {
                entry.sent = u32::MAX;
                continue;
            };
            if len > left {
                break;
            }
            left -= len;
            entry.sent += 1;
            taken.push(entry.address);
        }
        let limit = repetitions(members, self.entries.len());
        self.entries.retain(|entry| entry.sent < limit);
        taken
    }

    /// Returns the number of changes that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn limit(&mut self) {
        if self.entries.len() <= MAX_CHANGES {
            return;
        }
        let indices = 0..self.entries.len();
        if let Some(most) = indices.max_by_key(|&at| self.entries[at].sent) {
            self.entries.remove(most);
        }
    }
}

/// Returns how often a change is sent in a fleet of `members` while `waiting` changes wait.
fn repetitions(members: usize, waiting: usize) -> u32 {
    let factor = match waiting {
        0..CROWD => REPEAT_FACTOR,
        _ => CROWDED_FACTOR,
    };
    factor * (usize::BITS - members.leading_zeros())
}
