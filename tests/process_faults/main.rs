//! Faults of daemons that run as processes of their own, on loopback.

mod child_process;
mod load_commands;
mod process_site;

use std::time::Duration;

use bytes::Bytes;
use carobdrum_caller::{
    BrokenFlow,
    CallerRequest,
    LoadBuilder,
    LoadReport,
    RequestMix, //
};
use carobdrum_core::version::CentreState;
use carobdrum_standins::{
    body_chunk,
    PortMode,
    ServiceTime, //
};
use tokio::time::{
    sleep,
    Instant, //
};

use crate::process_site::{
    dead_store,
    server_name,
    ProcessSite,
    CENTRES, //
};

/// Time that the fabric goes on to use a balancer that is gone.
const FABRIC_DELAY: Duration = Duration::from_millis(500);
/// Time that a load runs before and after a fault.
const QUIET: Duration = Duration::from_millis(1_500);
/// Longest time until a change is in force everywhere (P4, P8, P10).
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// Runs a load while `fault` happens, then a quiet time longer.
async fn load_during(
    load: LoadBuilder,
    fault: impl std::future::Future<Output = ()>,
) -> LoadReport {
    let run = load.build().expect("settings");
    let stop = run.stop_signal();
    let running = tokio::spawn(run.run());
    sleep(QUIET).await;
    fault.await;
    sleep(QUIET).await;
    stop.stop();
    running.await.expect("a load").expect("a report")
}

/// Checks that a planned change or the loss of a balancer left no trace at the callers.
fn check_unharmed(site: &ProcessSite, report: &LoadReport) {
    assert_eq!(report.wrong_answers, 0, "{:?}", report.wrong_examples);
    assert_eq!(report.flows_broken, 0, "{:?}", report.broken_flows);
    assert_eq!(report.failed, 0, "{:?}", report.failed_by_cause);
    assert!(report.succeeded > 100, "{report:?}");
    site.check_runs(report);
}

/// Guards against bodies that don't come back whole through separate processes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_come_back_whole() {
    let site = ProcessSite::start(0, 2).await;
    let client = site.client().build().expect("a client");
    let flow = client.connect(site.service()).await.expect("a flow");
    for len in [100, 30_000_000] {
        let request = CallerRequest::get(format!("/bytes/{len}?seed=5"));
        let answer = flow.request(request).await.expect("an answer");
        assert!(answer.body == body_chunk(5, 0, len));
    }
    let body: Bytes = body_chunk(7, 0, 300_000);
    let request = CallerRequest::post("/echo", body.clone());
    let answer = flow.request(request).await.expect("an answer");
    assert!(answer.body == body);
}

/// Guards against flows that depend on the balancer that carried them.
#[tokio::test(flavor = "multi_thread")]
async fn killed_balancer_breaks_no_flow() {
    let site = ProcessSite::start(1, 4).await;
    let report = load_during(site.load(), async {
        site.balancers[1].process.signal(libc::SIGKILL);
        sleep(FABRIC_DELAY).await;
        let left = [0, 2].map(|index| site.balancers[index].ip);
        site.fabric.set_balancers(left);
    })
    .await;
    check_unharmed(&site, &report);
}

/// Guards against a balancer that can't take over flows it has never seen.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_balancers_break_no_flow() {
    let mut site = ProcessSite::start(2, 4).await;
    let load = site.load();
    let report = load_during(load, async {
        for old in 0..3 {
            let index = site.add_balancer(site.store.address(), Vec::new());
            let new = &site.balancers[index];
            new.reach("targets", |found| found == 4.0).await;
            let ips: Vec<_> = site.balancer_ips().skip(old + 1).collect();
            site.fabric.set_balancers(ips);
            let gone = &mut site.balancers[old].process;
            gone.signal(libc::SIGTERM);
            let status = gone.exit(Duration::from_secs(5)).await;
            assert!(status.is_some_and(|status| status.success()), "{status:?}");
        }
    })
    .await;
    check_unharmed(&site, &report);
}

/// Guards against a planned stop that cuts requests, and against work for a server that leaves.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_agent_cuts_no_request() {
    let mut site = ProcessSite::start(3, 4).await;
    let slow = ServiceTime::Uniform(Duration::from_millis(50), Duration::from_millis(400));
    site.servers[0].set_service_time(slow);
    let load = site.load();
    let report = load_during(load, async {
        let agent = &mut site.agents[0].process;
        agent.signal(libc::SIGTERM);
        let status = agent.exit(Duration::from_secs(15)).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        site.reach_targets(3).await;
    })
    .await;
    check_unharmed(&site, &report);
}

