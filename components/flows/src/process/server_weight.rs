//! Weight of a backend server for new flows.

use carobdrum_core::Millis;

use super::{
    AgentReport,
    ServiceSpeed, //
};

/// The full weight, in eighths. Weights are rounded, so that balancers whose reports differ in age
/// nearly always agree.
const FULL_WEIGHT: u8 = 8;

/// Weight of a server that has just joined, so that it is filled gradually.
const JOINING_WEIGHT: u8 = 4;

/// Time for which a server counts as just joined, after its first report.
const JOINING_TIME: Millis = Millis(1_000);

/// Runtime of the balancer from which a server's first report shows that it has joined.
const SETTLING_TIME: Millis = Millis(5_000);

/// Time without a report after which a server has the full weight again.
const REPORT_RETENTION: Millis = Millis(2_000);

/// Largest difference of a weight that is ignored.
const HYSTERESIS: u8 = 1;

/// Shortest processing time that is told from a shorter one, in microseconds. Agents measure in
/// milliseconds.
const MIN_WORK_US: u32 = 4_000;

/// Number of open flows that is added to those of a server and to the mean, so that few flows make no
/// difference.
const FLOW_ALLOWANCE: u64 = 4;

/// The number one with ten fraction bits.
const ONE: u64 = 1 << 10;

/// Weight of a server for new flows, in use at a balancer, and the history of reports that it depends
/// on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerWeight {
    eighths: u8,
    first_report: Option<Millis>,
    last_report: Option<Millis>,
    /// Whether the last report, and the one before, showed no free slot.
    is_full: [bool; 2],
}

impl Default for ServerWeight {
    fn default() -> ServerWeight {
        ServerWeight {
            eighths: FULL_WEIGHT,
            first_report: None,
            last_report: None,
            is_full: [false; 2],
        }
    }
}

impl ServerWeight {
    /// Returns the weight in eighths, from 1 to 8.
    pub(crate) fn eighths(&self) -> u8 {
        self.eighths
    }

    /// Returns whether the last two reports showed no free slot.
    pub(crate) fn was_full_twice(&self) -> bool {
        self.is_full == [true; 2]
    }

    /// Records a report that arrived at `now`.
    pub(crate) fn note_report(&mut self, report: &AgentReport, now: Millis) {
        self.first_report.get_or_insert(now);
        self.last_report = Some(now);
        self.is_full = [report.is_full(), self.is_full[0]];
    }

    /// Returns whether a report arrived within `span`.
    pub(crate) fn is_reported_within(&self, span: Millis, now: Millis) -> bool {
        self.last_report.is_some_and(|time| now.since(time) < span)
    }

    /// Returns whether the last report is recent enough to count.
    pub(crate) fn is_current(&self, now: Millis) -> bool {
        self.is_reported_within(REPORT_RETENTION, now)
    }

    /// Adapts the weight to the last report; returns whether it changed. `speed` is that of the service,
    /// `started` the start of the balancer.
    pub(crate) fn update(
        &mut self,
        report: &AgentReport,
        speed: ServiceSpeed,
        started: Millis,
        now: Millis,
    ) -> bool {
        let is_current = self.is_current(now);
        let mut target = if is_current {
            target_weight(report, speed)
        } else {
            FULL_WEIGHT
        };
        let is_joining = self.first_report.is_some_and(|first| {
            first.since(started) >= SETTLING_TIME && now.since(first) < JOINING_TIME
        });
        if is_joining {
            target = target.min(JOINING_WEIGHT);
        }
        // Without the exception of the full weight, a server that has recovered could keep 7/8.
        let differs = target == FULL_WEIGHT || target.abs_diff(self.eighths) > HYSTERESIS;
        let changes = differs && target != self.eighths;
        if changes {
            self.eighths = target;
        }
        changes
    }
}

/// Returns the weight of a server by its speed and its open flows, in eighths.
fn target_weight(report: &AgentReport, speed: ServiceSpeed) -> u8 {
    if report.work_us == 0 || speed.fastest_us == 0 {
        return FULL_WEIGHT;
    }
    let work = u64::from(report.work_us.max(MIN_WORK_US));
    let fastest = u64::from(speed.fastest_us.max(MIN_WORK_US));
    // Servers within 1.5 times the fastest time count as equally fast.
    let is_slow = work * 2 > fastest * 3;
    let (slowness, by_speed) = if is_slow {
        let by_speed = fastest * ONE / work;
        (work * ONE / fastest, by_speed.clamp(ONE / 4, ONE))
    } else {
        (ONE, ONE)
    };
    let mean = speed.mean_flows + FLOW_ALLOWANCE * ONE;
    let own = u64::from(report.open_flows) * slowness + FLOW_ALLOWANCE * ONE;
    let by_flows = (mean * ONE / own).clamp(ONE / 2, ONE);
    let full = u64::from(FULL_WEIGHT);
    let rounded = (by_speed * by_flows * full + ONE * ONE / 2) / (ONE * ONE);
    rounded as u8
}
