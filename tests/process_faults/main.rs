//! Faults of daemons that run as separate processes on loopback.

mod child_process;
mod load_commands;
mod process_site;

use std::time::Duration;

use bytes::Bytes;
use carobdrum_caller::{
    BrokenFlow,
    CallerRequest,
    LoadBuilder,
    LoadProgress,
    LoadReport, //
};
use carobdrum_core::version::CentreState;
use carobdrum_standins::{
    body_chunk,
    PortMode,
    ServiceTime, //
};
use tokio::time::{
    sleep,
    timeout,
    Instant, //
};

use crate::process_site::{
    server_name,
    unreachable_store,
    ProcessSite,
    CENTRES, //
};

/// Time for which the fabric continues to use a balancer that has failed.
const FABRIC_UPDATE_DELAY: Duration = Duration::from_millis(500);
/// Time for which a load runs before and after a fault.
const STEADY_DURATION: Duration = Duration::from_millis(1_500);
/// Requests that must succeed in each of these two phases.
const STEADY_REQUESTS: u64 = 51;
/// Time limit of such a phase.
const STEADY_LIMIT: Duration = Duration::from_secs(10);
/// Time limit for a change to be in force at all processes (guarantees P4, P8 and P10).
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// Runs a load before, during and after `fault`, and returns its report.
async fn load_during(
    load: LoadBuilder,
    fault: impl std::future::Future<Output = ()>,
) -> LoadReport {
    let run = load.build().expect("invalid load settings");
    let (canceller, progress) = (run.stop_signal(), run.progress());
    let running = tokio::spawn(run.run());
    run_steadily(&progress).await;
    fault.await;
    run_steadily(&progress).await;
    canceller.stop();
    running
        .await
        .expect("load task panicked")
        .expect("load failed")
}

/// Waits for the steady duration, and until a number of requests have succeeded since.
async fn run_steadily(progress: &LoadProgress) {
    let expected = progress.succeeded() + STEADY_REQUESTS;
    let served = timeout(STEADY_LIMIT, progress.wait_for_succeeded(expected));
    let (served, ()) = tokio::join!(served, sleep(STEADY_DURATION));
    served.expect("too few requests succeeded in time");
}

/// Checks that callers saw no failure, and that no recorded request ran twice.
fn check_no_failures(site: &ProcessSite, report: &LoadReport) {
    assert_eq!(report.wrong_answers, 0, "{:?}", report.wrong_examples);
    assert_eq!(report.flows_broken, 0, "{:?}", report.broken_flows);
    assert_eq!(report.failed, 0, "{:?}", report.failed_by_cause);
    assert!(report.succeeded > 100, "{report:?}");
    site.check_runs(report);
}

/// Guards against incomplete or wrong bodies through separate processes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_complete() {
    let site = ProcessSite::start(0, 2).await;
    let client = site.client().build().expect("cannot build the client");
    let flow = client
        .connect(site.service())
        .await
        .expect("cannot open a flow");
    for len in [100, 30_000_000] {
        let request = CallerRequest::get(format!("/bytes/{len}?seed=5"));
        let response = flow.request(request).await.expect("request failed");
        assert!(response.body == body_chunk(5, 0, len));
    }
    let body: Bytes = body_chunk(7, 0, 300_000);
    let request = CallerRequest::post("/echo", body.clone());
    let response = flow.request(request).await.expect("request failed");
    assert!(response.body == body);
}

/// Guards against flows that depend on the balancer that forwarded their packets so far.
#[tokio::test(flavor = "multi_thread")]
async fn killed_balancer_breaks_no_flow() {
    let site = ProcessSite::start(1, 4).await;
    let report = load_during(site.load(), async {
        site.balancers[1].process.signal(libc::SIGKILL);
        sleep(FABRIC_UPDATE_DELAY).await;
        let remaining = [0, 2].map(|index| site.balancers[index].ip);
        site.fabric.set_balancers(remaining);
    })
    .await;
    check_no_failures(&site, &report);
}

/// Guards against a balancer that can't forward packets of flows that it has never seen.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_balancers_break_no_flow() {
    let mut site = ProcessSite::start(2, 4).await;
    let load = site.load();
    let report = load_during(load, async {
        for old in 0..3 {
            let index = site.add_balancer(site.store.address(), Vec::new());
            let new = &site.balancers[index];
            new.wait_for_metric("targets", |found| found == 4.0).await;
            let ips: Vec<_> = site.balancer_ips().skip(old + 1).collect();
            site.fabric.set_balancers(ips);
            let stopped = &mut site.balancers[old].process;
            stopped.signal(libc::SIGTERM);
            let status = stopped.exit(Duration::from_secs(5)).await;
            assert!(status.is_some_and(|status| status.success()), "{status:?}");
        }
    })
    .await;
    check_no_failures(&site, &report);
}

