//! The node beside a target that has just been added is killed and starts again.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use tokio::{
    sync::Mutex,
    time::{sleep, sleep_until, Instant},
};

use super::{config, ROUTE};
use crate::{
    caller::{CallerFlow, Outcome},
    site::Site,
};

const SERVICE: &str = "werkplaats";
const ZONE: &str = "zone-a";

/// Interval between the flows that clients open.
const FLOW_INTERVAL: Duration = Duration::from_millis(10);

/// Time after the start of the added target at which its node is killed, and that of the restart: the platform
/// restarts a killed process after about 0.55 s.
const KILL_AT: Duration = Duration::from_millis(350);
const RESTART_AT: Duration = Duration::from_millis(900);

/// Time after the start of the added target until which flows are opened.
const OPEN_UNTIL: Duration = Duration::from_millis(300);

/// Time after the kill at which clients send their second request: beyond `StabilityWindowMs` (4 s) and under
/// `IdleTimeoutMs` (15 s).
const PAUSE: Duration = Duration::from_secs(7);

struct OpenFlow {
    flow: CallerFlow,
    number: usize,
}

pub async fn play(site: &mut Site, has_trouble: bool) -> std::io::Result<usize> {
    site.store.put("op/config", &config(1, SERVICE));
    for number in 0..2 {
        site.start_balancer(number, ZONE);
    }
    let mut servers = Vec::new();
    for number in 0..3 {
        site.start_agent(number, ZONE, SERVICE);
    }
    for number in 0..3 {
        site.wait_for_agent(number).await?;
        servers.push(
            site.start_server(site.server_settings(number, ZONE, SERVICE))
                .await?,
        );
    }
    let caller = site.start_caller(0).await?;
    sleep(Duration::from_secs(4)).await;

    site.record.line("a target is added, with its node");
    site.start_agent(3, ZONE, SERVICE);
    site.wait_for_agent(3).await?;
    let started = Instant::now();
    servers.push(
        site.start_server(site.server_settings(3, ZONE, SERVICE))
            .await?,
    );
    let flows: Arc<Mutex<Vec<OpenFlow>>> = Arc::default();
    let mut tasks = Vec::new();
    let mut number = 0;
    while started.elapsed() < OPEN_UNTIL {
        let (caller, flows, record) = (caller.clone(), flows.clone(), site.record.clone());
        tasks.push(tokio::spawn(async move {
            let (mut flow, outcome) = caller.open(ROUTE).await;
            if !matches!(outcome, Outcome::Answered(_)) {
                record.line(format!("flow {number} not opened: {outcome:?}"));
                return;
            }
            let first = flow
                .request(&format!("f{number}-1"), 5, Duration::from_millis(1_500))
                .await;
            if matches!(first, Outcome::Answered(_)) {
                flows.lock().await.push(OpenFlow { flow, number });
            }
        }));
        number += 1;
        sleep(FLOW_INTERVAL).await;
    }
    sleep_until(started + KILL_AT).await;
    if has_trouble {
        site.kill("side-3");
        sleep_until(started + RESTART_AT).await;
        site.restart("side-3");
    }
    for task in tasks {
        task.await.map_err(std::io::Error::other)?;
    }
    sleep_until(started + KILL_AT + PAUSE).await;

    let flows = std::mem::take(&mut *flows.lock().await);
    site.record.line(format!(
        "{} flows are open; their clients send a second request",
        flows.len()
    ));
    let holder = |end: SocketAddrV4| {
        let mut holders = servers.iter().filter(|server| server.holds(end, ROUTE));
        holders.next().map(|server| server.id().to_owned())
    };
    let mut tasks = Vec::new();
    for OpenFlow { mut flow, number } in flows {
        let end = flow.end;
        let id =
            holder(end).ok_or_else(|| std::io::Error::other("no target holds an open flow"))?;
        let task = tokio::spawn(async move {
            let attempt = format!("f{number}-2");
            let outcome = flow
                .request(&attempt, 40, Duration::from_millis(3_000))
                .await;
            (end, id, attempt, outcome)
        });
        tasks.push(task);
    }
    let mut breaks = 0;
    let mut beside = 0;
    for task in tasks {
        let (end, id, attempt, outcome) = task.await.map_err(std::io::Error::other)?;
        beside += usize::from(id == servers[3].id());
        let holds = holder(end).is_some_and(|holder| holder == id);
        if holds && outcome == (Outcome::Reset { by_system: true }) {
            let has_run = site
                .log
                .runs
                .lock()
                .unwrap()
                .iter()
                .any(|run| run.attempt == attempt);
            site.record.line(format!(
                "FLOW broken: client {end} got a reset that target {id} didn't send; it lives and holds the flow. \
                 {attempt} has run: {has_run}"
            ));
            breaks += 1;
        }
    }
    site.record.line(format!(
        "{beside} of the flows are held by the added target"
    ));
    if beside == 0 {
        return Err(std::io::Error::other(
            "no flow opened at the added target in time",
        ));
    }
    Ok(breaks)
}
