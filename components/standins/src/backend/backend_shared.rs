//! State of a backend server.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        OnceLock,
        Weak, //
    },
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use super::{
    load_meter::LoadMeter,
    run_counter::RunCounter,
    BackendSettings,
    BackendStats,
    ServiceTime, //
};
use crate::{
    port_switch::PortSwitch,
    PortMode, //
};

/// Injected faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendFaults {
    pub(crate) draining: bool,
    /// Probability of answering a request with 503.
    pub(crate) shed_probability: f64,
    /// How many of the next responses are truncated.
    pub(crate) truncate_responses: u32,
    /// Age up to which the health endpoint repeats a report.
    pub(crate) health_cache_age: Duration,
    /// Body that the health endpoint returns instead of the real state.
    pub(crate) health_override: Option<Bytes>,
}

/// State of a backend server.
pub(crate) struct BackendState {
    pub(crate) meter: LoadMeter,
    pub(crate) run_counter: RunCounter,
    pub(crate) faults: BackendFaults,
    pub(crate) service_time: ServiceTime,
    /// Mode set by the handle; in [`PortMode::Open`], an overloaded server still refuses
    /// connections.
    wanted_mode: PortMode,
    is_overloaded: bool,
    cold_since: Option<Instant>,
    instance: u64,
    last_health: Option<(Instant, Bytes)>,
    rng: SmallRng,
    answered: u64,
    shed: u64,
    overload_failures: u64,
    traceparent: Option<CompactString>,
    request_timeout: Option<CompactString>,
}

/// State shared by the connections of a backend server.
///
/// It refers to the port only weakly, so that the port is closed with the last handle.
pub(crate) struct BackendShared {
    pub(crate) settings: BackendSettings,
    pub(crate) frozen: watch::Sender<bool>,
    state: Mutex<BackendState>,
    port: OnceLock<Weak<PortSwitch>>,
}

/// Decision about a request on its arrival.
pub(crate) enum AdmissionOutcome {
    /// The request is run, with this service time.
    Run(LoadGuard, Duration),
    /// The request is answered with 503.
    Shed,
    /// The request exceeds the capacity: the connection is closed, and the server is down.
    Overloaded,
}

impl BackendShared {
    pub(crate) fn new(settings: BackendSettings) -> BackendShared {
        let now = Instant::now();
        let cold = !settings.warm_up.is_zero();
        let state = BackendState {
            meter: LoadMeter::new(now),
            run_counter: RunCounter::default(),
            faults: BackendFaults::default(),
            service_time: settings.service_time,
            wanted_mode: PortMode::Open,
            is_overloaded: false,
            cold_since: cold.then_some(now),
            instance: 1,
            last_health: None,
            rng: SmallRng::seed_from_u64(settings.seed),
            answered: 0,
            shed: 0,
            overload_failures: 0,
            traceparent: None,
            request_timeout: None,
        };
        BackendShared {
            settings,
            frozen: watch::Sender::new(false),
            state: Mutex::new(state),
            port: OnceLock::new(),
        }
    }

    /// Sets the port, which is started after `self` because its connections need `self`.
    pub(crate) fn set_port(&self, port: Weak<PortSwitch>) {
        let _ = self.port.set(port);
    }

    fn port(&self) -> Option<Arc<PortSwitch>> {
        self.port.get()?.upgrade()
    }

    /// Locks the state.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Sets how the port handles connections.
    pub(crate) fn set_mode(&self, mode: PortMode) {
        let mut state = self.lock();
        state.wanted_mode = mode;
        self.update_port(&state);
    }

    /// Makes the server cold, as a restart does; the instance number grows.
    pub(crate) fn reset_warm_up(&self) {
        let mut state = self.lock();
        state.cold_since = Some(Instant::now());
        state.instance += 1;
    }

    /// Restarts the server: connections are closed, and the new instance is cold.
    pub(crate) fn restart(&self) {
        self.reset_warm_up();
        if let Some(port) = self.port() {
            port.close_connections();
        }
    }

