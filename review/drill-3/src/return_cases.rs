//! Changes of the configuration after the store has come back from a copy some seconds old.

use std::{net::Ipv4Addr, time::Duration};

use carobdrum_platform_standins::StoreMode;
use tokio::{
    task::JoinHandle,
    time::{sleep, sleep_until, Instant},
};

use crate::{
    client::{Attempt, Outcome},
    config::{config, LOOKUP, SHEETS, THIRD},
    record::Record,
    server::Run,
    site::Site,
    Verdict,
};

const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const EVACUATION: Duration = Duration::from_millis(5_000);

/// Time after which the zone is taken back.
const EVACUATION_LENGTH: Duration = Duration::from_secs(8);

const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// Delay after which the operator writes again what it wrote in the lost seconds.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Index of the target that is emptied and taken away in the lost seconds.
const LEAVING_TARGET: usize = 4;

const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Allowance for the clocks of clients and targets, which are tasks of this process.
const SLACK: Duration = Duration::from_millis(200);

/// Starts requests of all clients on the two routes that carry traffic.
pub fn start_traffic(site: &Site) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for client in &site.clients {
        tasks.push(tokio::spawn(
            client.clone().send_steadily(LOOKUP, REQUEST_INTERVAL),
        ));
        tasks.push(tokio::spawn(
            client.clone().send_steadily(SHEETS, 4 * REQUEST_INTERVAL),
        ));
    }
    tasks
}

/// Takes a target away as planned work, and changes the configuration to version 5, which has the routes of version 3. With
/// trouble, the store is away for a moment then and comes back from a copy that was made before. Returns when the store has
/// been stable for its window.
async fn return_store(site: &mut Site, has_third: bool, has_trouble: bool) {
    let copy = site.store.copy();
    let copied = Instant::now();
    let before = site.revision().await;
    site.record
        .say(&format!("copy of the store at revision {before}"));
    site.scale_in(LEAVING_TARGET, DRAIN_TIMEOUT + Duration::from_millis(300))
        .await;
    site.write("op/config", &config(5, has_third));
    sleep(Duration::from_millis(1_500)).await;
    let lost = site.revision().await;
    if has_trouble {
        site.record
            .say(&format!("store goes away at revision {lost}"));
        site.store.set_mode(StoreMode::Unavailable);
        site.store.close_connections();
        sleep(AWAY).await;
        site.store.restore(&copy, REWRITE_DELAY);
        site.store.set_mode(StoreMode::Open);
        let age = (copied.elapsed() - AWAY).as_secs_f64();
        site.record
            .say("after 0.3 s, the operator writes again what it wrote since");
        site.record.say(&format!(
            "store comes back from a copy that was {age:.1} s old when it went away"
        ));
    }
    sleep(STABILITY_WINDOW + Duration::from_secs(4)).await;
    let now = site.revision().await;
    site.record.say(&format!("store is at revision {now}"));
}

/// Ends the traffic, and returns what was sent and run.
async fn finish(site: &mut Site, traffic: Vec<JoinHandle<()>>) -> (Vec<Attempt>, Vec<Run>) {
    for task in traffic {
        task.abort();
    }
    sleep(Duration::from_millis(3_200)).await;
    let now = site.revision().await;
    site.record
        .say(&format!("store is at revision {now} in the end"));
    site.keep_logs(&[
        "configuration",
        "evacuated",
        "stale",
        "older version",
        "newer revision",
        "keys again",
    ]);
    let attempts = site.attempts.lock().expect("no holder panics").clone();
    let runs = site.runs.lock().expect("no holder panics").clone();
    let served = attempts
        .iter()
        .filter(|attempt| attempt.outcome == Outcome::Served);
    site.record.say(&format!(
        "{} attempts, {} served, {} runs",
        attempts.len(),
        served.count(),
        runs.len()
    ));
    (attempts, runs)
}

