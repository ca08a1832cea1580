//! The address of a target that has crashed belongs to a target of another service. Its node is killed and starts again,
//! and the first heartbeat that reaches it is a late one of the crashed target.

use std::time::Duration;

use tokio::time::{sleep, timeout, Instant};

use super::{config_of, OTHER_ROUTE, ROUTE};
use crate::{caller::Outcome, http, site::Site};

const SERVICE: &str = "werkplaats";
const OTHER_SERVICE: &str = "archief";
const ZONE: &str = "zone-a";

/// Number of the target whose address is used again.
const REUSED: u8 = 0;

/// Time from the crash to the next use of the address: more than `ReuseAfterS` (2 s).
const REUSE_AFTER: Duration = Duration::from_secs(3);

/// Time from the kill of the node to its restart, as on the bench.
const RESTART_AFTER: Duration = Duration::from_millis(550);

/// Long flows to the first service.
const FLOWS: usize = 24;

/// Time for which flows to the other service are opened around the restart, and their interval.
const OPEN_FOR: Duration = Duration::from_secs(4);
const FLOW_INTERVAL: Duration = Duration::from_millis(10);

/// Time from the kill to the second requests of the long flows: beyond `StabilityWindowMs` (4 s) and under
/// `IdleTimeoutMs` (15 s).
const PAUSE: Duration = Duration::from_secs(7);

pub async fn play(site: &mut Site, has_trouble: bool) -> std::io::Result<usize> {
    let routes = [(ROUTE, SERVICE), (OTHER_ROUTE, OTHER_SERVICE)];
    site.store.put("op/config", &config_of(1, &routes, 1_500));
    for number in 0..2 {
        site.start_balancer(number, ZONE);
    }
    let mut servers = Vec::new();
    for (number, service) in (0..).zip([OTHER_SERVICE, OTHER_SERVICE, SERVICE]) {
        site.start_agent(number, ZONE, service);
        site.wait_for_agent(number).await?;
        servers.push(
            site.start_server(site.server_settings(number, ZONE, service))
                .await?,
        );
    }
    let caller = site.start_caller(0).await?;
    sleep(Duration::from_secs(3)).await;

    let crashed = servers.remove(usize::from(REUSED));
    let (late_path, late_body) = (
        format!("/carobdrum/instances/{}", crashed.id()),
        crashed.take_heartbeat(),
    );
    site.record.line(format!(
        "target {} crashes for good; its machine is gone",
        crashed.id()
    ));
    drop(crashed);
    site.kill("side-0");
    sleep(REUSE_AFTER).await;
    site.record.line(format!(
        "its address goes to a target of {SERVICE}, on a new machine"
    ));
    site.start_agent(REUSED, ZONE, SERVICE);
    site.wait_for_agent(REUSED).await?;
    let settings = site.server_settings(REUSED, ZONE, SERVICE);
    let control = settings.control;
    let beat = settings.beat;
    let started = Instant::now();
    servers.push(site.start_server(settings).await?);
    sleep(Duration::from_secs(4)).await;
    let mut flows = Vec::new();
    for number in 0..FLOWS {
        let (mut flow, outcome) = caller.open(ROUTE).await;
        if !matches!(outcome, Outcome::Answered(_)) {
            return Err(std::io::Error::other("a flow didn't open"));
        }
        let limit = Duration::from_millis(1_500);
        let first = flow.request(&format!("f{number}-1"), 5, limit).await;
        if !matches!(first, Outcome::Answered(_)) {
            return Err(std::io::Error::other("a first request wasn't answered"));
        }
        flows.push(flow);
    }
    // The kill follows a heartbeat of the target, so that the next one comes after the restart.
    let beats = started.elapsed().as_millis() / beat.as_millis() + 1;
    let next = started + beat * u32::try_from(beats).unwrap_or_default();
    sleep((next + Duration::from_millis(100)).saturating_duration_since(Instant::now())).await;

    let killed = Instant::now();
    let mut is_late_sent = !has_trouble;
    let mut is_down = false;
    if has_trouble {
        site.kill("side-0");
        is_down = true;
    }
    let mut short = Vec::new();
    while killed.elapsed() < OPEN_FOR {
        if is_down && killed.elapsed() >= RESTART_AFTER {
            site.restart("side-0");
            site.wait_for_agent(REUSED).await?;
            is_down = false;
        }
        if !is_late_sent && !is_down && killed.elapsed() >= RESTART_AFTER {
            is_late_sent = true;
            let call = http::call(control, "PUT", &late_path, &late_body);
            let status = timeout(Duration::from_secs(1), call).await.ok().flatten();
            site.record.line(format!(
                "late heartbeat of the crashed target: {late_body} -> {status:?}"
            ));
        }
        let (caller, attempt) = (caller.clone(), format!("o{}", short.len()));
        short.push(tokio::spawn(async move {
            let (mut flow, outcome) = caller.open(OTHER_ROUTE).await;
            if matches!(outcome, Outcome::Answered(_)) {
                flow.request(&attempt, 20, Duration::from_millis(1_500))
                    .await;
            }
            attempt
        }));
        sleep(FLOW_INTERVAL).await;
    }
    sleep((killed + PAUSE).saturating_duration_since(Instant::now())).await;
    let mut breaks = 0;
    for task in short {
        let attempt = task.await.map_err(std::io::Error::other)?;
        let runs = site.log.runs.lock().unwrap();
        let found = runs.iter().find(|run| run.attempt == attempt);
        if let Some(run) = found.filter(|run| run.service != OTHER_SERVICE) {
            site.record.line(format!(
                "ROUTE broken: {attempt}, sent to the route of {OTHER_SERVICE}, was run by {} of {}",
                run.server, run.service
            ));
            breaks += 1;
        }
    }
    let mut long = Vec::new();
    for (number, mut flow) in flows.into_iter().enumerate() {
        let mut holders = servers
            .iter()
            .filter(|server| server.holds(flow.end, ROUTE));
        let id = holders.next().map(|server| server.id().to_owned());
        long.push(tokio::spawn(async move {
            let attempt = format!("f{number}-2");
            let outcome = flow
                .request(&attempt, 20, Duration::from_millis(3_000))
                .await;
            (flow.end, id, attempt, outcome)
        }));
    }
    for task in long {
        let (end, id, attempt, outcome) = task.await.map_err(std::io::Error::other)?;
        let Some(id) = id else {
            continue;
        };
        let holds = servers
            .iter()
            .any(|server| server.id() == id && server.holds(end, ROUTE));
        if holds && outcome == (Outcome::Reset { by_system: true }) {
            site.record.line(format!(
                "FLOW broken as well: client {end} got a reset that target {id} didn't send; it lives and holds the \
                 flow of {attempt}"
            ));
        }
    }
    Ok(breaks)
}
