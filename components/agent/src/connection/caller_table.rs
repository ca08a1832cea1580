//! The balancer through which each caller is answered.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

/// How to answer one caller.
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

/// Bounded table of callers, sorted by caller and service address.
///
/// When it is full, the caller unheard for longest leaves it; that caller is answered again after
/// its next datagram.
pub(crate) struct CallerTable {
    capacity: usize,
    uses: u32,
    entries: Vec<CallerEntry>,
}

impl CallerTable {
    /// Creates a table for `capacity` callers.
    pub(crate) fn new(capacity: usize) -> CallerTable {
        CallerTable {
            capacity: capacity.max(1),
            uses: 0,
            entries: Vec::new(),
        }
    }

    /// Records that a datagram of `caller` came by `route`.
    pub(crate) fn note(&mut self, caller: SocketAddrV4, route: CallerRoute) {
        self.uses = self.uses.wrapping_add(1);
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

    /// Returns the route to `caller`.
    pub(crate) fn route(&self, caller: SocketAddrV4, service_ip: Ipv4Addr) -> Option<CallerRoute> {
        let found = self.find(caller, service_ip);
        found.ok().map(|index| self.entries[index].route)
    }

    fn find(&self, caller: SocketAddrV4, service_ip: Ipv4Addr) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(caller, service_ip), |entry| {
                (entry.caller, entry.service_ip)
            })
    }

    /// Removes the older half of the entries when the table is full, so that the cost of finding
    /// them is shared by many insertions.
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
