//! Requests on open flows that wait for a slot of the backend server.

use bytes::Bytes;
use carobdrum_core::{
    request::{
        QueueRank,
        RankedQueue, //
    },
    Millis,
};
use hashbrown::HashMap;

use super::{
    packet_arena::{
        HeldPacket,
        PacketArena,
        PacketList, //
    },
    LoadEstimate,
    ReleaseCause,
    RequestRelease,
    SlotPolicy, //
};
use crate::{
    process::HeldCounts,
    request::{
        FlowKey,
        FlowPacket, //
    },
    version::FlowRoute,
};

/// Limit of the held packets.
const MAX_PACKETS: usize = 512;

/// Limit of the total length of the held packets, in bytes.
const MAX_BYTES: usize = 512 * 1_024;

/// Multiple of the slots up to which requests that have waited for half of their objective are
/// sent although no slot is free.
const OVERDUE_SLOT_FACTOR: u32 = 2;

/// Multiple of the objective after which a request is sent in any case.
const HOLD_OBJECTIVES: u64 = 4;

/// Urgency of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTerms {
    /// Priority class; zero is served first.
    pub class: u8,
    /// Time within which the caller expects the response.
    pub objective: Millis,
}

impl RequestTerms {
    /// Returns the terms of the requests of a route.
    pub fn new(route: &FlowRoute) -> RequestTerms {
        RequestTerms {
            class: route.priority,
            objective: route.latency_objective,
        }
    }
}

/// Class of a held request in the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeldClass {
    class: u8,
    /// Whether the response would come after the objective. Within a class, requests that can still be
    /// answered in time run first: under a lasting overload all would be late otherwise.
    is_late: bool,
}

/// What the order of the queue refers to.
#[derive(Clone, Copy, Debug)]
struct QueuedFlow {
    key: FlowKey,
    /// Time at which the request has waited for half of its objective.
    overdue_at: Millis,
    /// Time at which the request is sent in any case.
    hold_end: Millis,
}

#[derive(Clone, Copy, Debug)]
struct HeldRequest {
    rank: QueueRank<HeldClass>,
    arrived: Millis,
    packets: PacketList,
}

/// A request that has left the queue, whose packets are still stored.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakenRequest {
    held: HeldRequest,
}

impl TakenRequest {
    /// Returns the record of sending the request to the server at `now`.
    pub(super) fn release(&self, cause: ReleaseCause, now: Millis) -> RequestRelease {
        RequestRelease {
            class: self.held.rank.class.class,
            waited: now.since(self.held.arrived),
            packets: self.held.packets.len,
            cause,
        }
    }
}

/// Bounded queue of requests on open flows, at most one of each flow.
///
/// The queue decides when a request is sent to the server, and in which order. It never drops one
/// of an open flow: what it can't hold is sent at once.
#[derive(Debug, Default)]
pub struct RequestQueue {
    policy: SlotPolicy,
    ranked: RankedQueue<HeldClass, QueuedFlow>,
    requests: HashMap<FlowKey, HeldRequest>,
    arena: PacketArena,
    /// Number of requests held so far.
    arrivals: u64,
    /// Time of a response before which no further request is late.
    next_late: Millis,
}

impl RequestQueue {
    /// Returns the policy for the slots.
    pub fn policy(&mut self) -> &mut SlotPolicy {
        &mut self.policy
    }

    /// Returns the number of held requests.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Returns the number of held packets and their length in bytes.
    pub fn stored(&self) -> (usize, usize) {
        (self.arena.len(), self.arena.bytes())
    }

    /// Returns whether a request of this flow is held.
    pub fn holds(&self, key: FlowKey) -> bool {
        !self.requests.is_empty() && self.requests.contains_key(&key)
    }

