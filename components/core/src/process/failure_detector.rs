//! Probes in flight and suspicions, as in the SWIM protocol.

use std::net::SocketAddrV4;

use super::{
    stable_hash::address_to_number,
    MemberRecord, //
};
use crate::Millis;

/// Time without an ack after which other members are asked to probe the target.
pub const DIRECT_PROBE_TIMEOUT: Millis = Millis(300);

/// Time without any ack after which the target is suspected.
pub const PROBE_TIMEOUT: Millis = Millis(1_000);

/// Time that a suspected member has to refute before the member that raised the suspicion declares
/// it dead.
pub const SUSPICION_TIMEOUT: Millis = Millis(5_000);

/// Time after which a member that learned of the suspicion from others declares the target dead. It
/// is longer, because the refutation may still be on its way.
pub const REMOTE_SUSPICION_TIMEOUT: Millis = Millis(12_000);

/// Interval of probes of a suspected member, each of which carries the suspicion.
const SUSPICION_PROBE_INTERVAL: Millis = Millis(1_000);

/// Largest number of probes on behalf of others at once.
const MAX_RELAYS: usize = 64;

/// A probe that this member sent on behalf of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRelay {
    /// The member that asked for the probe.
    pub requester: SocketAddrV4,
    /// Number that the requester gave to the probe.
    pub requester_number: u32,
    number: u32,
    since: Millis,
}

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    number: u32,
    target: SocketAddrV4,
    since: Millis,
    indirect_sent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    address: SocketAddrV4,
    since: Millis,
    timeout: Millis,
    next_probe: Millis,
}

/// Tracks probes until they are acknowledged or time out, and suspicions until they are refuted or
/// confirmed.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    last_number: u32,
    pending: Vec<PendingProbe>,
    relays: Vec<ProbeRelay>,
    suspicions: Vec<Suspicion>,
}

impl FailureDetector {
    /// Starts a probe of `target` and returns its number, or `None` if one is in flight already.
    pub fn start_probe(&mut self, now: Millis, target: SocketAddrV4) -> Option<u32> {
        if self.pending.iter().any(|probe| probe.target == target) {
            return None;
        }
        let number = self.next_number();
        self.pending.push(PendingProbe {
            number,
            target,
            since: now,
            indirect_sent: false,
        });
        Some(number)
    }

    /// Starts a probe on behalf of `requester` and returns its number, or `None` if too many are in
    /// flight.
    pub fn start_relay(
        &mut self,
        now: Millis,
        requester: SocketAddrV4,
        requester_number: u32,
    ) -> Option<u32> {
        self.relays
            .retain(|relay| now.since(relay.since) < PROBE_TIMEOUT);
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let number = self.next_number();
        self.relays.push(ProbeRelay {
            requester,
            requester_number,
            number,
            since: now,
        });
        Some(number)
    }

    /// Returns the number for a probe that may stay unanswered without consequences.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        self.last_number
    }

    /// Records the ack of probe `number` and returns the member that was probed, or `None` if the
    /// probe isn't in flight.
    pub fn finish_probe(&mut self, number: u32) -> Option<SocketAddrV4> {
        let found = self.pending.iter().position(|probe| probe.number == number);
        found.map(|index| self.pending.swap_remove(index).target)
    }

    /// Ends probe `number` on behalf of another member and returns who asked for it, or `None` if
    /// there is no such probe.
    pub fn finish_relay(&mut self, number: u32) -> Option<ProbeRelay> {
        let found = self.relays.iter().position(|relay| relay.number == number);
        found.map(|index| self.relays.swap_remove(index))
    }

    /// Drops the probes of `target`, from which a message has arrived or which is dead.
    pub fn cancel_probes(&mut self, target: SocketAddrV4) {
        self.pending.retain(|probe| probe.target != target);
    }

    /// Returns the number and the target of each probe for which indirect probes should be
    /// requested now. Each probe is returned once.
    pub fn due_indirect(&mut self, now: Millis) -> Vec<(u32, SocketAddrV4)> {
        let mut due = Vec::new();
        for probe in &mut self.pending {
            if !probe.indirect_sent && now.since(probe.since) >= DIRECT_PROBE_TIMEOUT {
                probe.indirect_sent = true;
                due.push((probe.number, probe.target));
            }
        }
        due
    }

    /// Removes the probes that have timed out and returns their targets.
    pub fn take_failed(&mut self, now: Millis) -> Vec<SocketAddrV4> {
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

    /// Records that a member is suspected; `is_own_report` says whether this member raised the
    /// suspicion itself.
    pub fn add_suspicion(&mut self, now: Millis, record: &MemberRecord, is_own_report: bool) {
        let timeout = match is_own_report {
            true => SUSPICION_TIMEOUT,
            false => REMOTE_SUSPICION_TIMEOUT,
        };
        let suspicion = Suspicion {
            address: record.address,
            since: now,
            timeout,
            next_probe: match is_own_report {
                true => now,
                false => now.plus(Millis(timeout.0 - 2 * SUSPICION_PROBE_INTERVAL.0)),
            },
        };
        match self.find(record.address) {
            Ok(index) => self.suspicions[index] = suspicion,
            Err(index) => self.suspicions.insert(index, suspicion),
        }
    }

    /// Ends the suspicion of the member at `address`.
    pub fn clear_suspicion(&mut self, address: SocketAddrV4) {
        if let Ok(index) = self.find(address) {
            self.suspicions.remove(index);
        }
    }

    /// Returns the suspected members that should be probed now, so that they learn of the
    /// suspicion.
    pub fn due_suspicion_probes(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for suspicion in &mut self.suspicions {
            if now >= suspicion.next_probe {
                suspicion.next_probe = now.plus(SUSPICION_PROBE_INTERVAL);
                due.push(suspicion.address);
            }
        }
        due
    }

    /// Removes the suspicions that weren't refuted in time and returns their members.
    pub fn take_confirmed(&mut self, now: Millis) -> Vec<SocketAddrV4> {
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

    /// Drops all probes and extends all suspicions by `gap`, during which this process didn't run
    /// or received nothing.
    pub fn restart_timeouts(&mut self, gap: Millis) {
        self.pending.clear();
        self.relays.clear();
        for suspicion in &mut self.suspicions {
            suspicion.since = suspicion.since.plus(gap);
        }
    }

    /// Returns the number of probes in flight.
    pub fn pending_probes(&self) -> usize {
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
