//! Hedged requests on the path from a caller to the backend servers, on loopback.

mod common;

use std::{
    net::SocketAddrV4,
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
use carobdrum_control::call_control;
use carobdrum_settings::HedgeSettings;
use carobdrum_standins::ServiceTime;
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchAgents,
        MemberInfo,
        RunRequest, //
    },
    ControlMessage,
    TunnelKey, //
};
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
/// Outcomes of `RunReply`.
const DONE: u32 = 1;
const REFUSED: u32 = 2;

/// Response times and hedges of one run.
struct RunResult {
    /// Sorted.
    times: Vec<Duration>,
    failed: usize,
    hedges: u64,
    won: u64,
    /// How often a server got more requests than it has slots.
    overloads: u64,
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
             {} hedges ({:.2}% extra), {} won, {} overloads",
            self.times.len(),
            self.failed,
            self.hedges,
            self.extra_percent(),
            self.won,
            self.overloads,
        );
    }
}

/// Guards against hedges that don't shorten the slowest responses, exceed their share, overload a
/// server or make requests fail, when one server of ten is slow now and then. Both sites run at the same time, so
/// that the machine's load is the same for both.
#[tokio::test(flavor = "multi_thread")]
async fn one_slow_server_in_ten_with_and_without_hedges() {
    let (off, on) = tokio::join!(run_site(36, 0), run_site(37, PERCENT));
    off.print("off");
    on.print("on");
    assert_eq!(off.hedges, 0);
    assert_eq!((off.failed, on.failed), (0, 0));
    assert_eq!((off.overloads, on.overloads), (0, 0));
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

/// Guards against a request of another agent that runs although it isn't safe, at an agent of another
/// service, of an evacuated data centre or with hedging off, and against a list of such agents.
#[tokio::test(flavor = "multi_thread")]
async fn unsuitable_runs_are_refused() {
    let mut site = TestSite::start(39, 3).await;
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    site.hedging.percent = 100;
    site.add_agent("galway-a");
    site.add_agent("galway-b");
    site.hedging.percent = 0;
    site.add_agent("galway-a");
    let [near, far, off] = [0, 1, 2].map(|index| site.agent_address(index));
    let mut flows = Vec::new();
    for server in 0..3 {
        let name = format!("placename-api-{server}");
        flows.push(Arc::new(site.connect_when(|found| found == name).await));
    }
    let (_, failed) = send_requests(&flows, Duration::from_secs(3)).await;
    assert_eq!(failed, 0);
    assert_eq!(list_agents(&site, "placename-api").await.len(), 3);
    assert_eq!(list_agents(&site, "sheet-store").await.len(), 0);
    assert_eq!(run(near, "GET", "placename-api").await, DONE);
    assert_eq!(run(far, "GET", "placename-api").await, DONE);
    assert_eq!(run(off, "GET", "placename-api").await, REFUSED);
    assert_eq!(run(near, "GET", "sheet-store").await, REFUSED);
    assert_eq!(run(near, "POST", "placename-api").await, REFUSED);
    let evacuated = POOLS.replace("'galway-b'", "'galway-b'\nstate = 'out'");
    site.apply(&site.routes(), &evacuated).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(run(far, "GET", "placename-api").await, REFUSED);
    assert_eq!(list_agents(&site, "placename-api").await.len(), 2);
}

/// Asks an agent to run a request, and returns the outcome.
async fn run(agent: SocketAddrV4, method: &str, service: &str) -> u32 {
    let request = ControlBody::RunRequest(RunRequest {
        service: service.into(),
        method: method.into(),
        path: "/bytes/100?seed=3".into(),
        headers: Vec::new(),
        timeout_ms: 1_000,
    });
    let Some(ControlBody::RunReply(reply)) = call(agent, request).await else {
        panic!("no reply of the agent");
    };
    if reply.outcome == DONE {
        assert_eq!(reply.body, carobdrum_standins::body_chunk(3, 0, 100));
    }
    reply.outcome
}

async fn list_agents(site: &TestSite, service: &str) -> Vec<MemberInfo> {
    let request = ControlBody::FetchAgents(FetchAgents {
        service: service.into(),
        data_centre: "galway-a".into(),
        pick: 5,
    });
    match call(site.balancer_address(0), request).await {
        Some(ControlBody::Members(found)) => found.members,
        other => panic!("no list of agents: {other:?}"),
    }
}

async fn call(peer: SocketAddrV4, body: ControlBody) -> Option<ControlBody> {
    let key = TunnelKey::new(&[0x5a; 32]);
    let response = call_control(peer, &key, ControlMessage::new(body)).await;
    response.expect("control call failed").body
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
    let servers = site.servers.iter();
    RunResult {
        overloads: servers.map(|server| server.stats().overload_failures).sum(),
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
