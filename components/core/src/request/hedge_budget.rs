//! Limit on the number of hedges.

use std::collections::VecDeque;

use crate::Millis;

/// Length of one step of the window.
const STEP_MS: u64 = 1_000;

/// Number of complete steps in the window: 10 s.
const WINDOW_STEPS: u64 = 10;

/// Shortest time between two changes of the share of the budget that may be used.
const ADJUST_INTERVAL: Millis = Millis(1_000);

/// Number of ended hedges in the window below which their results aren't judged.
const MIN_ENDED: u32 = 3;

/// Largest number of halvings, after which the budget is 1/256.
const MAX_HALVINGS: u32 = 8;

/// Time between two hedges that a halved budget always allows, within the percentage.
const MIN_HEDGE_INTERVAL: Millis = Millis(1_000);

/// How a hedge ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeEnd {
    /// Its response was the first whole one.
    Won,
    /// The own server's response was the first whole one, or the hedge failed.
    Lost,
    /// The other agent didn't run it.
    Refused,
}

/// Requests and hedges in one step of the window.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    step: u64,
    requests: u32,
    sent: u32,
    won: u32,
    wasted: u32,
}

/// Allows hedges for a percentage of the requests of the last 10 s.
///
/// A hedge is paid for by requests of earlier steps only, and is counted for as long as they are.
/// The sum of all hedges therefore stays within the percentage of all requests, a new budget allows
/// nothing, and nothing is added while the clock stands still.
///
/// When more than a third of the ended hedges in the window lost or were refused, the budget halves
/// once a second until fewer do, because hedges are no help to a service that is slow as a whole.
/// A halved budget allows one hedge a second, which shows whether they win again.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    percent: u32,
    /// Sorted by step; those older than the window are removed.
    steps: VecDeque<StepCounts>,
    halvings: u32,
    adjusted: Millis,
    last_sent: Option<Millis>,
}

impl HedgeBudget {
    /// Creates an empty budget that allows hedges for `percent` percent of the requests.
    pub fn new(percent: u32, now: Millis) -> HedgeBudget {
        HedgeBudget {
            percent,
            steps: VecDeque::new(),
            halvings: 0,
            adjusted: now,
            last_sent: None,
        }
    }

    /// Counts a request that could be hedged.
    pub fn count_request(&mut self, now: Millis) {
        self.current_step(now).requests += 1;
    }

    /// Takes one hedge from the budget and returns whether it is allowed.
    pub fn take_hedge(&mut self, now: Millis) -> bool {
        let current = self.current_step(now).step;
        let paying = self.steps.iter().filter(|counts| counts.step < current);
        let requests: u64 = paying.map(|counts| u64::from(counts.requests)).sum();
        let earned = requests * u64::from(self.percent);
        let needed = (self.sum(|counts| counts.sent) + 1) * 100;
        let is_due = self
            .last_sent
            .is_none_or(|last| now.since(last) >= MIN_HEDGE_INTERVAL);
        let is_allowed =
            needed <= earned >> self.halvings || (self.halvings > 0 && is_due && needed <= earned);
        if is_allowed {
            self.last_sent = Some(now);
            self.current_step(now).sent += 1;
        }
        is_allowed
    }

    /// Records how a hedge ended.
    pub fn record_end(&mut self, now: Millis, end: HedgeEnd) {
        let counts = self.current_step(now);
        match end {
            HedgeEnd::Won => counts.won += 1,
            HedgeEnd::Lost | HedgeEnd::Refused => counts.wasted += 1,
        }
        self.adjust(now);
    }

    /// Returns how often the budget has been halved.
    pub fn halvings(&self) -> u32 {
        self.halvings
    }

    fn adjust(&mut self, now: Millis) {
        let wasted = self.sum(|counts| counts.wasted);
        let ended = wasted + self.sum(|counts| counts.won);
        if ended < u64::from(MIN_ENDED) || now.since(self.adjusted) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted = now;
        self.halvings = if wasted * 3 > ended {
            (self.halvings + 1).min(MAX_HALVINGS)
        } else {
            self.halvings.saturating_sub(1)
        };
    }

    fn sum(&self, count: impl Fn(&StepCounts) -> u32) -> u64 {
        self.steps
            .iter()
            .map(|counts| u64::from(count(counts)))
            .sum()
    }

    /// Removes the steps that have left the window, and returns the one at `now`. A time before the
    /// latest step counts as that step.
    fn current_step(&mut self, now: Millis) -> &mut StepCounts {
        let latest = self.steps.back().map_or(0, |counts| counts.step);
        let step = (now.0 / STEP_MS).max(latest);
        while self
            .steps
            .front()
            .is_some_and(|oldest| oldest.step + WINDOW_STEPS < step)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|counts| counts.step != step) {
            self.steps.push_back(StepCounts {
                step,
                ..StepCounts::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
