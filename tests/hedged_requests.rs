//! Hedged requests on the path from a caller to the backend servers, on loopback.

mod common;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_caller::{
    CallerFlow,
    CallerRequest, //
};
use carobdrum_settings::HedgeSettings;
use carobdrum_standins::ServiceTime;
use common::{
    TestSite,
    POOLS, //
};
use tokio::{
    task::JoinSet,
    time::{
        interval,
        sleep, //
    },
};

const SERVERS: usize = 10;
/// Interval between requests of one flow; each server has one flow.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which the servers warm up and the agents get response times and know each other.
const WARM_UP: Duration = Duration::from_secs(10);
const MEASURED: Duration = Duration::from_secs(25);
const USUAL: ServiceTime =
    ServiceTime::Uniform(Duration::from_millis(15), Duration::from_millis(25));
const SLOW: ServiceTime = ServiceTime::Fixed(Duration::from_millis(400));
/// The slow server is slow for this time in each period.
const SLOW_PERIOD: (Duration, Duration) =
    (Duration::from_millis(180), Duration::from_millis(1_320));
const PERCENT: u32 = 20;

/// Response times and hedges of one run.
struct RunResult {
    /// Sorted.
    times: Vec<Duration>,
    failed: usize,
    hedges: u64,
    won: u64,
}

impl RunResult {
    fn quantile(&self, share: f64) -> Duration {
        self.times[((self.times.len() - 1) as f64 * share) as usize]
    }

    fn extra_percent(&self) -> f64 {
        100.0 * self.hedges as f64 / (self.times.len() + self.failed) as f64
    }

    fn print(&self, name: &str) {
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|share| self.quantile(share).as_millis());
        println!(
            "{name}: p50 {p50} ms, p99 {p99} ms, p99.9 {p999} ms, {} requests, {} failed, \
             {} hedges ({:.2}% extra), {} won",
            self.times.len(),
            self.failed,
            self.hedges,
            self.extra_percent(),
            self.won,
        );
    }
}

/// Guards against hedges that don't shorten the slowest responses, exceed their share or make
/// requests fail, when one server of ten is slow now and then. Both sites run at the same time, so
/// that the machine's load is the same for both.
#[tokio::test(flavor = "multi_thread")]
async fn one_slow_server_in_ten_with_and_without_hedges() {
    let (off, on) = tokio::join!(run_site(36, 0), run_site(37, PERCENT));
    off.print("off");
    on.print("on");
    assert_eq!(off.hedges, 0);
    assert_eq!((off.failed, on.failed), (0, 0));
    assert!(on.hedges > 0 && on.won > 0);
    assert!(on.extra_percent() <= f64::from(PERCENT));
    assert!(on.quantile(0.99) * 2 <= off.quantile(0.99));
}

/// Guards against a request that goes on at the server after the hedge has won, against a second run
/// of a non-idempotent request, and against a response that is too long for a hedge and gets lost or
/// mixed with another.
#[tokio::test(flavor = "multi_thread")]
async fn losers_are_cancelled_and_unsafe_requests_run_once() {
    const IDENTITY: &str = "hedged-upload";
    let site = start_site(38, 2, 100).await;
    // Both servers need requests, because a cold one gets no hedges.
    let flow = Arc::new(site.connect_when(|found| found == "placename-api-0").await);
    let other = Arc::new(site.connect_when(|found| found == "placename-api-1").await);
    let flows = [Arc::clone(&flow), other];
    let (_, failed) = send_requests(&flows, Duration::from_secs(6)).await;
    assert_eq!(failed, 0);
    let slow = Duration::from_secs(3);
    site.servers[0].set_service_time(ServiceTime::Fixed(slow));
    let mut fast = 0;
    for _ in 0..10 {
        let start = Instant::now();
        let response = flow.request(CallerRequest::get("/bytes/2000?seed=3")).await;
        let response = response.expect("request failed");
        assert!(response.body == carobdrum_standins::body_chunk(3, 0, 2_000));
        fast += u32::from(start.elapsed() < slow / 2);
    }
    sleep(Duration::from_millis(500)).await;
    let stats = site.servers[0].stats();
    println!("{fast} of 10 fast, {} still running", stats.in_flight);
    assert!(fast >= 8, "{fast}");
    assert_eq!((stats.in_flight, stats.overload_failures), (0, 0));
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_millis(600)));
    let start = Instant::now();
    let identity = http::HeaderValue::from_static(IDENTITY);
    let upload = CallerRequest::post("/echo", "text").header(
        http::HeaderName::from_static("x-request-identity"),
        identity,
    );
    let upload = flow.request(upload).await.expect("request failed");
    assert!(upload.body == "text" && start.elapsed() >= Duration::from_millis(600));
    let runs = site.servers.iter().map(|server| server.runs_of(IDENTITY));
    assert_eq!(runs.sum::<u32>(), 1);
    let failed_runs = "carobdrum_agent_runs_for_agents_total{end=\"Failed\"}";
    assert_eq!(site.agent_metric(failed_runs).await, 0);
    let large = flow
        .request(CallerRequest::get("/bytes/400000?seed=5"))
        .await;
    let large = large.expect("request failed");
    assert!(large.body == carobdrum_standins::body_chunk(5, 0, 400_000));
    assert_eq!(site.agent_metric(failed_runs).await, 1);
}

