//! Speed and open flows of a service's servers, with which each one is compared.

use super::AgentReport;

/// Number of servers up to which the fastest one is the reference. With more, one whose time is short
/// by chance would make the others look slow.
const MAX_FEW_SERVERS: usize = 10;

/// Speed and open flows of a service's servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceSpeed {
    /// Shortest processing time of a server, in microseconds; the 10th percentile of many servers. Zero
    /// if no server reports its time.
    pub(crate) fastest_us: u32,
    /// Mean number of open flows, with ten fraction bits.
    pub(crate) mean_flows: u64,
}

impl ServiceSpeed {
    /// Returns the speed of the servers that sent `reports`. Reports without a processing time, as older
    /// builds send them, don't count. `times` is scratch space.
    pub(crate) fn measure<'a>(
        reports: impl Iterator<Item = &'a AgentReport>,
        times: &mut Vec<u32>,
    ) -> ServiceSpeed {
        times.clear();
        let mut flows = 0;
        for report in reports.filter(|report| report.work_us > 0) {
            times.push(report.work_us);
            flows += u64::from(report.open_flows);
        }
        if times.is_empty() {
            return ServiceSpeed::default();
        }
        let rank = if times.len() > MAX_FEW_SERVERS {
            times.len() / 10
        } else {
            0
        };
        let (_, fastest_us, _) = times.select_nth_unstable(rank);
        ServiceSpeed {
            fastest_us: *fastest_us,
            mean_flows: (flows << 10) / times.len() as u64,
        }
    }
}
