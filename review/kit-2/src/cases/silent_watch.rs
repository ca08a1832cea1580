//! The store is silent for 4.5 s right after a change of the configuration. Another change follows when it has long
//! been back.

use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::{config_with, ROUTE};
use crate::{caller::Outcome, site::Site};

const ZONE: &str = "zone-a";
const BEFORE: &str = "werkplaats";
const AFTER: &str = "archief";

/// Time after the acknowledgement of the first change at which the store goes silent, and for how long.
const SILENT_AFTER: Duration = Duration::from_millis(300);
const SILENT_FOR: Duration = Duration::from_millis(4_500);

/// Time from the store's return to the change that is judged: twice `StabilityWindowMs`.
const CALM: Duration = Duration::from_secs(8);

/// `ConfigApplyMs`.
const APPLY_LIMIT: f64 = 3.0;

/// Time after the acknowledgement of the change for which requests are sent, and their interval.
const WATCHED: Duration = Duration::from_secs(12);
const INTERVAL: Duration = Duration::from_millis(50);

pub async fn play(site: &mut Site, has_trouble: bool) -> std::io::Result<usize> {
    site.store.put("op/config", &config_with(1, BEFORE, 1_500));
    for number in 0..3 {
        site.start_balancer(number, ZONE);
    }
    let services = [BEFORE, BEFORE, AFTER, AFTER];
    let mut servers = Vec::new();
    for (number, service) in (0..).zip(services) {
        site.start_agent(number, ZONE, service);
        site.wait_for_agent(number).await?;
        servers.push(
            site.start_server(site.server_settings(number, ZONE, service))
                .await?,
        );
    }
    let caller = site.start_caller(0).await?;
    sleep(Duration::from_secs(3)).await;

    site.store.put("op/config", &config_with(2, BEFORE, 1_600));
    site.record
        .line("version 2 is acknowledged (another timeout)");
    sleep(SILENT_AFTER).await;
    if has_trouble {
        site.store.set_down(true);
        site.record.line("the store is silent");
    }
    sleep(SILENT_FOR).await;
    site.store.set_down(false);
    site.record.line("the store answers");
    sleep(CALM).await;

    site.store.put("op/config", &config_with(3, AFTER, 1_600));
    let acked = site.record.seconds();
    site.record.line(format!(
        "version 3 is acknowledged: the route leads to {AFTER} in place of {BEFORE}"
    ));
    let end = Instant::now() + WATCHED;
    let mut tasks = Vec::new();
    while Instant::now() < end {
        let (caller, record) = (caller.clone(), site.record.clone());
        let attempt = format!("r{}", tasks.len());
        tasks.push(tokio::spawn(async move {
            let sent = record.seconds();
            let (mut flow, outcome) = caller.open(ROUTE).await;
            if matches!(outcome, Outcome::Answered(_)) {
                flow.request(&attempt, 20, Duration::from_millis(1_500))
                    .await;
            } else {
                record.line(format!("flow of {attempt} not opened: {outcome:?}"));
            }
            (attempt, sent)
        }));
        sleep(INTERVAL).await;
    }
    let mut breaks = 0;
    for task in tasks {
        let (attempt, sent) = task.await.map_err(std::io::Error::other)?;
        let runs = site.log.runs.lock().unwrap();
        let run = runs.iter().find(|run| run.attempt == attempt);
        let Some(run) = run.filter(|run| run.service == BEFORE && sent > acked + APPLY_LIMIT)
        else {
            continue;
        };
        site.record.line(format!(
            "CONFIG broken: {attempt}, sent {:.3} s after the acknowledgement of version 3, was run by {} of {BEFORE}",
            sent - acked,
            run.server
        ));
        breaks += 1;
    }
    Ok(breaks)
}
