//! The balancer through which each caller gets its responses.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::Millis;
use tracing::info;

use super::{
    BalancerList,
    CallerSilence, //
};

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
    /// Set while the caller hasn't answered a response.
    silence: Option<CallerSilence>,
}

/// Bounded table of callers, sorted by caller and service address.
///
/// When it is full, the callers without a datagram for longest are removed. A removed caller gets
/// responses again after its next datagram. If a caller's balancer is silent, the balancer that
/// sent a datagram last is used instead: any balancer can send to any caller, and a caller that
/// waits without sending would otherwise get no further response. If the caller doesn't answer,
/// the known balancers are used one after another, because its balancer may be gone and no other
/// need have sent a datagram since.
pub(crate) struct CallerTable {
    capacity: usize,
    uses: u32,
    entries: Vec<CallerEntry>,
    balancers: BalancerList,
}

impl CallerTable {
    /// Creates a table for `capacity` callers.
    pub(crate) fn new(capacity: usize) -> CallerTable {
        CallerTable {
            capacity: capacity.max(1),
            uses: 0,
            entries: Vec::new(),
            balancers: BalancerList::default(),
        }
    }

    /// Records that a datagram of `caller` arrived by `route`.
    pub(crate) fn record(&mut self, now: Millis, caller: SocketAddrV4, route: CallerRoute) {
        self.uses = self.uses.wrapping_add(1);
        self.balancers.record(now, route.balancer);
        let service_ip = *route.service_address.ip();
        match self.find(caller, service_ip) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.route = route;
                entry.silence = None;
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
                    silence: None,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Returns the route for a response that is sent to `caller` now, or `None` if the caller isn't in
    /// the table.
    pub(crate) fn route(
        &mut self,
        now: Millis,
        caller: SocketAddrV4,
        service_ip: Ipv4Addr,
    ) -> Option<CallerRoute> {
        let index = self.find(caller, service_ip).ok()?;
        let entry = &mut self.entries[index];
        let route = entry.route;
        let silence = entry.silence.get_or_insert(CallerSilence::new(now));
        let has_moved = silence.send(now);
        let balancer = match silence.moves() {
            0 => self.balancers.active(now, route.balancer),
            moves => self.balancers.alternative(route.balancer, moves - 1),
        };
        // A caller that is gone leaves one line and not one for each balancer.
        if has_moved && silence.moves() == 1 {
            info!(
                %caller,
                from = %route.balancer,
                to = %balancer,
                "silent response path moved to another balancer"
            );
        }
        Some(CallerRoute { balancer, ..route })
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
