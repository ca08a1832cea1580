//! The balancer through which each caller gets its responses.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::Millis;

/// Route of the responses to one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerRoute {
    /// Socket of the balancer that delivered the caller's latest datagram.
    pub(crate) balancer: SocketAddrV4,
    /// Service address that the caller uses.
    pub(crate) service_address: SocketAddrV4,
}

struct CallerEntry {
    caller: SocketAddrV4,
    service_ip: Ipv4Addr,
    last_use: u32,
    route: CallerRoute,
}

/// Time without a datagram from a balancer after which another balancer is used, if that has sent
/// one since.
const BALANCER_TIMEOUT: Millis = Millis(1_000);
/// Number of balancer sockets at which those silent for longer than [`BALANCER_TIMEOUT`] are
/// removed.
const MAX_BALANCERS: usize = 8_192;

struct BalancerEntry {
    balancer: SocketAddrV4,
    last_received: Millis,
}

/// Bounded table of callers, sorted by caller and service address.
///
/// When it is full, the callers without a datagram for longest are removed. A removed caller gets
/// responses again after its next datagram. If a caller's balancer is silent, the balancer that
/// sent a datagram last is used instead: any balancer can send to any caller, and a caller that
/// waits without sending would otherwise get no further response.
pub(crate) struct CallerTable {
    capacity: usize,
    uses: u32,
    entries: Vec<CallerEntry>,
    /// Sorted by address.
    balancers: Vec<BalancerEntry>,
}

impl CallerTable {
    /// Creates a table for `capacity` callers.
    pub(crate) fn new(capacity: usize) -> CallerTable {
        CallerTable {
            capacity: capacity.max(1),
            uses: 0,
            entries: Vec::new(),
            balancers: Vec::new(),
        }
    }

    /// Records that a datagram of `caller` arrived by `route`.
    pub(crate) fn record(&mut self, now: Millis, caller: SocketAddrV4, route: CallerRoute) {
        self.uses = self.uses.wrapping_add(1);
        self.record_balancer(now, route.balancer);
        let service_ip = *route.service_address.ip();
        match self.find(caller, service_ip) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.route = route;
                entry.last_use = self.uses;
            }
            Err(_) => {
                self.make_room();
                let index = self.find(caller, service_ip).unwrap_or_else(|index| index);
                let entry = CallerEntry {
                    caller,
                    service_ip,
                    last_use: self.uses,
                    route,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Returns the route for responses to `caller`, or `None` if the caller isn't in the table.
    pub(crate) fn route(
        &self,
        now: Millis,
        caller: SocketAddrV4,
        service_ip: Ipv4Addr,
    ) -> Option<CallerRoute> {
        let index = self.find(caller, service_ip).ok()?;
        let route = self.entries[index].route;
        let last_received = self.last_received_at(route.balancer);
        if now.since(last_received) < BALANCER_TIMEOUT {
            return Some(route);
        }
        let latest = self
            .balancers
            .iter()
            .max_by_key(|entry| entry.last_received);
        let balancer = match latest {
            Some(latest) if latest.last_received > last_received => latest.balancer,
            _ => route.balancer,
        };
        Some(CallerRoute { balancer, ..route })
    }

    fn record_balancer(&mut self, now: Millis, balancer: SocketAddrV4) {
        match self.find_balancer(balancer) {
            Ok(index) => self.balancers[index].last_received = now,
            Err(_) => {
                if self.balancers.len() >= MAX_BALANCERS {
                    self.balancers
                        .retain(|entry| now.since(entry.last_received) < BALANCER_TIMEOUT);
                }
                let index = self.find_balancer(balancer).unwrap_or_else(|index| index);
                let entry = BalancerEntry {
                    balancer,
                    last_received: now,
                };
                self.balancers.insert(index, entry);
            }
        }
    }

    fn last_received_at(&self, balancer: SocketAddrV4) -> Millis {
        let found = self.find_balancer(balancer);
        found.map_or(Millis(0), |index| self.balancers[index].last_received)
    }

    fn find_balancer(&self, balancer: SocketAddrV4) -> Result<usize, usize> {
        self.balancers
            .binary_search_by_key(&balancer, |entry| entry.balancer)
    }

    fn find(&self, caller: SocketAddrV4, service_ip: Ipv4Addr) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(caller, service_ip), |entry| {
                (entry.caller, entry.service_ip)
            })
    }

    /// Removes the older half of the entries when the table is full, so that the cost of the search
    /// is spread over many insertions.
    fn make_room(&mut self) {
        if self.entries.len() < self.capacity {
            return;
        }
        let now = self.uses;
        let age = |entry: &CallerEntry| now.wrapping_sub(entry.last_use);
        let mut ages: Vec<u32> = self.entries.iter().map(age).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.entries.retain(|entry| age(entry) < median);
    }
}
