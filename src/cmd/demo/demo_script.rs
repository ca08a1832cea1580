//! Script of the demo: edits of the tables while the load runs.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_caller::LoadProgress;
use carobdrum_control::{
    KeyWrapper,
    KEY_RING_KEY, //
};
use carobdrum_core::version::{
    CentreState,
    KeyRing, //
};
use carobdrum_store::{
    ApplyOutcome,
    StoreClient,
    TableEdit, //
};
use snafu::OptionExt;
use tokio::time::{
    sleep,
    timeout,
    Instant, //
};

use crate::{
    cmd::demo::{
        demo_daemons::{
            DemoDaemons,
            DEPLOYMENT, //
        },
        demo_platform::DemoPlatform,
        demo_tables::{
            demo_pools,
            demo_routes, //
        },
        metrics_probe::read_metric,
        FLOWS, //
    },
    demo_error::{
        DemoError,
        EditRefusedSnafu,
        StateTimeoutSnafu, //
    }, //
};

/// Fraction of the duration after which the data centre is evacuated.
const EVACUATION_START: f64 = 0.3;
/// Fraction of the duration for which the data centre is evacuated.
const EVACUATION_LENGTH: f64 = 0.35;
/// Longest time until the processes reach an expected state.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which the metrics of the processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Balancer metric: targets that take new flows.
const TARGETS_METRIC: &str = "carobdrum_balancer_targets";
/// Balancer metric: configuration version in force.
const BALANCER_VERSION_METRIC: &str = "carobdrum_balancer_config_version";
/// Agent metric: configuration version in force.
const AGENT_VERSION_METRIC: &str = "carobdrum_agent_config_version";

/// Measurements of the script.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScriptOutcome {
    /// Time from the start of the load until the data centre was evacuated.
    pub(super) evacuated_at: Duration,
    /// Time from the start of the load until its restoration was in force at all processes.
    pub(super) restored_at: Duration,
    /// Longest time from an edit until it was in force at all processes.
    pub(super) in_force: Duration,
    /// Largest time-weighted load of a server divided by the mean, before the evacuation.
    pub(super) imbalance: f64,
}

/// Edits the tables while the load runs.
pub(super) struct DemoScript<'a> {
    platform: &'a DemoPlatform,
    daemons: &'a DemoDaemons,
    service: SocketAddrV4,
    client: StoreClient,
}

