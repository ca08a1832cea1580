//! Probes in flight and members under suspicion.

use std::net::SocketAddrV4;

use super::{
    stable_hash::address_to_number,
    MemberRecord, //
};
use crate::Millis;

/// Wait for a direct answer before others are asked to probe.
pub const DIRECT_TIMEOUT: Millis = Millis(300);

/// Wait for any answer before the member is suspected.
pub const PROBE_TIMEOUT: Millis = Millis(1_000);

/// How long a suspected member may refute before the member that suspected it declares it dead.
pub const SUSPICION_TIMEOUT: Millis = Millis(5_000);

/// The same for a member that only heard of the suspicion. It is longer, because the refutation
/// may still be on its way.
pub const HEARD_SUSPICION_TIMEOUT: Millis = Millis(12_000);

/// Interval of probes of a suspected member, each of which tells it of the suspicion.
const SUSPICION_PROBE_INTERVAL: Millis = Millis(1_000);

/// Probes on behalf of others kept at once.
const MAX_RELAYS: usize = 64;

/// Who waits for the answer to a probe that this member sent on behalf of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRelay {
    /// The member that asked.
    pub asker: SocketAddrV4,
    /// Number of the asker's probe.
    pub asked_number: u32,
    number: u32,
    since: Millis,
}

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    number: u32,
    target: SocketAddrV4,
    since: Millis,
    widened: bool,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    address: SocketAddrV4,
    since: Millis,
    timeout: Millis,
    next_probe: Millis,
}

/// Keeps probes until they are answered, and suspicions until they are refuted or confirmed.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    last_number: u32,
    pending: Vec<PendingProbe>,
    relays: Vec<ProbeRelay>,
    suspicions: Vec<Suspicion>,
}

impl FailureDetector {
    /// Starts a probe of `target` and returns its number, or `None` if one is in flight.
    pub fn begin(&mut self, now: Millis, target: SocketAddrV4) -> Option<u32> {
        if self.pending.iter().any(|probe| probe.target == target) {
            return None;
        }
        let number = self.next_number();
        self.pending.push(PendingProbe {
            number,
            target,
            since: now,
            widened: false,
        });
        Some(number)
    }

    /// Starts a probe on behalf of `asker` and returns its number, or `None` above the limit.
    pub fn relay(&mut self, now: Millis, asker: SocketAddrV4, asked_number: u32) -> Option<u32> {
        self.relays
            .retain(|relay| now.since(relay.since) < PROBE_TIMEOUT);
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let number = self.next_number();
        self.relays.push(ProbeRelay {
            asker,
            asked_number,
            number,
            since: now,
        });
        Some(number)
    }

    /// Returns a number for a probe whose answer nobody waits for.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        self.last_number
    }

    /// Records the answer to probe `number` and returns the member that was probed.
    pub fn answered(&mut self, number: u32) -> Option<SocketAddrV4> {
        let found = self.pending.iter().position(|probe| probe.number == number);
        found.map(|at| self.pending.swap_remove(at).target)
    }

    /// Returns who else waits for the answer to probe `number`.
    pub fn relayed(&mut self, number: u32) -> Option<ProbeRelay> {
        let found = self.relays.iter().position(|relay| relay.number == number);
        found.map(|at| self.relays.swap_remove(at))
    }

    /// Drops the probes of `target`, which has given a sign of life.
    pub fn heard(&mut self, target: SocketAddrV4) {
        self.pending.retain(|probe| probe.target != target);
    }

    /// Returns the probes for which others should be asked now, once each.
    pub fn widen(&mut self, now: Millis) -> Vec<(u32, SocketAddrV4)> {
        let mut due = Vec::new();
        for probe in &mut self.pending {
            if !probe.widened && now.since(probe.since) >= DIRECT_TIMEOUT {
                probe.widened = true;
                due.push((probe.number, probe.target));
            }
        }
        due
    }

    /// Removes the probes that nobody answered and returns their targets.
    pub fn failed(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut failed = Vec::new();
        self.pending.retain(|probe| {
            let expired = now.since(probe.since) >= PROBE_TIMEOUT;
            if expired {
                failed.push(probe.target);
            }
            !expired
        });
        failed
    }

    /// Records that a member is suspected, by this member itself if `own`.
    pub fn suspect(&mut self, now: Millis, record: &MemberRecord, own: bool) {
        let timeout = match own {
            true => SUSPICION_TIMEOUT,
            false => HEARD_SUSPICION_TIMEOUT,
        };
        let suspicion = Suspicion {
            address: record.address,
            since: now,
            timeout,
            next_probe: match own {
                true => now,
                false => now.plus(Millis(timeout.0 - 2 * SUSPICION_PROBE_INTERVAL.0)),
            },
        };
        match self.find(record.address) {
            Ok(at) => self.suspicions[at] = suspicion,
            Err(at) => self.suspicions.insert(at, suspicion),
        }
    }

    /// Ends the suspicion of the member at `address`.
    pub fn clear(&mut self, address: SocketAddrV4) {
        if let Ok(at) = self.find(address) {
            self.suspicions.remove(at);
        }
    }

    /// Returns the suspected members that should be told now.
    pub fn due_probes(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for suspicion in &mut self.suspicions {
            if now >= suspicion.next_probe {
                suspicion.next_probe = now.plus(SUSPICION_PROBE_INTERVAL);
                due.push(suspicion.address);
            }
        }
        due
    }

    /// Removes the suspicions that nobody refuted in time and returns the members.
    pub fn confirmed(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut confirmed = Vec::new();
        self.suspicions.retain(|suspicion| {
            let expired = now.since(suspicion.since) >= suspicion.timeout;
            if expired {
                confirmed.push(suspicion.address);
            }
            !expired
        });
        confirmed
    }

    /// Starts all waits anew after `gap`, in which this member itself didn't run or heard nobody.
    pub fn forgive(&mut self, gap: Millis) {
        self.pending.clear();
        self.relays.clear();
        for suspicion in &mut self.suspicions {
            suspicion.since = suspicion.since.plus(gap);
        }
    }

    /// Returns the number of probes in flight.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of suspected members.
    pub fn suspected(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        self.pending.capacity() * size_of::<PendingProbe>()
            + self.relays.capacity() * size_of::<ProbeRelay>()
            + self.suspicions.capacity() * size_of::<Suspicion>()
    }

    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        let number = address_to_number(address);
        self.suspicions
            .binary_search_by_key(&number, |suspicion| address_to_number(suspicion.address))
    }
}
