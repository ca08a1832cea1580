//! Load signals that an agent may compare and report.

use carobdrum_core::{
    request::AdmissionController,
    Millis, //
};

/// Load of a smoothed signal at which the outstanding requests equal the limit.
const LIMIT_LOAD: f64 = 128.0;

/// Steps of the flow signal per doubling of the flows.
const STEPS_PER_DOUBLING: f64 = 16.0;

/// How the load of an agent is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LoadSignal {
    /// Load that the admission controller reports.
    Controller,
    /// Outstanding requests at this moment, in 1/255 of the limit.
    Instant,
    /// Mean of the outstanding requests with this time constant in milliseconds; 128 is the limit.
    Smoothed(f64),
    /// Flows of the agent relative to the limit, in sixteenths of a doubling.
    Flows,
    /// The flow signal plus, in the same steps, the factor by which the smoothed outstanding
    /// requests exceed the limit.
    FlowsAndQueue,
}

/// State from which the load signals are computed.
#[derive(Clone, Debug)]
pub(crate) struct SignalMeter {
    mean_outstanding: f64,
    updated: Millis,
    tau_ms: f64,
}

impl SignalMeter {
    pub(crate) fn new(signal: LoadSignal) -> SignalMeter {
        let tau_ms = match signal {
            LoadSignal::Smoothed(tau_ms) => tau_ms,
            _ => 1_000.0,
        };
        SignalMeter {
            mean_outstanding: 0.0,
            updated: Millis(0),
            tau_ms,
        }
    }

    /// Accounts for the time since the last change; to be called before each change of the
    /// controller.
    pub(crate) fn update(&mut self, now: Millis, controller: &AdmissionController) {
        let elapsed = now.since(self.updated).0 as f64;
        let share = 1.0 - (-elapsed / self.tau_ms).exp();
        self.mean_outstanding += share * (outstanding_requests(controller) - self.mean_outstanding);
        self.updated = now;
    }

    /// Returns the load as `signal` measures it.
    pub(crate) fn load(
        &self,
        now: Millis,
        signal: LoadSignal,
        controller: &AdmissionController,
        flows: u32,
    ) -> u8 {
        let limit = f64::from(controller.limit().max(1));
        let load = match signal {
            LoadSignal::Controller => f64::from(controller.load(now)),
            LoadSignal::Instant => 255.0 * outstanding_requests(controller) / limit,
            LoadSignal::Smoothed(_) => LIMIT_LOAD * self.mean_outstanding / limit,
            LoadSignal::Flows => flow_steps(flows, limit),
            LoadSignal::FlowsAndQueue => {
                let excess = (self.mean_outstanding / limit).max(1.0);
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

fn outstanding_requests(controller: &AdmissionController) -> f64 {
    f64::from(controller.in_flight()) + controller.queued() as f64
}