/// Guards against a graceful shutdown that breaks requests, and against requests to a server after
/// its shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_agent_breaks_no_request() {
    let mut site = ProcessSite::start(3, 4).await;
    let slow = ServiceTime::Uniform(Duration::from_millis(50), Duration::from_millis(400));
    site.servers[0].set_service_time(slow);
    let load = site.load();
    let report = load_during(load, async {
        let agent = &mut site.agents[0].process;
        agent.signal(libc::SIGTERM);
        let status = agent.exit(Duration::from_secs(15)).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        site.wait_for_targets(3).await;
    })
    .await;
    check_no_failures(&site, &report);
}

/// Guards against daemons that need the store while they run, or to start when others are running.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_breaks_no_flow() {
    let mut site = ProcessSite::start(4, 4).await;
    site.store.set_mode(PortMode::Refusing).await;
    let load = site.load();
    let report = load_during(load, async {
        let index = site.add_balancer(site.store.address(), site.bootstrap());
        let new = &site.balancers[index];
        new.wait_for_metric("targets", |found| found == 4.0).await;
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
            balancer
                .wait_for_metric("targets", |found| found == 4.0)
                .await;
        }
    })
    .await;
    check_no_failures(&site, &report);
    assert_eventually_serves(&site, 1).await;
}

/// Checks that a new flow reaches a server, trying for 10 s because placement is random.
async fn assert_eventually_serves(site: &ProcessSite, index: usize) {
    let client = site.client().build().expect("cannot build the client");
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        if let Ok(flow) = client.connect(site.service()).await {
            let response = flow.request(CallerRequest::get("/whoami")).await;
            if response.is_ok_and(|response| response.target() == Some(&*server_name(index))) {
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

/// Guards against an evacuated data centre that still gets requests from a balancer without access
/// to the store, and against broken flows in other data centres.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_centre_gets_no_requests() {
    let mut site = ProcessSite::start(5, 4).await;
    let storeless = site.add_balancer(unreachable_store(), site.bootstrap());
    let daemon = &site.balancers[storeless];
    daemon
        .wait_for_metric("targets", |found| found == 4.0)
        .await;
    site.fabric.set_balancers(site.balancer_ips());
    let mut late = 0;
    let report = load_during(site.load(), async {
        let sent = Instant::now();
        let number = f64::from(site.apply(CentreState::Out).await);
        for balancer in &site.balancers {
            balancer
                .wait_for_metric("config_version", |found| found >= number)
                .await;
        }
        let took = sent.elapsed();
        assert!(took < IN_FORCE_LIMIT, "in force after {took:?}");
        tokio::time::sleep_until(sent + IN_FORCE_LIMIT).await;
        let answered = || [1, 3].map(|index| site.servers[index].stats().answered);
        let before = answered();
        sleep(STEADY_DURATION).await;
        late = answered().iter().sum::<u64>() - before.iter().sum::<u64>();
        site.apply(CentreState::In).await;
        site.wait_for_targets(4).await;
    })
    .await;
    assert_eq!(late, 0, "requests reached {} while it was out", CENTRES[1]);
    assert_eq!(report.wrong_answers, 0, "{:?}", report.wrong_examples);
    let out = [1, 3].map(server_name);
    // A flow that was reset before its first response has no known target. No agent restarts here,
    // so only balancers send resets, and only for flows of the evacuated data centre.
    let is_expected = |flow: &BrokenFlow| {
        let has_no_target = flow.target.is_empty() && flow.cause == "stateless reset";
        has_no_target || out.iter().any(|name| *name == flow.target)
    };
    let elsewhere = report.broken_flows.iter().filter(|flow| !is_expected(flow));
    assert_eq!(elsewhere.count(), 0, "{:?}", report.broken_flows);
    assert_eq!(
        report.failed, report.unknown,
        "{:?}",
        report.failed_by_cause
    );
    site.check_runs(&report);
}

/// Guards against a paused balancer that breaks flows while it is paused or after it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn paused_balancer_breaks_no_flow() {
    let site = ProcessSite::start(6, 4).await;
    let report = load_during(site.load(), async {
        let paused = &site.balancers[2];
        paused.process.signal(libc::SIGSTOP);
        sleep(FABRIC_UPDATE_DELAY).await;
        site.fabric.set_balancers(site.balancer_ips().take(2));
        sleep(2 * STEADY_DURATION).await;
        paused.process.signal(libc::SIGCONT);
        site.fabric.set_balancers(site.balancer_ips());
    })
    .await;
    check_no_failures(&site, &report);
}
