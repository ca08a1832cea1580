//! Early refusal of new flows by a service without room.

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};

use super::agent_table::AgentState;
use crate::{
    connection::wait_limit_us,
    version::FlowRoute, //
};

/// Age up to which a report shows that a server has no room.
const REPORT_TTL: Millis = Millis(300);

/// Share of the flows that are refused up to twice the wait limit, and above it, in percent. The rest
/// shows when room returns.
const REFUSED_PERCENT: u64 = 50;
const MAX_REFUSED_PERCENT: u64 = 90;

/// Keeps the choice of refused flows independent of the ranking of the agents.
const REFUSAL_SALT: u64 = 0x0000_4efa_5a1d;

/// Load of a service whose servers all lack room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceLoad {
    /// Wait limit of the route, in microseconds.
    limit_us: u32,
    /// Shortest expected wait of a new request of the route at any server, in microseconds.
    least_wait_us: u64,
}

impl ServiceLoad {
    /// Returns the load of a service with these usable agents for new flows of `route`; `None` if there is
    /// none, or if any of them hasn't shown in a recent report that a new request would wait longer than the
    /// limit of the route.
    pub(crate) fn measure<'a>(
        agents: impl Iterator<Item = &'a AgentState>,
        route: &FlowRoute,
        now: Millis,
    ) -> Option<ServiceLoad> {
        let limit_us = wait_limit_us(route, 0);
        let mut least_wait_us = u64::MAX;
        for state in agents {
            let wait_us = state.report.wait_us(route.priority);
            if wait_us <= u64::from(limit_us) || !state.weight.is_reported_within(REPORT_TTL, now) {
                return None;
            }
            least_wait_us = least_wait_us.min(wait_us);
        }
        (least_wait_us < u64::MAX).then_some(ServiceLoad {
            limit_us,
            least_wait_us,
        })
    }

    /// Returns whether a new flow with this hash is refused.
    pub(crate) fn refuses(&self, hash: u64) -> bool {
        let percent = if self.least_wait_us > u64::from(self.limit_us) * 2 {
            MAX_REFUSED_PERCENT
        } else {
            REFUSED_PERCENT
        };
        splitmix64(hash ^ REFUSAL_SALT) % 100 < percent
    }
}