async fn run_site(net: u8, percent: u32) -> RunResult {
    let site = start_site(net, SERVERS, percent).await;
    let mut flows = Vec::new();
    for server in 0..SERVERS {
        let name = format!("placename-api-{server}");
        flows.push(Arc::new(site.connect_when(|found| found == name).await));
    }
    let site = Arc::new(site);
    let slowing = tokio::spawn(slow_now_and_then(Arc::clone(&site)));
    send_requests(&flows, WARM_UP).await;
    let sent = "carobdrum_agent_hedges_total{event=\"Sent\"}";
    let won = "carobdrum_agent_hedges_total{event=\"Won\"}";
    let (sent_before, won_before) = (site.agent_metric(sent).await, site.agent_metric(won).await);
    let (mut times, failed) = send_requests(&flows, MEASURED).await;
    slowing.abort();
    times.sort_unstable();
    RunResult {
        times,
        failed,
        hedges: site.agent_metric(sent).await - sent_before,
        won: site.agent_metric(won).await - won_before,
    }
}

async fn start_site(net: u8, servers: usize, percent: u32) -> TestSite {
    let mut site = TestSite::start(net, servers).await;
    site.hedging = HedgeSettings {
        percent,
        ..HedgeSettings::default()
    };
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    for server in 0..servers {
        site.servers[server].set_service_time(USUAL);
        site.add_agent("galway-a");
    }
    site
}

/// Makes the first server slow for a part of each period, until the task is ended.
async fn slow_now_and_then(site: Arc<TestSite>) {
    let (slow, period) = SLOW_PERIOD;
    loop {
        site.servers[0].set_service_time(SLOW);
        sleep(slow).await;
        site.servers[0].set_service_time(USUAL);
        sleep(period - slow).await;
    }
}

/// Sends requests on all flows at a steady rate and returns the times of those that were answered
/// and the number of the others.
async fn send_requests(flows: &[Arc<CallerFlow>], span: Duration) -> (Vec<Duration>, usize) {
    let mut requests = JoinSet::new();
    let mut ticks = interval(REQUEST_INTERVAL);
    let end = Instant::now() + span;
    while Instant::now() < end {
        ticks.tick().await;
        for flow in flows {
            let flow = Arc::clone(flow);
            requests.spawn(async move {
                let start = Instant::now();
                let body = carobdrum_standins::body_chunk(3, 0, 2_000);
                let response = flow.request(CallerRequest::get("/bytes/2000?seed=3")).await;
                let is_whole = response.is_ok_and(|response| response.body == body);
                is_whole.then(|| start.elapsed())
            });
        }
    }
    let results = requests.join_all().await;
    let times: Vec<Duration> = results.iter().flatten().copied().collect();
    let failed = results.len() - times.len();
    (times, failed)
}
