//! A machine beside a target that loses power and comes back, cold, while the store is silent.

use std::time::Duration;

use carobdrum_platform_standins::StoreMode;
use tokio::time::{sleep, Instant};

use crate::{
    config::{limited_config, COLD_START_S, LOOKUP},
    record::Record,
    return_cases::start_traffic,
    server::Server,
    site::Site,
    Verdict,
};

/// Requests a second that a cold target bears.
const COLD_PER_S: f64 = 8.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

const STORE_AWAY: Duration = Duration::from_millis(4_500);
const POWER_AWAY: Duration = Duration::from_secs(3);

/// Time between the starts of the agent and of its target.
const START_GAP: Duration = Duration::from_millis(150);

const TARGET: usize = 4;

/// FAILBACK: a target comes back cold, with its machine, while the store is silent.
pub async fn cold_return(record: Record, has_trouble: bool) -> Verdict {
    let store_fails = has_trouble && std::env::var("STORE").map_or(true, |value| value != "0");
    let power_fails = has_trouble && std::env::var("POWER").map_or(true, |value| value != "0");
    let Some(mut site) = Site::start(record, &limited_config(3, false, COLD_PER_S)).await else {
        return Verdict::NotRun;
    };
    let mut traffic = start_traffic(&site);
    for _ in 0..9 {
        let client = site.clients[0].clone();
        traffic.push(tokio::spawn(
            client.send_steadily(LOOKUP, Duration::from_millis(60)),
        ));
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_secs(6)).await;
    if store_fails {
        site.record.say("store goes silent");
        site.store.set_mode(StoreMode::Unresponsive);
    }
    let silent = Instant::now();
    sleep(Duration::from_millis(200)).await;
    let Some(server) = site.servers[TARGET].take() else {
        return Verdict::NotRun;
    };
    let mut cold_time = Duration::ZERO;
    if power_fails {
        site.record
            .say(&format!("machine of target {} loses power", TARGET + 1));
        let settings = server.settings.clone();
        site.agents[TARGET].kill(&site.record);
        server.lose_power().await;
        sleep(POWER_AWAY).await;
        cold_time = Duration::from_secs_f64(COLD_START_S);
        site.agents[TARGET].start(&site.record);
        sleep(START_GAP).await;
        let server = Server::start(settings, cold_time, site.runs.clone(), site.record.clone());
        site.servers[TARGET] = Some(server.await);
        site.record.say("machine is back, its target is cold");
    } else {
        site.servers[TARGET] = Some(server);
    }
    let born = Instant::now();
    sleep((silent + STORE_AWAY).saturating_duration_since(Instant::now())).await;
    site.store.set_mode(StoreMode::Open);
    site.record.say("store answers again");
    sleep(Duration::from_secs(6)).await;
    for task in traffic {
        task.abort();
    }
    sleep(Duration::from_millis(3_200)).await;
    site.keep_logs(&["configuration", "heartbeat of a run", "agent starting"]);
    if site.has_crash() {
        site.record.say("a process has ended by itself");
    }
    let runs = site.runs.lock().expect("no holder panics");
    let attempts = site.attempts.lock().expect("no holder panics");
    // Times at which requests were sent and arrived at the cold target.
    let mut requests: Vec<(Instant, Instant)> = runs
        .iter()
        .filter(|run| {
            run.server == TARGET as u32 + 1 && run.opened >= born && run.opened < born + cold_time
        })
        .filter_map(|run| {
            let attempt = attempts.iter().find(|attempt| attempt.id == run.id)?;
            Some((attempt.sent, run.opened))
        })
        .collect();
    requests.sort();
    let most = requests.iter().map(|(start, _)| {
        let is_inside = |(sent, opened): &&(Instant, Instant)| {
            sent >= start && *opened < *start + Duration::from_secs(1)
        };
        requests.iter().filter(is_inside).count()
    });
    let most = most.max().unwrap_or_default();
    let limit = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    site.record.say(&format!(
        "{} requests reached the target while it was cold, at most {most} were sent and arrived within a second; the \
         limit is {limit}",
        requests.len()
    ));
    if most as f64 > limit {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
