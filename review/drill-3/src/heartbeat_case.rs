//! A heartbeat of another writer, and the drain of the target that it names.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, Instant},
};

use crate::{
    client::Outcome,
    config::{config, LOOKUP},
    record::Record,
    return_cases::start_traffic,
    server::ServerSettings,
    site::Site,
    Verdict,
};

const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time for which the target goes on after its drain was acknowledged.
const LASTING: Duration = Duration::from_secs(12);

/// Allowance for the clocks of clients and targets, which are tasks of this process.
const SLACK: Duration = Duration::from_millis(200);

const TARGET: usize = 4;

/// Sends a heartbeat that names the target's address, as another writer with its own counts: `born` isn't a whole number.
async fn send_odd_heartbeat(
    settings: &ServerSettings,
    id: &str,
    born: u128,
    sequence: u32,
) -> Option<String> {
    let body = format!(
        "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":7,\"State\":\"ready\",\
         \"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{born}.5}}",
        settings.service, settings.app, settings.zone
    );
    let request = format!(
        "PUT /carobdrum/instances/{id} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(settings.heartbeats).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    Some(format!(
        "{id} {body} -> {}",
        response.lines().next().unwrap_or_default()
    ))
}

/// DRAIN: a target drains after a heartbeat of another writer has named it.
pub async fn odd_heartbeat(record: Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(record, &config(3, false)).await else {
        return Verdict::NotRun;
    };
    let traffic = start_traffic(&site);
    sleep(Duration::from_secs(6)).await;
    let Some(server) = site.servers[TARGET].take() else {
        return Verdict::NotRun;
    };
    if has_trouble {
        let id = format!("i-{}", server.settings.number);
        let Some(sent) = send_odd_heartbeat(&server.settings, &id, server.born, 5_000).await else {
            return Verdict::NotRun;
        };
        site.record
            .say(&format!("another writer sends a heartbeat: {sent}"));
    }
    sleep(Duration::from_secs(5)).await;
    server.drain().await;
    let acknowledged = Instant::now();
    site.record
        .say(&format!("target {} is draining, acknowledged", TARGET + 1));
    sleep(LASTING).await;
    server.leave().await;
    site.agents[TARGET].stop(&site.record).await;
    for task in traffic {
        task.abort();
    }
    sleep(Duration::from_millis(3_200)).await;
    site.keep_logs(&["heartbeat"]);
    if site.has_crash() {
        site.record.say("a process has ended by itself");
    }
    let runs = site.runs.lock().expect("no holder panics");
    let count = |from: Duration| {
        let is_late = |at: Instant| at > acknowledged + from + SLACK;
        let of_target = runs.iter().filter(|run| run.server == TARGET as u32 + 1);
        of_target.filter(|run| is_late(run.opened)).count()
    };
    let (all, late) = (count(Duration::ZERO), count(DRAIN_TIMEOUT));
    site.record.say(&format!(
        "{all} requests reached the target after its drain was acknowledged, {late} of them later than 3 s after it"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Number of long flows from each zone.
const LONG_FLOWS: usize = 24;

/// FLOW: clients use open flows while another writer sends a heartbeat to the node beside a target.
pub async fn odd_start(record: Record, has_trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(record, &config(3, false)).await else {
        return Verdict::NotRun;
    };
    // All targets have reported by then.
    sleep(Duration::from_secs(3)).await;
    let end = Instant::now() + Duration::from_secs(20);
    let mut flows = Vec::new();
    for client in &site.clients {
        for number in 0..LONG_FLOWS {
            let client = client.clone();
            flows.push(tokio::spawn(async move {
                sleep(Duration::from_millis(20 * number as u64)).await;
                client
                    .use_long_flow(LOOKUP, Duration::from_millis(700), end)
                    .await
            }));
        }
    }
    sleep(Duration::from_secs(10)).await;
    if has_trouble {
        let target = busiest_target(&site);
        let Some(settings) = site.servers[target]
            .as_ref()
            .map(|server| server.settings.clone())
        else {
            return Verdict::NotRun;
        };
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the clock is set");
        let Some(sent) = send_odd_heartbeat(&settings, "w-1", now.as_millis(), 1).await else {
            return Verdict::NotRun;
        };
        site.record
            .say(&format!("another writer sends a heartbeat: {sent}"));
    }
    let mut outcomes = Vec::new();
    for flow in flows {
        outcomes.extend(flow.await);
    }
    site.keep_logs(&["heartbeat", "reset"]);
    if site.has_crash() {
        site.record.say("a process has ended by itself");
    }
    let count = |outcome: Outcome| {
        outcomes
            .iter()
            .filter(|(_, found)| *found == outcome)
            .count()
    };
    let reset = count(Outcome::Reset);
    site.record.say(&format!(
        "{} flows: {} served to the end, {reset} reset by the system while their targets lived, {} ended otherwise",
        outcomes.len(),
        count(Outcome::Served),
        outcomes.len() - reset - count(Outcome::Served)
    ));
    if reset > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns the index of the target that has run most requests.
fn busiest_target(site: &Site) -> usize {
    let runs = site.runs.lock().expect("no holder panics");
    let count = |index: &usize| {
        runs.iter()
            .filter(|run| run.server as usize == index + 1)
            .count()
    };
    (0..site.servers.len())
        .max_by_key(count)
        .unwrap_or_default()
}