    /// Returns the number of held requests that run before a new one of this class.
    pub fn count_before(&self, class: u8) -> u32 {
        let is_late = true;
        let count = self.ranked.count_up_to(HeldClass { class, is_late });
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the numbers of held requests by class.
    pub fn held_counts(&self) -> HeldCounts {
        let mut counts = HeldCounts::default();
        let mut counted = 0;
        while let Some((rank, _)) = self.ranked.iter().nth(counted as usize) {
            let class = rank.class.class;
            let count = self.count_before(class) - counted;
            counts.push(class, count);
            counted += count;
        }
        counts
    }

    /// Returns whether a request that arrives at `now` is sent at once: a slot is free for its
    /// class, and no held request runs before it.
    pub fn admits(&self, class: u8, load: &LoadEstimate, now: Millis) -> bool {
        self.count_before(class) == 0 && self.has_slot(class, load, now)
    }

    /// Returns whether there is no room for a packet of this length.
    pub fn is_full(&self, len: usize) -> bool {
        self.arena.len() >= MAX_PACKETS || self.arena.bytes() + len > MAX_BYTES
    }

    /// Returns the flow whose request is sent to make room: the oldest one of the least urgent
    /// class. Returns `None` if a new request of `class` is less urgent than all held ones.
    pub fn overflow(&self, class: u8) -> Option<FlowKey> {
        let (last, _) = self.ranked.last()?;
        if last.class.class < class {
            return None;
        }
        let least_urgent = self
            .ranked
            .iter()
            .filter(|(rank, _)| rank.class.class == last.class.class);
        let oldest = least_urgent.min_by_key(|(rank, _)| rank.order)?;
        Some(oldest.1.key)
    }

    /// Returns the class of a flow's held request.
    pub fn class(&self, key: FlowKey) -> Option<u8> {
        self.requests.get(&key).map(|held| held.rank.class.class)
    }

    /// Holds the first packet of a request, which arrived at `now`.
    pub fn hold(&mut self, packet: FlowPacket, bytes: Bytes, terms: RequestTerms, now: Millis) {
        self.arrivals += 1;
        let rank = rank_of(terms, now, self.arrivals);
        let mut packets = PacketList::default();
        self.arena.push(&mut packets, HeldPacket { packet, bytes });
        let queued = queued_flow(packet.key, terms, now);
        self.next_late = self.next_late.min(rank.deadline);
        self.ranked.insert(rank, queued);
        let held = HeldRequest {
            rank,
            arrived: now,
            packets,
        };
        self.requests.insert(packet.key, held);
    }

    /// Holds a further packet of a held request.
    pub fn append(&mut self, packet: FlowPacket, bytes: Bytes) {
        if let Some(held) = self.requests.get_mut(&packet.key) {
            self.arena
                .push(&mut held.packets, HeldPacket { packet, bytes });
        }
    }

    /// Returns whether a held packet of the same flow has all of this packet's content.
    pub fn has_copy(&self, packet: &FlowPacket) -> bool {
        let Some(held) = self.requests.get(&packet.key) else {
            return false;
        };
        let is_copy = |other: &HeldPacket| {
            let other = &other.packet;
            let has_data = other.sequence == packet.sequence && other.data_len >= packet.data_len;
            has_data && other.kind == packet.kind
        };
        self.arena.iter(held.packets).any(is_copy)
    }

    /// Returns the request that is due at `now`, and why; `None` if all have to wait.
    pub fn next_due(
        &mut self,
        load: &LoadEstimate,
        now: Millis,
    ) -> Option<(FlowKey, ReleaseCause)> {
        self.mark_late(now.plus(load.response_time()));
        let (rank, first) = self.ranked.first()?;
        if self.has_slot(rank.class.class, load, now) {
            return Some((first.key, ReleaseCause::Slot));
        }
        let (cause, found) = if accepts_overdue(load) {
            let is_overdue =
                |_: &QueueRank<HeldClass>, queued: &QueuedFlow| queued.overdue_at <= now;
            (ReleaseCause::HalfObjective, self.ranked.find(is_overdue))
        } else {
            let has_ended = |_: &QueueRank<HeldClass>, queued: &QueuedFlow| queued.hold_end <= now;
            (ReleaseCause::Limit, self.ranked.find(has_ended))
        };
        found.map(|(_, queued)| (queued.key, cause))
    }

    /// Returns when a request is due next, unless one ends before; `None` if none is held.
    pub fn next_deadline(&self, load: &LoadEstimate, now: Millis) -> Option<Millis> {
        let (rank, _) = self.ranked.first()?;
        let class = rank.class.class;
        if self.has_slot(class, load, now) {
            return Some(now);
        }
        let has_overdue_slot = accepts_overdue(load);
        let times = self.ranked.iter().map(|(_, queued)| {
            if has_overdue_slot {
                queued.overdue_at
            } else {
                queued.hold_end
            }
        });
        let earliest = times.min()?;
        let reserve_end = self.policy.reserve_end(class);
        let reserve_end = reserve_end.filter(|end| load.busy() < load.slots() && *end > now);
        Some(reserve_end.map_or(earliest, |end| end.min(earliest)))
    }

    /// Orders the requests that would be answered late, if they were sent now, after the others of
    /// their class. `response` is when the server would answer them.
    fn mark_late(&mut self, response: Millis) {
        if response < self.next_late {
            return;
        }
        let becomes_late = |rank: &QueueRank<HeldClass>, _: &QueuedFlow| {
            !rank.class.is_late && rank.deadline <= response
        };
        while let Some((mut rank, queued)) = self.ranked.find(becomes_late) {
            self.ranked.remove(rank);
            rank.class.is_late = true;
            self.ranked.insert(rank, queued);
            if let Some(held) = self.requests.get_mut(&queued.key) {
                held.rank = rank;
            }
        }
        let in_time = self.ranked.iter().filter(|(rank, _)| !rank.class.is_late);
        let earliest = in_time.map(|(rank, _)| rank.deadline).min();
        self.next_late = earliest.unwrap_or(Millis(u64::MAX));
    }

    /// Returns the flow whose request runs next, whether or not it is due.
    pub fn first(&self) -> Option<FlowKey> {
        self.ranked.first().map(|(_, queued)| queued.key)
    }

    /// Removes the request of a flow from the queue. Its packets are to be taken by
    /// [`RequestQueue::pop`].
    pub(super) fn take(&mut self, key: FlowKey) -> Option<TakenRequest> {
        let held = self.requests.remove(&key)?;
        self.ranked.remove(held.rank);
        Some(TakenRequest { held })
    }

    /// Removes and returns the next packet of a request that has left the queue.
    pub(super) fn pop(&mut self, taken: &mut TakenRequest) -> Option<(FlowPacket, Bytes)> {
        let held = self.arena.pop(&mut taken.held.packets)?;
        Some((held.packet, held.bytes))
    }

    /// Orders the held requests anew, after their routes have changed. A request whose flow has no
    /// terms any more is due at once.
    pub fn reorder(&mut self, terms: impl Fn(FlowKey) -> Option<RequestTerms>) {
        self.ranked.clear();
        self.next_late = Millis(0);
        for (key, held) in &mut self.requests {
            let terms = terms(*key).unwrap_or(RequestTerms {
                class: held.rank.class.class,
                objective: Millis(0),
            });
            held.rank = rank_of(terms, held.arrived, held.rank.order);
            let queued = queued_flow(*key, terms, held.arrived);
            self.ranked.insert(held.rank, queued);
        }
    }

    fn has_slot(&self, class: u8, load: &LoadEstimate, now: Millis) -> bool {
        load.busy() < self.policy.limit(class, load.slots(), now)
    }
}

fn rank_of(terms: RequestTerms, arrived: Millis, order: u64) -> QueueRank<HeldClass> {
    QueueRank {
        class: HeldClass {
            class: terms.class,
            is_late: false,
        },
        deadline: arrived.plus(terms.objective),
        order,
    }
}

fn queued_flow(key: FlowKey, terms: RequestTerms, arrived: Millis) -> QueuedFlow {
    let objective = terms.objective.0;
    QueuedFlow {
        key,
        overdue_at: arrived.plus(Millis(objective / 2)),
        hold_end: arrived.plus(Millis(objective.saturating_mul(HOLD_OBJECTIVES))),
    }
}

/// Returns whether overdue requests are sent although no slot is free.
fn accepts_overdue(load: &LoadEstimate) -> bool {
    load.busy() < load.slots().saturating_mul(OVERDUE_SLOT_FACTOR)
}
