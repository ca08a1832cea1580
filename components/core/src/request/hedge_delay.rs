//! Delay after which a request is hedged.

use std::{
    collections::VecDeque,
    net::SocketAddrV4, //
};

use crate::Millis;

/// Number of response times below which there is no delay, and so no hedge.
const MIN_SAMPLES: usize = 50;

/// Largest number of response times kept for a route.
const MAX_SAMPLES: usize = 512;

/// Age after which a response time is forgotten.
const SAMPLE_AGE: Millis = Millis(60_000);

/// Percentile of the response times that is the delay.
const PERCENTILE: usize = 95;

/// Largest number of other agents whose percentile is kept.
const MAX_REPORTS: usize = 32;

/// Age after which another agent's percentile is forgotten; three times the interval at which agents
/// ask for them.
const REPORT_AGE: Millis = Millis(15_000);

/// Number of hedges that ended since the last change after which their results are judged.
const MIN_ENDED: u32 = 8;

/// Factor by which the delay grows when more than a third of the hedges lost.
const STRETCH_FACTOR: f64 = 1.5;

/// Largest multiple of the percentile.
const MAX_STRETCH: f64 = 8.0;

/// Time in which the part of the delay above the percentile halves.
const STRETCH_HALF_LIFE_MS: f64 = 30_000.0;

/// The percentile of a route's response times at another agent's server.
#[derive(Clone, Copy, Debug)]
struct AgentReport {
    agent: SocketAddrV4,
    percentile: Millis,
    received: Millis,
}

/// Finds the delay after which a request of one route is hedged: the 95th percentile of the route's
/// recent response times.
///
/// On a server that is often or always slow, the percentile of its own times is that of the slow
/// ones, and would hedge none of them in time. The percentiles that other agents of the service
/// reported therefore shorten the delay to their median.
///
/// Most response times are close to each other, and a hedge at their percentile is too late to win
/// against those just above it. The delay therefore grows while more than a third of the hedges
/// lose, and falls back to the percentile with time.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    /// In the order of arrival.
    samples: VecDeque<(Millis, Millis)>,
    sorted: Vec<Millis>,
    reports: Vec<AgentReport>,
    /// Multiple of the percentile at the time of its latest change.
    stretch: f64,
    stretched: Millis,
    won: u32,
    lost: u32,
}

impl Default for HedgeDelay {
    fn default() -> HedgeDelay {
        HedgeDelay {
            samples: VecDeque::new(),
            sorted: Vec::new(),
            reports: Vec::new(),
            stretch: 1.0,
            stretched: Millis(0),
            won: 0,
            lost: 0,
        }
    }
}

impl HedgeDelay {
    /// Records the time from the start of a request on the own server to its response.
    ///
    /// A request that was cancelled because its hedge won is recorded with the time until then;
    /// without it, the percentile would leave out the slowest requests and fall.
    pub fn record(&mut self, now: Millis, time: Millis) {
        self.forget(now);
        if self.samples.len() == MAX_SAMPLES {
            self.remove_oldest();
        }
        self.samples.push_back((now, time));
        let index = self.sorted.partition_point(|&other| other < time);
        self.sorted.insert(index, time);
    }

    /// Records the percentile that another agent reported for the route.
    pub fn record_report(&mut self, now: Millis, agent: SocketAddrV4, percentile: Millis) {
        let reports = &mut self.reports;
        reports.retain(|report| report.agent != agent && now.since(report.received) < REPORT_AGE);
        if reports.len() == MAX_REPORTS {
            reports.remove(0);
        }
        reports.push(AgentReport {
            agent,
            percentile,
            received: now,
        });
    }

    /// Returns the 95th percentile of the response times of the own server, or `None` if there are
    /// too few.
    pub fn percentile(&mut self, now: Millis) -> Option<Millis> {
        self.forget(now);
        let len = self.sorted.len();
        if len < MIN_SAMPLES {
            return None;
        }
        let rank = (len * PERCENTILE).div_ceil(100);
        Some(self.sorted[rank - 1])
    }

    /// Returns the delay, at least `min_delay`, or `None` if there are too few response times.
    pub fn delay(&mut self, now: Millis, min_delay: Millis) -> Option<Millis> {
        let own = self.percentile(now)?;
        let mut reports: Vec<Millis> = self
            .reports
            .iter()
            .filter(|report| now.since(report.received) < REPORT_AGE)
            .map(|report| report.percentile)
            .collect();
        reports.sort_unstable();
        let median = reports.get(reports.len() / 2).copied();
        let percentile = median.map_or(own, |median| own.min(median));
        let stretched = percentile.0 as f64 * self.stretch_at(now);
        Some(Millis(stretched as u64).max(min_delay))
    }

    /// Records whether a hedge that another agent ran won.
    pub fn record_end(&mut self, now: Millis, has_won: bool) {
        self.won += u32::from(has_won);
        self.lost += u32::from(!has_won);
        let ended = self.won + self.lost;
        if ended < MIN_ENDED {
            return;
        }
        if self.lost * 3 > ended {
            self.stretch = (self.stretch_at(now) * STRETCH_FACTOR).min(MAX_STRETCH);
            self.stretched = now;
        }
        (self.won, self.lost) = (0, 0);
    }

    fn stretch_at(&self, now: Millis) -> f64 {
        let age = now.since(self.stretched).0 as f64;
        1.0 + (self.stretch - 1.0) * (-age / STRETCH_HALF_LIFE_MS).exp2()
    }

    /// Returns when the latest response time was recorded.
    pub(super) fn last_recorded(&self) -> Millis {
        self.samples.back().map_or(Millis(0), |&(time, _)| time)
    }

    fn forget(&mut self, now: Millis) {
        while self
            .samples
            .front()
            .is_some_and(|&(recorded, _)| now.since(recorded) >= SAMPLE_AGE)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, time)) = self.samples.pop_front() else {
            return;
        };
        if let Ok(index) = self.sorted.binary_search(&time) {
            self.sorted.remove(index);
        }
    }
}