    /// Records the headers of a request that [`BackendStats`] reports.
    pub(crate) fn record_headers(&self, headers: &http::HeaderMap) {
        let read = |name| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.map(CompactString::from)
        };
        let mut state = self.lock();
        state.traceparent = read("traceparent");
        state.request_timeout = read("request-timeout-ms");
    }

    /// Admits a request, unless it is shed or exceeds the capacity.
    pub(crate) fn admit_request(self: &Arc<Self>) -> AdmissionOutcome {
        let now = Instant::now();
        let mut state = self.lock();
        let shed_probability = state.faults.shed_probability;
        if shed_probability > 0.0 && state.rng.random_bool(shed_probability) {
            state.shed += 1;
            return AdmissionOutcome::Shed;
        }
        let capacity = self.capacity(&state, now);
        let load = state.meter.enter(now);
        if load > capacity {
            state.meter.leave(now);
            self.start_downtime(&mut state);
            return AdmissionOutcome::Overloaded;
        }
        let time = state.service_time;
        let time = time.draw(&mut state.rng);
        let shared = Arc::clone(self);
        AdmissionOutcome::Run(LoadGuard { shared }, time)
    }

    /// Returns how many concurrent requests the server can handle at `now`; more overload it.
    pub(crate) fn capacity(&self, state: &BackendState, now: Instant) -> u32 {
        let slots = self.settings.slots;
        let Some(since) = state.cold_since else {
            return slots;
        };
        let warm_up = self.settings.warm_up.as_secs_f64();
        let warmup_level = now.saturating_duration_since(since).as_secs_f64() / warm_up.max(1e-9);
        1 + (f64::from(slots - 1) * warmup_level.min(1.0)) as u32
    }

    /// Closes all connections and refuses new ones for the overload downtime.
    fn start_downtime(self: &Arc<Self>, state: &mut BackendState) {
        if state.is_overloaded {
            return;
        }
        state.is_overloaded = true;
        state.overload_failures += 1;
        self.update_port(state);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(shared.settings.overload_downtime).await;
            shared.end_downtime();
        });
    }

    fn end_downtime(&self) {
        let mut state = self.lock();
        state.is_overloaded = false;
        state.instance += 1;
        state.cold_since = Some(Instant::now());
        self.update_port(&state);
    }

    fn update_port(&self, state: &BackendState) {
        let mode = match state.wanted_mode {
            PortMode::Open if state.is_overloaded => PortMode::Refusing,
            mode => mode,
        };
        if let Some(port) = self.port() {
            port.set(mode);
        }
    }

    /// Returns the body of the health endpoint, which may be repeated or overridden by a fault.
    pub(crate) fn health(&self) -> Bytes {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(report) = &state.faults.health_override {
            return report.clone();
        }
        if let Some((taken, report)) = &state.last_health {
            if now.saturating_duration_since(*taken) < state.faults.health_cache_age {
                return report.clone();
            }
        }
        let report = Bytes::from(self.health_json(&state, now).to_string());
        state.last_health = Some((now, report.clone()));
        report
    }

    fn health_json(&self, state: &BackendState, now: Instant) -> Value {
        let capacity = self.capacity(state, now);
        let state_name = match state.faults.draining {
            true => "draining",
            false if capacity < self.settings.slots => "cold",
            false => "ok",
        };
        json!({
            "state": state_name,
            "in_flight": state.meter.in_flight(),
            "slots": self.settings.slots,
            "instance": state.instance,
        })
    }

    /// Returns the statistics since the start or the last reset.
    pub(crate) fn stats(&self) -> BackendStats {
        let mut state = self.lock();
        state.meter.advance(Instant::now());
        BackendStats {
            in_flight: state.meter.in_flight(),
            max_in_flight: state.meter.max_in_flight(),
            in_flight_time: state.meter.integral(),
            answered: state.answered,
            shed: state.shed,
            overload_failures: state.overload_failures,
            traceparent: state.traceparent.clone(),
            request_timeout: state.request_timeout.clone(),
        }
    }

    /// Resets the statistics; the run counts stay.
    pub(crate) fn reset_stats(&self) {
        let mut state = self.lock();
        state.meter.reset(Instant::now());
        state.answered = 0;
        state.shed = 0;
        state.overload_failures = 0;
        state.traceparent = None;
        state.request_timeout = None;
    }
}

impl BackendState {
    /// Returns the number of the server's instance, which grows with each restart.
    pub(crate) fn instance(&self) -> u64 {
        self.instance
    }

    /// Returns whether to truncate the current response, and counts it.
    pub(crate) fn take_truncation(&mut self) -> bool {
        let is_truncated = self.faults.truncate_responses > 0;
        self.faults.truncate_responses = self.faults.truncate_responses.saturating_sub(1);
        is_truncated
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct LoadGuard {
    shared: Arc<BackendShared>,
}

impl LoadGuard {
    /// Counts the request as completely answered.
    pub(crate) fn finish(self) {
        self.shared.lock().answered += 1;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.shared.lock().meter.leave(Instant::now());
    }
}