/// Sends a test flow of the third route to each frontend each 200 ms for a while.
async fn send_test_flows(site: &Site, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for index in 0..site.frontends.len() {
            if site.router.is_in_rotation(index) {
                let (client, ip) = (site.clients[0].clone(), site.frontend_ip(index));
                tokio::spawn(async move { client.request(THIRD, Some(ip)).await });
            }
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// EVAC: a zone is evacuated after the return, while a frontend is stopped and started as planned work.
pub async fn evacuation(record: Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(record, &config(3, false)).await else {
        return Verdict::NotRun;
    };
    let traffic = start_traffic(&site);
    sleep(Duration::from_secs(5)).await;
    return_store(&mut site, false, has_trouble).await;
    site.stop_frontend(2).await;
    site.write("op/evacuate/south", "{}");
    let acknowledged = Instant::now();
    if !site.start_frontend(2).await {
        return Verdict::NotRun;
    }
    // The process runs for longer than this.
    let in_touch = Instant::now() + STABILITY_WINDOW;
    sleep_until(acknowledged + EVACUATION_LENGTH).await;
    site.take_back("op/evacuate/south");
    let taken_back = Instant::now();
    sleep(Duration::from_secs(2)).await;
    let (_, runs) = finish(&mut site, traffic).await;
    if site.has_crash() {
        site.record.say("a process has ended by itself");
    }
    let from = in_touch.max(acknowledged + EVACUATION) + SLACK;
    let count = |zone: &str| {
        let of_zone = runs.iter().filter(|run| run.zone == zone);
        of_zone
            .filter(|run| run.opened > from && run.opened < taken_back)
            .count()
    };
    let late = count("south");
    site.record.say(&format!(
        "later than 5 s after the acknowledged evacuation of south, with all machines in touch, until it was taken back \
         ({:.1} s): {late} requests reached targets there, {} in north",
        taken_back.duration_since(from).as_secs_f64(),
        count("north")
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// CONFIG: a route is dropped after the return, and after a planned restart of a frontend.
pub async fn dropped_route(record: Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(record, &config(3, true)).await else {
        return Verdict::NotRun;
    };
    let traffic = start_traffic(&site);
    send_test_flows(&site, Duration::from_secs(5)).await;
    return_store(&mut site, true, has_trouble).await;
    site.stop_frontend(2).await;
    if !site.start_frontend(2).await {
        return Verdict::NotRun;
    }
    sleep(STABILITY_WINDOW + Duration::from_secs(2)).await;
    site.write("op/config", &config(8, false));
    let acknowledged = Instant::now();
    send_test_flows(&site, CONFIG_APPLY + Duration::from_secs(10)).await;
    let (attempts, runs) = finish(&mut site, traffic).await;
    let late = attempts.iter().filter(|attempt| {
        attempt.route == THIRD && attempt.sent > acknowledged + CONFIG_APPLY + SLACK
    });
    let late: Vec<&Attempt> = late.collect();
    let is_run = |attempt: &&&Attempt| runs.iter().any(|run| run.id == attempt.id);
    let run = late.iter().filter(is_run).count();
    site.record.say(&format!(
        "of {} requests sent to the dropped route later than 3 s after the acknowledgement, {run} were run",
        late.len()
    ));
    if run > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// CONFIG: a route is added after the return.
pub async fn added_route(record: Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(record, &config(3, false)).await else {
        return Verdict::NotRun;
    };
    let traffic = start_traffic(&site);
    sleep(Duration::from_secs(5)).await;
    return_store(&mut site, false, has_trouble).await;
    site.write("op/config", &config(8, true));
    let acknowledged = Instant::now();
    send_test_flows(&site, CONFIG_APPLY + Duration::from_secs(20)).await;
    let (attempts, _) = finish(&mut site, traffic).await;
    let late = attempts.iter().filter(|attempt| {
        attempt.route == THIRD && attempt.sent > acknowledged + CONFIG_APPLY + SLACK
    });
    let late: Vec<&Attempt> = late.collect();
    let count = |outcome: Outcome| {
        late.iter()
            .filter(|attempt| attempt.outcome == outcome)
            .count()
    };
    let (refused, served) = (count(Outcome::Refused), count(Outcome::Served));
    site.record.say(&format!(
        "of {} requests sent to the added route later than 3 s after the acknowledgement, {refused} were refused by a \
         reset, {served} were served",
        late.len()
    ));
    let via = |ip: Ipv4Addr| {
        late.iter()
            .filter(|attempt| attempt.via == Some(ip))
            .count()
    };
    for index in 0..site.frontends.len() {
        let ip = site.frontend_ip(index);
        site.record
            .say(&format!("{} of them by frontend {}", via(ip), index + 1));
    }
    if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
