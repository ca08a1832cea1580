//! Settings of an agent, which are applied again when their file has changed.

use std::cell::RefCell;

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::ResendLimits,
    TrackerSettings, //
};
use carobdrum_settings::{
    BackendSettings,
    FlowSettings, //
};
use tokio::{
    signal::unix::Signal,
    sync::mpsc, //
};
use tracing::warn;

use super::{
    node_context::flow_lifetime,
    reload_cause::ReloadCause,
    settings_file::{
        next_check,
        SettingsFile, //
    }, //
};
use crate::connection::AgentUpdate;

/// Time by which the activity timeout of a backend server ends before its address may be reused, to
/// allow for differences between clocks and for delays.
const REUSE_MARGIN: Millis = Millis(100);

/// Settings of an agent, and the traffic thread to which changes of them are sent.
pub(crate) struct AgentSettings {
    file: RefCell<SettingsFile>,
    updates: mpsc::Sender<AgentUpdate>,
    /// Value at the start: registration and the answers to queries belong together.
    reset_lost: bool,
}

impl AgentSettings {
    /// Creates the settings of an agent that has applied those of `file`.
    pub(crate) fn new(file: SettingsFile, updates: mpsc::Sender<AgentUpdate>) -> AgentSettings {
        AgentSettings {
            reset_lost: file.current().flows.reset_lost,
            file: RefCell::new(file),
            updates,
        }
    }

    /// Returns whether the backend server is of this service.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        let file = self.file.borrow();
        let backend = file.current().backend.as_ref();
        backend.is_some_and(|backend| backend.service == service)
    }

    /// Reads the file again at each signal, and regularly.
    pub(crate) async fn follow(&self, signal: &mut Signal) {
        loop {
            let cause = next_check(signal).await;
            self.reload(cause).await;
        }
    }

    /// Reads the file again and applies the settings if they have changed.
    pub(crate) async fn reload(&self, cause: ReloadCause) {
        let changed = self.file.borrow_mut().reload(cause);
        if let Some(settings) = changed {
            self.apply(settings).await;
        }
    }

    async fn apply(&self, mut settings: FlowSettings) {
        settings.flows.reset_lost = self.reset_lost;
        let Some(backend) = &settings.backend else {
            warn!("changed settings ignored: they name no backend server");
            return;
        };
        let tracker = tracker_settings(&settings, backend);
        let update = AgentUpdate::Settings(tracker, resend_limits(&settings));
        if self.updates.send(update).await.is_err() {
            warn!("changed settings not applied: the traffic thread has ended");
        }
    }
}

/// Returns the settings of the agent's flows.
pub(crate) fn tracker_settings(
    settings: &FlowSettings,
    backend: &BackendSettings,
) -> TrackerSettings {
    let reuse = Millis((backend.reuse_s * 1_000.0) as u64);
    TrackerSettings {
        address: settings.node.packets,
        server: backend.address,
        centre: settings.node.data_centre.clone(),
        service: backend.service.clone(),
        activity_timeout: reuse.since(REUSE_MARGIN),
        cold_factor: backend.cold_factor,
        cold_slack: backend.cold_slack,
        flow_lifetime: flow_lifetime(&settings.node),
        reset_lost: settings.flows.reset_lost,
        schedule_requests: settings.flows.schedule_requests,
    }
}

/// Returns the limits of copies to callers.
pub(crate) fn resend_limits(settings: &FlowSettings) -> ResendLimits {
    ResendLimits {
        percent: settings.flows.resend_percent,
        min_delay: Millis(u64::from(settings.flows.resend_min_delay_ms)),
    }
}
