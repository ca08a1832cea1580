//! A heartbeat of another writer, with missing fields, reaches the node of a target of another service.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{sleep, timeout, Instant};

use super::{config_of, OTHER_ROUTE, ROUTE};
use crate::{caller::Outcome, http, site::Site};

const SERVICE: &str = "werkplaats";
const OTHER_SERVICE: &str = "archief";
const ZONE: &str = "zone-a";

/// Long flows to the first service.
const FLOWS: usize = 12;

/// Time for which flows to the other service are opened, and their interval.
const OPEN_FOR: Duration = Duration::from_secs(4);
const FLOW_INTERVAL: Duration = Duration::from_millis(10);

/// Time after their start at which the heartbeat is sent.
const HEARTBEAT_AT: Duration = Duration::from_millis(500);

pub async fn play(site: &mut Site, has_trouble: bool) -> std::io::Result<usize> {
    let routes = [(ROUTE, SERVICE), (OTHER_ROUTE, OTHER_SERVICE)];
    site.store.put("op/config", &config_of(1, &routes, 1_500));
    for number in 0..2 {
        site.start_balancer(number, ZONE);
    }
    let mut servers = Vec::new();
    let mut settings = Vec::new();
    for (number, service) in (0..).zip([SERVICE, SERVICE, OTHER_SERVICE, OTHER_SERVICE]) {
        site.start_agent(number, ZONE, service);
        site.wait_for_agent(number).await?;
        let found = site.server_settings(number, ZONE, service);
        servers.push(site.start_server(found.clone()).await?);
        settings.push(found);
    }
    let caller = site.start_caller(0).await?;
    sleep(Duration::from_secs(2)).await;
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
    sleep(Duration::from_secs(5)).await;

    let started = Instant::now();
    let mut long = Vec::new();
    let mut short = Vec::new();
    let mut is_sent = !has_trouble;
    let mut flows = flows.into_iter().enumerate();
    while started.elapsed() < OPEN_FOR {
        if started.elapsed() >= HEARTBEAT_AT - Duration::from_millis(200) {
            for (number, mut flow) in flows.by_ref() {
                long.push(tokio::spawn(async move {
                    let attempt = format!("f{number}-2");
                    let outcome = flow
                        .request(&attempt, 600, Duration::from_millis(3_000))
                        .await;
                    (flow, attempt, outcome)
                }));
            }
        }
        if !is_sent && started.elapsed() >= HEARTBEAT_AT {
            is_sent = true;
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let body = serde_json::json!({
                "Service": OTHER_SERVICE, "Version": "v9", "Slots": 7, "State": "ready", "Sequence": 1,
                "born": now.as_millis() as u64,
            });
            let (to, body) = (settings[0].control, body.to_string());
            let call = http::call(to, "PUT", "/carobdrum/instances/i-other", &body);
            let status = timeout(Duration::from_secs(1), call).await.ok().flatten();
            site.record.line(format!(
                "heartbeat of another writer at {to}: {body} -> {status:?}"
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
    for task in long {
        let (flow, attempt, outcome) = task.await.map_err(std::io::Error::other)?;
        let holders = servers
            .iter()
            .filter(|server| server.holds(flow.end, ROUTE));
        let ids: Vec<&str> = holders.map(|server| server.id()).collect();
        if !ids.is_empty() && outcome == (Outcome::Reset { by_system: true }) {
            let runs = site.log.runs.lock().unwrap();
            let has_run = runs.iter().any(|run| run.attempt == attempt);
            site.record.line(format!(
                "FLOW broken as well: client {} got a reset that target {ids:?} didn't send; it lives and holds the \
                 flow. {attempt} has run: {has_run}",
                flow.end
            ));
        }
    }
    Ok(breaks)
}
