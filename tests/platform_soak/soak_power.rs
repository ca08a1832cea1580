//! Losses of power while callers have open flows.

use std::{
    net::Ipv4Addr,
    time::Duration, //
};

use rand::{
    rngs::SmallRng,
    Rng, //
};
use tokio::{
    task::JoinSet,
    time::{
        sleep,
        sleep_until,
        Instant, //
    },
};

use crate::{
    soak_caller::{
        sum_counts,
        SoakCaller,
        SoakCount,
        CALLER_NET, //
    },
    soak_router::SoakRouter,
    soak_site::{
        SoakSite,
        BULK_ROUTE,
        ROUTE, //
    },
    soak_verdict::SETTLING_DURATION,
};

/// Number of callers that keep a flow open without using it, and the fourth octet of the first one's address.
pub(crate) const IDLE_CALLERS: u8 = 32;
const FIRST_IDLE_CALLER: u8 = 100;

/// Pause before an idle caller tries to open its flow again.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Range of the time before a loss of power, in milliseconds. Two losses in a row may be closer than the time
/// that a process needs to start.
const FIRST_LOSS_MS: std::ops::Range<u64> = 1_500..2_500;
const NEXT_LOSS_MS: std::ops::Range<u64> = 200..2_500;

/// Range of the time from a loss of power to the start of a process or server, in milliseconds.
const RETURN_MS: std::ops::Range<u64> = 900..1_400;

/// Range of the time after [`SETTLING_DURATION`] at which an idle caller uses its flow again, in milliseconds.
const RESUME_MS: std::ops::Range<u64> = 300..2_000;

/// When power is lost, and when each process and server starts again.
pub(crate) struct PowerPlan {
    /// Pause before each loss, and the delays from the loss to the starts.
    losses: Vec<(Duration, Vec<Duration>)>,
}

impl PowerPlan {
    /// Draws one loss of power or two in a row.
    pub(crate) fn draw(site: &SoakSite, random: &mut SmallRng) -> PowerPlan {
        let starts = site.processes.len() + site.servers.len();
        let mut losses = Vec::new();
        for pause in [FIRST_LOSS_MS, NEXT_LOSS_MS]
            .into_iter()
            .take(random.random_range(1..=2))
        {
            let pause = draw_ms(pause, random);
            let delays = (0..starts).map(|_| draw_ms(RETURN_MS, random)).collect();
            losses.push((pause, delays));
        }
        PowerPlan { losses }
    }

    /// Returns the time from the start of the plan to the last start of a process or server.
    pub(crate) fn duration(&self) -> Duration {
        let losses = self.losses.iter();
        losses
            .map(|(pause, delays)| *pause + delays.iter().max().copied().unwrap_or_default())
            .sum()
    }

    /// Lets the site lose power.
    pub(crate) async fn run(&self, site: &mut SoakSite) {
        for (pause, delays) in &self.losses {
            sleep(*pause).await;
            site.lose_power(delays).await;
        }
    }
}

/// Opens a flow at each idle caller, on both routes. Each caller uses its flow again at a random time once the
/// site has settled after `outage`, the time from now to the end of the last loss of power.
pub(crate) async fn run_idle_callers(
    router: &SoakRouter,
    base: u8,
    outage: Duration,
    random: &mut SmallRng,
) -> SoakCount {
    let mut callers = JoinSet::new();
    let settled = Instant::now() + outage + SETTLING_DURATION;
    for number in 0..IDLE_CALLERS {
        let ip = Ipv4Addr::new(127, base, CALLER_NET, FIRST_IDLE_CALLER + number);
        let route = [ROUTE, BULK_ROUTE][usize::from(number) % 2];
        let mut caller = SoakCaller::bind(ip, route, router).await;
        let resumed = settled + draw_ms(RESUME_MS, random);
        callers.spawn(async move {
            let flow = loop {
                if let Some(flow) = caller.open_flow().await {
                    break flow;
                }
                sleep(OPEN_RETRY_DELAY).await;
            };
            if caller.ask(flow, 0).await && caller.stay_idle(flow, resumed).await {
                caller.ask(flow, 1).await;
            }
            sleep_until(resumed).await;
            caller.count
        });
    }
    sum_counts(callers).await
}

/// Returns a random duration.
pub(crate) fn draw_ms(range: std::ops::Range<u64>, random: &mut SmallRng) -> Duration {
    Duration::from_millis(random.random_range(range))
}