/// Guards against daemons that need the store once they run, or to start beside others.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_is_not_noticed() {
    let mut site = ProcessSite::start(4, 4).await;
    site.store.set_mode(PortMode::Refusing).await;
    let load = site.load();
    let report = load_during(load, async {
        let index = site.add_balancer(site.store.address(), site.bootstrap());
        let new = &site.balancers[index];
        new.reach("targets", |found| found == 4.0).await;
        let ips: Vec<_> = site.balancer_ips().skip(1).collect();
        site.fabric.set_balancers(ips);
        site.balancers[0].process.signal(libc::SIGTERM);
        let agent = &mut site.agents[1].process;
        agent.signal(libc::SIGTERM);
        let status = agent.exit(Duration::from_secs(15)).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        site.add_agent(1);
        let balancers = &site.balancers[1..];
        for balancer in balancers {
            balancer.reach("targets", |found| found == 4.0).await;
        }
    })
    .await;
    check_unharmed(&site, &report);
    assert_eventually_serves(&site, 1).await;
}

/// Checks that new flows reach a server, trying for a bounded time because placement is by chance.
async fn assert_eventually_serves(site: &ProcessSite, index: usize) {
    let client = site.client().build().expect("a client");
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        if let Ok(flow) = client.connect(site.service()).await {
            let answer = flow.request(CallerRequest::get("/whoami")).await;
            if answer.is_ok_and(|answer| answer.target() == Some(&*server_name(index))) {
                return;
            }
        }
        assert!(
            Instant::now() < end,
            "no flow reached {} within 10 s",
            server_name(index)
        );
    }
}

/// Guards against a data centre that still gets packets from a balancer without the store, and
/// against flows elsewhere that break with it.
#[tokio::test(flavor = "multi_thread")]
async fn taken_out_centre_gets_nothing() {
    let mut site = ProcessSite::start(5, 4).await;
    let blind = site.add_balancer(dead_store(), site.bootstrap());
    let daemon = &site.balancers[blind];
    daemon.reach("targets", |found| found == 4.0).await;
    site.fabric.set_balancers(site.balancer_ips());
    let load = site.load().request_mix(RequestMix::default());
    let mut late = 0;
    let report = load_during(load, async {
        let sent = Instant::now();
        let number = f64::from(site.apply(CentreState::Out).await);
        for balancer in &site.balancers {
            balancer
                .reach("config_version", |found| found >= number)
                .await;
        }
        let took = sent.elapsed();
        assert!(took < IN_FORCE_LIMIT, "in force after {took:?}");
        tokio::time::sleep_until(sent + IN_FORCE_LIMIT).await;
        let answered = || [1, 3].map(|index| site.servers[index].stats().answered);
        let before = answered();
        sleep(QUIET).await;
        late = answered().iter().sum::<u64>() - before.iter().sum::<u64>();
        site.apply(CentreState::In).await;
        site.reach_targets(4).await;
    })
    .await;
    assert_eq!(late, 0, "requests reached {} while it was out", CENTRES[1]);
    assert_eq!(report.wrong_answers, 0, "{:?}", report.wrong_examples);
    let out = [1, 3].map(server_name);
    // A flow that was reset before its first answer has no known target. No agent restarts here, so
    // only balancers send resets, and only for flows of the data centre that is out.
    let given_up = |flow: &BrokenFlow| {
        let is_unplaced = flow.target.is_empty() && flow.cause == "stateless reset";
        is_unplaced || out.iter().any(|name| *name == flow.target)
    };
    let elsewhere = report.broken_flows.iter().filter(|flow| !given_up(flow));
    assert_eq!(elsewhere.count(), 0, "{:?}", report.broken_flows);
    assert_eq!(
        report.failed, report.unknown,
        "{:?}",
        report.failed_by_cause
    );
    site.check_runs(&report);
}

/// Guards against a paused balancer that harms flows while it is silent or when it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn paused_balancer_breaks_no_flow() {
    let site = ProcessSite::start(6, 4).await;
    let report = load_during(site.load(), async {
        let paused = &site.balancers[2];
        paused.process.signal(libc::SIGSTOP);
        sleep(FABRIC_DELAY).await;
        site.fabric.set_balancers(site.balancer_ips().take(2));
        sleep(2 * QUIET).await;
        paused.process.signal(libc::SIGCONT);
        site.fabric.set_balancers(site.balancer_ips());
    })
    .await;
    check_unharmed(&site, &report);
}
