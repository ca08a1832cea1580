//! Start and stop of a balancer.

use std::{
    sync::Arc,
    thread::JoinHandle, //
};

use carobdrum_control::spawn_thread;
use carobdrum_settings::{
    read_secret,
    BalancerSettings, //
};
use carobdrum_wire::TunnelKey;
use snafu::{
    OptionExt,
    ResultExt, //
};
use tokio::sync::{
    mpsc,
    watch, //
};
use tracing::info;

use super::{
    balancer_error::{
        ControlEndedSnafu,
        ThreadFailedSnafu, //
    },
    control_thread::{
        run_control,
        ControlParts, //
    },
    traffic_state::TrafficState,
    traffic_thread::{
        run_traffic,
        TrafficAddresses, //
    },
    BalancerError,
    BalancerMetrics, //
};
use crate::ForwardPlan;

/// Maximum number of version notices queued for the control thread.
const NOTICE_QUEUE_LEN: usize = 16;

/// Handle of a running balancer.
pub struct BalancerHandle {
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl BalancerHandle {
    /// Starts a balancer on its own threads and waits until its control address is open.
    ///
    /// # Errors
    ///
    /// Returns a [`BalancerError`] if the settings can't be used, or if a socket, thread or actor
    /// can't be created.
    pub fn spawn(settings: BalancerSettings) -> Result<BalancerHandle, BalancerError> {
        let secret = read_secret(&settings.process.secret_file)?;
        let key = TunnelKey::new(&secret);
        let metrics = BalancerMetrics::default();
        let (plans, plan) = watch::channel(Arc::new(ForwardPlan::default()));
        let (stop, stopped) = watch::channel(false);
        let (notice_sender, notice_receiver) = mpsc::channel(NOTICE_QUEUE_LEN);
        let mut threads = Vec::new();
        for index in 0..settings.threads {
            let state = TrafficState::new(
                &key,
                settings.process.address.port(),
                metrics.clone(),
                notice_sender.clone(),
            );
            let addresses = TrafficAddresses {
                tunnel_ip: *settings.process.address.ip(),
                listen_ip: settings.listen_ip,
            };
            let (metrics, plan) = (metrics.clone(), plan.clone());
            let traffic = move || run_traffic(state, addresses, metrics, plan);
            let thread = spawn_thread(format!("traffic-{index}"), traffic);
            threads.push(thread.context(ThreadFailedSnafu)?);
        }
        // This may run on a runtime, where blocking on a Tokio channel would panic.
        let (ready, started) = std::sync::mpsc::sync_channel(1);
        let parts = ControlParts {
            settings,
            secret,
            metrics,
            plans,
            notice_receiver,
            stopped,
            ready,
        };
        let thread = spawn_thread("control", move || run_control(parts));
        threads.push(thread.context(ThreadFailedSnafu)?);
        started.recv().ok().context(ControlEndedSnafu)??;
        Ok(BalancerHandle { stop, threads })
    }

    /// Stops the balancer gracefully and waits until its threads have ended.
    pub fn stop(self) {
        self.stop.send_replace(true);
        for thread in self.threads {
            // The panic of a thread has been reported already.
            let _ = thread.join();
        }
    }
}

/// Runs a balancer until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns a [`BalancerError`] if the balancer or the signal handlers can't be started.
pub fn run(settings: BalancerSettings) -> Result<(), BalancerError> {
    let handle = BalancerHandle::spawn(settings)?;
    carobdrum_control::wait_for_stop().context(ThreadFailedSnafu)?;
    info!("graceful shutdown started");
    handle.stop();
    Ok(())
}