impl<'a> DemoScript<'a> {
    /// Creates the script of a deployment whose service is at `service`.
    pub(super) fn new(
        platform: &'a DemoPlatform,
        daemons: &'a DemoDaemons,
        service: SocketAddrV4,
    ) -> DemoScript<'a> {
        DemoScript {
            platform,
            daemons,
            service,
            client: StoreClient::new(platform.store.address(), DEPLOYMENT),
        }
    }

    /// Returns the address of the service.
    pub(super) fn service(&self) -> SocketAddrV4 {
        self.service
    }

    /// Applies the first version and waits until every balancer knows every target.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Store`] or [`DemoError::StateTimeout`].
    pub(super) async fn apply_first_version(&self) -> Result<(), DemoError> {
        self.apply(CentreState::In, "first version").await?;
        let expected = self.platform.servers.len() as f64;
        let balancers = &self.daemons.balancer_metrics;
        wait_until("every balancer knows every target", || async move {
            all_at_least(balancers, TARGETS_METRIC, expected).await
        })
        .await
    }

    /// Waits for the key ring of the fleet and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Store`], [`DemoError::KeyRing`] or [`DemoError::StateTimeout`].
    pub(super) async fn key_ring(&self, secret: &[u8; 32]) -> Result<KeyRing, DemoError> {
        let read = async {
            loop {
                if let Some(entry) = self.client.read_key(KEY_RING_KEY).await? {
                    return Ok::<_, DemoError>(entry);
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        let read = timeout(CONVERGENCE_TIMEOUT, read).await.ok();
        let entry = read.context(StateTimeoutSnafu {
            what: "the key ring is in the store",
            limit: CONVERGENCE_TIMEOUT,
        })??;
        Ok(KeyWrapper::new(secret).unwrap(&entry.value)?)
    }

    /// Evacuates a data centre and restores it, while the load runs for `duration`. It evacuates once all
    /// flows have had a response, since that names the server of a flow.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Store`] or [`DemoError::StateTimeout`].
    pub(super) async fn run(
        &self,
        duration: Duration,
        progress: LoadProgress,
    ) -> Result<ScriptOutcome, DemoError> {
        let start = Instant::now();
        for server in &self.platform.servers {
            server.server.reset_stats();
        }
        tokio::time::sleep_until(start + duration.mul_f64(EVACUATION_START)).await;
        wait_for_answers(&progress).await?;
        let imbalance = self.imbalance();
        let evacuated_at = start.elapsed();
        let evacuation_delay = self.apply(CentreState::Out, "data centre out").await?;
        tokio::time::sleep_until(start + evacuated_at + duration.mul_f64(EVACUATION_LENGTH)).await;
        let restoration_delay = self.apply(CentreState::In, "data centre back").await?;
        Ok(ScriptOutcome {
            evacuated_at,
            restored_at: start.elapsed(),
            in_force: evacuation_delay.max(restoration_delay),
            imbalance,
        })
    }

    /// Applies an edit, waits until it is in force at all processes and returns how long that took.
    async fn apply(
        &self,
        state: CentreState,
        comment: &'static str,
    ) -> Result<Duration, DemoError> {
        let current = self.client.read_version().await?;
        let base = current.map_or(0, |current| current.version.number);
        let edit = TableEdit::new(base, demo_routes(self.service), demo_pools(state))
            .author("demo")
            .comment(comment);
        // The store accepts the edit after this moment, so the measured time is an upper bound.
        let sent = Instant::now();
        let number = match self.client.apply_version(edit).await? {
            ApplyOutcome::Applied(version) => version.number,
            ApplyOutcome::Refused(report) => {
                return EditRefusedSnafu {
                    in_force: report.in_force,
                }
                .fail()
            }
        };
        wait_until("the edit is in force everywhere", || {
            self.is_in_force(number)
        })
        .await?;
        Ok(sent.elapsed())
    }

    async fn is_in_force(&self, number: u32) -> bool {
        let (balancers, agents) = (&self.daemons.balancer_metrics, &self.daemons.agent_metrics);
        all_at_least(balancers, BALANCER_VERSION_METRIC, f64::from(number)).await
            && all_at_least(agents, AGENT_VERSION_METRIC, f64::from(number)).await
    }

    fn imbalance(&self) -> f64 {
        let servers = self.platform.servers.iter();
        let loads: Vec<f64> = servers
            .map(|server| server.server.stats().in_flight_time.as_secs_f64())
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let largest = loads.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 {
            largest / mean
        } else {
            0.0
        }
    }
}

async fn wait_for_answers(progress: &LoadProgress) -> Result<(), DemoError> {
    let answered = progress.wait_for_answered_flows(FLOWS as u64);
    let answered = timeout(CONVERGENCE_TIMEOUT, answered).await;
    answered.ok().context(StateTimeoutSnafu {
        what: "every flow has had a response",
        limit: CONVERGENCE_TIMEOUT,
    })
}

async fn all_at_least(addresses: &[SocketAddrV4], name: &str, expected: f64) -> bool {
    for address in addresses {
        let found = read_metric(*address, name).await;
        if found.is_none_or(|found| found < expected) {
            return false;
        }
    }
    true
}

/// Polls `condition` until it is met; fails after [`CONVERGENCE_TIMEOUT`].
async fn wait_until<F: std::future::Future<Output = bool>>(
    what: &'static str,
    condition: impl Fn() -> F,
) -> Result<(), DemoError> {
    let start = Instant::now();
    while !condition().await {
        if start.elapsed() > CONVERGENCE_TIMEOUT {
            return StateTimeoutSnafu {
                what,
                limit: CONVERGENCE_TIMEOUT,
            }
            .fail();
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
