//! What happens during the demonstration.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_core::version::CentreState;
use carobdrum_store::{
    ApplyOutcome,
    StoreClient,
    TableEdit, //
};
use tokio::time::{
    sleep,
    Instant, //
};

use crate::cmd::demo::{
    demo_daemons::{
        DemoDaemons,
        DEPLOYMENT, //
    },
    demo_error::{
        EditRefusedSnafu,
        NotReachedSnafu, //
    },
    demo_platform::DemoPlatform,
    demo_tables::{
        demo_pools,
        demo_routes, //
    },
    metrics_probe::read_metric,
    DemoError,
};

/// Part of the duration after which the data centre is taken out.
const OUT_AT: f64 = 0.3;
/// Part of the duration after which the data centre is brought back.
const BACK_AT: f64 = 0.65;
/// Longest time until the processes reach a state.
const REACH_LIMIT: Duration = Duration::from_secs(15);
/// Pace at which the processes are asked.
const ASK_PACE: Duration = Duration::from_millis(10);
/// Name of the balancers' metric of targets.
const TARGETS: &str = "carobdrum_balancer_targets";
/// Name of the balancers' metric of the version in force.
const BALANCER_VERSION: &str = "carobdrum_balancer_config_version";
/// Name of the agents' metric of the version in force.
const AGENT_VERSION: &str = "carobdrum_agent_config_version";

/// What the script measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScriptOutcome {
    /// When the data centre was taken out, after the start of the load.
    pub(super) out_at: Duration,
    /// When it was back in force everywhere.
    pub(super) back_at: Duration,
    /// Longest time from an edit until it was in force everywhere.
    pub(super) in_force: Duration,
    /// Largest time-weighted load of a server over the mean, before the data centre was taken out.
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
    /// Returns [`DemoError::Store`] or [`DemoError::NotReached`].
    pub(super) async fn open(&self) -> Result<(), DemoError> {
        self.apply(CentreState::In, "first version").await?;
        let wanted = self.platform.servers.len() as f64;
        let balancers = &self.daemons.balancer_metrics;
        reach("every balancer knows every target", || async move {
            all_at_least(balancers, TARGETS, wanted).await
        })
        .await
    }

    /// Takes a data centre out and brings it back.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Store`] or [`DemoError::NotReached`].
    pub(super) async fn run(&self, duration: Duration) -> Result<ScriptOutcome, DemoError> {
        let start = Instant::now();
        for server in &self.platform.servers {
            server.server.reset_stats();
        }
        tokio::time::sleep_until(start + duration.mul_f64(OUT_AT)).await;
        let imbalance = self.imbalance();
        let out_at = start.elapsed();
        let out_in_force = self.apply(CentreState::Out, "data centre out").await?;
        tokio::time::sleep_until(start + duration.mul_f64(BACK_AT)).await;
        let back_in_force = self.apply(CentreState::In, "data centre back").await?;
        Ok(ScriptOutcome {
            out_at,
            back_at: start.elapsed(),
            in_force: out_in_force.max(back_in_force),
            imbalance,
        })
    }

    /// Applies an edit, waits until it is in force everywhere and returns how long that took.
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
        reach("the edit is in force everywhere", || {
            self.is_in_force(number)
        })
        .await?;
        Ok(sent.elapsed())
    }

    async fn is_in_force(&self, number: u32) -> bool {
        let (balancers, agents) = (&self.daemons.balancer_metrics, &self.daemons.agent_metrics);
        all_at_least(balancers, BALANCER_VERSION, f64::from(number)).await
            && all_at_least(agents, AGENT_VERSION, f64::from(number)).await
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

async fn all_at_least(addresses: &[SocketAddrV4], name: &str, wanted: f64) -> bool {
    for address in addresses {
        let found = read_metric(*address, name).await;
        if found.is_none_or(|found| found < wanted) {
            return false;
        }
    }
    true
}

/// Asks until a state is reached.
async fn reach<F: std::future::Future<Output = bool>>(
    what: &'static str,
    is_reached: impl Fn() -> F,
) -> Result<(), DemoError> {
    let start = Instant::now();
    while !is_reached().await {
        if start.elapsed() > REACH_LIMIT {
            return NotReachedSnafu {
                what,
                limit: REACH_LIMIT,
            }
            .fail();
        }
        sleep(ASK_PACE).await;
    }
    Ok(())
}
