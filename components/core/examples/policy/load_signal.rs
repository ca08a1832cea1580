//! Loads that an agent may compare and report.

use carobdrum_core::{
    request::AdmissionController,
    Millis, //
};

/// Load of a smoothed signal at which held requests equal the limit.
const HALF_SCALE: f64 = 128.0;

/// Steps of the flow signal per doubling.
const STEPS_PER_DOUBLING: f64 = 16.0;

/// What a load is measured by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LoadSignal {
    /// Load of the gate.
    Gate,
    /// Running and waiting requests at this moment, in 1/255 of the limit.
    Instant,
    /// Mean of running and waiting requests over a time constant in ms; 128 is the limit.
    Smoothed(f64),
    /// Flows held, relative to the limit, in sixteenths of a doubling.
    Flows,
    /// The larger of flows held and, in the same steps, the smoothed excess over the limit.
    FlowsAndQueue,
}

/// Keeps what the signals need.
#[derive(Clone, Debug)]
pub(crate) struct LoadMeter {
    mean_held: f64,
    updated: Millis,
    tau_ms: f64,
}

impl LoadMeter {
    /// Creates the meter of an idle agent.
    pub(crate) fn new(signal: LoadSignal) -> LoadMeter {
        let tau_ms = match signal {
            LoadSignal::Smoothed(tau_ms) => tau_ms,
            _ => 1_000.0,
        };
        LoadMeter {
            mean_held: 0.0,
            updated: Millis(0),
            tau_ms,
        }
    }

    /// Accounts for the time since the last change; called before each change of the gate.
    pub(crate) fn update(&mut self, now: Millis, controller: &AdmissionController) {
        let elapsed = now.since(self.updated).0 as f64;
        let share = 1.0 - (-elapsed / self.tau_ms).exp();
        self.mean_held += share * (held_by(controller) - self.mean_held);
        self.updated = now;
    }

    /// Returns the load by `signal`.
    pub(crate) fn load(
        &self,
        now: Millis,
        signal: LoadSignal,
        controller: &AdmissionController,
        flows: u32,
    ) -> u8 {
        let limit = f64::from(controller.limit().max(1));
        let load = match signal {
            LoadSignal::Gate => f64::from(controller.load(now)),
            LoadSignal::Instant => 255.0 * held_by(controller) / limit,
            LoadSignal::Smoothed(_) => HALF_SCALE * self.mean_held / limit,
            LoadSignal::Flows => flow_steps(flows, limit),
            LoadSignal::FlowsAndQueue => {
                let excess = (self.mean_held / limit).max(1.0);
                flow_steps(flows, limit) + STEPS_PER_DOUBLING * excess.log2()
            }
        };
        load.min(255.0) as u8
    }
}

fn flow_steps(flows: u32, limit: f64) -> f64 {
    let per_slot = f64::from(flows) / limit;
    STEPS_PER_DOUBLING * (1.0 + per_slot).log2()
}

fn held_by(controller: &AdmissionController) -> f64 {
    f64::from(controller.in_flight()) + controller.queued() as f64
}
