//! All processes of the system are killed at the same moment. The targets live and hold their flows.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::Mutex,
    time::{sleep, Instant},
};

use super::{config, ROUTE};
use crate::{
    caller::{CallerFlow, Outcome},
    server::Delivery,
    site::Site,
};

const SERVICE: &str = "werkplaats";
const ZONE: &str = "zone-a";

/// Targets of the service in one zone.
const TARGETS: u8 = 14;
const SLOTS: usize = 2;

/// Interval between new flows, their time of work, and for how long they are opened: about 90% of the slots are used.
const FLOW_INTERVAL: Duration = Duration::from_micros(4_000);
const WORK_MS: u64 = 100;
const OPEN_FOR: Duration = Duration::from_millis(3_500);

/// Time from the kill to the restart.
const RESTART_AFTER: Duration = Duration::from_millis(550);

/// Time from the kill to the second requests: beyond `StabilityWindowMs` (4 s). With `SECOND_INTERVAL` between them,
/// no flow is idle for `IdleTimeoutMs` (15 s).
const PAUSE: Duration = Duration::from_millis(5_500);
const SECOND_INTERVAL: Duration = Duration::from_millis(4);

/// Length of the second requests' bodies, which take three packets.
const BODY_LEN: usize = 2_800;

/// `FlowMs`.
const FLOW_TIME: f64 = 2.0;

struct OpenFlow {
    flow: CallerFlow,
    number: usize,
}

pub async fn play(site: &mut Site, has_trouble: bool) -> std::io::Result<usize> {
    site.store.put("op/config", &config(1, SERVICE));
    for number in 0..3 {
        site.start_balancer(number, ZONE);
    }
    for number in 0..TARGETS {
        site.start_agent(number, ZONE, SERVICE);
    }
    let mut servers = Vec::new();
    for number in 0..TARGETS {
        site.wait_for_agent(number).await?;
        let mut settings = site.server_settings(number, ZONE, SERVICE);
        settings.slots = SLOTS;
        servers.push(site.start_server(settings).await?);
    }
    let caller = site.start_caller(0).await?;
    sleep(Duration::from_secs(4)).await;

    let flows: Arc<Mutex<Vec<OpenFlow>>> = Arc::default();
    let mut tasks = Vec::new();
    let started = Instant::now();
    while started.elapsed() < OPEN_FOR {
        let (caller, flows, number) = (caller.clone(), flows.clone(), tasks.len());
        tasks.push(tokio::spawn(async move {
            let (mut flow, outcome) = caller.open(ROUTE).await;
            if !matches!(outcome, Outcome::Answered(_)) {
                return;
            }
            let limit = Duration::from_millis(1_500);
            let first = flow.request(&format!("f{number}-1"), WORK_MS, limit).await;
            if matches!(first, Outcome::Answered(_)) {
                flows.lock().await.push(OpenFlow { flow, number });
            }
        }));
        sleep(FLOW_INTERVAL).await;
    }
    for task in tasks {
        task.await.map_err(std::io::Error::other)?;
    }
    sleep(Duration::from_millis(1_000)).await;
    let killed = Instant::now();
    if has_trouble {
        site.kill_all();
        sleep(RESTART_AFTER).await;
        site.restart_all();
    }
    sleep((killed + PAUSE).saturating_duration_since(Instant::now())).await;

    let flows = std::mem::take(&mut *flows.lock().await);
    site.record.line(format!(
        "{} flows are open; their clients send a second request",
        flows.len()
    ));
    let holder = |end: SocketAddrV4| {
        let mut holders = servers.iter().filter(|server| server.holds(end, ROUTE));
        holders.next().map(|server| server.id().to_owned())
    };
    site.log.deliveries.lock().unwrap().clear();
    let mut tasks = Vec::new();
    for OpenFlow { mut flow, number } in flows {
        let end = flow.end;
        let id =
            holder(end).ok_or_else(|| std::io::Error::other("no target holds an open flow"))?;
        tasks.push(tokio::spawn(async move {
            let attempt = format!("f{number}-2");
            let limit = Duration::from_millis(3_000);
            let outcome = flow.request_with(&attempt, 20, BODY_LEN, limit).await;
            (end, id, attempt, outcome)
        }));
        sleep(SECOND_INTERVAL).await;
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.map_err(std::io::Error::other)?);
    }
    let mut deliveries: HashMap<SocketAddrV4, Vec<Delivery>> = HashMap::new();
    for delivery in site.log.deliveries.lock().unwrap().iter() {
        deliveries
            .entry(delivery.caller)
            .or_default()
            .push(delivery.clone());
    }
    let mut breaks = 0;
    let mut unanswered = 0;
    for (end, id, attempt, outcome) in outcomes {
        unanswered += usize::from(!matches!(outcome, Outcome::Answered(_)));
        let holds = holder(end).is_some_and(|holder| holder == id);
        let found = deliveries.get(&end).map_or(&[][..], |found| found);
        let count = most_elsewhere(found, &id);
        if holds && count >= 3 {
            site.record.line(format!(
                "FLOW broken: {count} packets of client {end} reached other targets within {FLOW_TIME} s, and none \
                 target {id}, which lives and holds the flow. {attempt}: {outcome:?}"
            ));
            breaks += 1;
        }
    }
    site.record
        .line(format!("{unanswered} second requests weren't answered"));
    Ok(breaks)
}

/// Returns the most different packets that came to other targets within `FLOW_TIME` in which none came to the flow's own.
fn most_elsewhere(deliveries: &[Delivery], own: &str) -> usize {
    let windows = deliveries.iter().map(|first| {
        let end = first.at + FLOW_TIME;
        let within = || {
            deliveries
                .iter()
                .filter(|found| found.at >= first.at && found.at <= end)
        };
        if within().any(|found| found.server == own) {
            return 0;
        }
        let packets: HashSet<u32> = within().map(|found| found.seq).collect();
        packets.len()
    });
    windows.max().unwrap_or(0)
}
