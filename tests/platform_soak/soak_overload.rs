//! Overload of servers by requests of two priorities.

use std::{
    fmt,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use rand::{
    rngs::SmallRng,
    Rng, //
};
use tokio::{
    task::JoinSet,
    time::{
        sleep,
        sleep_until,
        Instant, //
    },
};

use crate::{
    soak_caller::{
        FlowRequest,
        SoakCaller,
        SoakCount,
        CALLER_NET, //
    },
    soak_router::SoakRouter,
    soak_site::{
        BULK_ROUTE,
        ROUTE, //
    },
};

/// Time that servers work on a request. The 16 slots of the site serve 266 requests a second.
pub(crate) const OVERLOAD_WORK: Duration = Duration::from_millis(60);

/// Number of callers of less urgent requests, and the fourth octet of the first one's address. Each has a
/// request under way all the time, so their requests alone are five times as many as slots.
const BULK_CALLERS: std::ops::Range<u8> = 80..121;
const FIRST_BULK_CALLER: u8 = 110;

/// Interval at which callers of less urgent requests open their flows before the overload. Flows that are opened
/// later are refused.
const OPEN_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the first opening of a flow to the overload.
pub(crate) const OPENING_DURATION: Duration = Duration::from_millis(3_000);

/// Number of callers of urgent requests, which alone leave slots free, and the fourth octet of the first one's
/// address.
const URGENT_CALLERS: std::ops::Range<u8> = 4..9;
const FIRST_URGENT_CALLER: u8 = 100;

/// Pause before a caller whose flow was refused tries again.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Results of the callers of one route.
#[derive(Debug, Default)]
pub(crate) struct ClassCount {
    pub(crate) count: SoakCount,
    /// Time of each request from the first packet to the response; the opening of flows is part of it for
    /// urgent requests, each of which has its own flow.
    times: Vec<Duration>,
}

/// Results of the callers of both routes.
#[derive(Debug, Default)]
pub(crate) struct OverloadCount {
    pub(crate) urgent: ClassCount,
    pub(crate) bulk: ClassCount,
}

impl fmt::Display for ClassCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |percent| self.percentile(percent).unwrap_or_default().as_millis();
        write!(
            formatter,
            "{}, flows {}, median {} ms, p90 {} ms",
            self.count,
            self.flows(),
            ms(50),
            ms(90)
        )
    }
}

impl ClassCount {
    /// Returns the requests on open flows that got no response.
    pub(crate) fn unserved(&self) -> Vec<FlowRequest> {
        let requests = self.count.requests.iter();
        let unserved = requests.filter(|request| request.settled.is_none());
        unserved.copied().collect()
    }

    /// Returns how many flows were opened.
    pub(crate) fn flows(&self) -> usize {
        self.count.owners.len()
    }

    /// Returns this percentile of the times; `None` if no request was served.
    pub(crate) fn percentile(&self, percent: usize) -> Option<Duration> {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() * percent / 100).copied()
    }
}

/// Overloads the servers for `time`: urgent requests come on new flows, others on flows that stay open.
pub(crate) async fn run_overload_callers(
    router: &SoakRouter,
    base: u8,
    time: Duration,
    random: &mut SmallRng,
) -> OverloadCount {
    let opened = Instant::now();
    let start = opened + OPENING_DURATION;
    let end = start + time;
    let mut urgent = JoinSet::new();
    for number in 0..random.random_range(URGENT_CALLERS) {
        let caller = bind(base, FIRST_URGENT_CALLER + number, ROUTE, router).await;
        urgent.spawn(send_urgent(caller, start, end));
    }
    let mut bulk = JoinSet::new();
    for number in 0..random.random_range(BULK_CALLERS) {
        let caller = bind(base, FIRST_BULK_CALLER + number, BULK_ROUTE, router).await;
        let opened = opened + u32::from(number) * OPEN_INTERVAL;
        bulk.spawn(send_bulk(caller, opened, start, end));
    }
    OverloadCount {
        urgent: sum_classes(urgent).await,
        bulk: sum_classes(bulk).await,
    }
}

async fn bind(base: u8, number: u8, route: SocketAddrV4, router: &SoakRouter) -> SoakCaller {
    let ip = Ipv4Addr::new(127, base, CALLER_NET, number);
    SoakCaller::bind(ip, route, router).await
}

/// Sends requests one after another from `start` to `end`, each on a new flow.
async fn send_urgent(mut caller: SoakCaller, start: Instant, end: Instant) -> ClassCount {
    let mut times = Vec::new();
    sleep_until(start).await;
    let mut began = Instant::now();
    while Instant::now() < end {
        let Some(flow) = caller.open_flow().await else {
            sleep(OPEN_RETRY_DELAY).await;
            continue;
        };
        if caller.ask(flow, 0).await {
            times.push(began.elapsed());
        }
        began = Instant::now();
    }
    let count = caller.count;
    ClassCount { count, times }
}

/// Opens a flow at `opened` and sends requests on it one after another from `start` to `end`, as long as they
/// are answered.
async fn send_bulk(
    mut caller: SoakCaller,
    opened: Instant,
    start: Instant,
    end: Instant,
) -> ClassCount {
    let mut times = Vec::new();
    sleep_until(opened).await;
    let Some(flow) = caller.open_flow().await else {
        return ClassCount::default();
    };
    let mut is_open = caller.ask(flow, 0).await && caller.stay_idle(flow, start).await;
    let mut number = 1;
    while is_open && Instant::now() < end {
        let began = Instant::now();
        is_open = caller.ask(flow, number).await;
        if is_open {
            times.push(began.elapsed());
        }
        number += 1;
    }
    let count = caller.count;
    ClassCount { count, times }
}

async fn sum_classes(mut callers: JoinSet<ClassCount>) -> ClassCount {
    let mut sum = ClassCount::default();
    while let Some(class) = callers.join_next().await {
        let class = class.unwrap();
        sum.count.add(class.count);
        sum.times.extend(class.times);
    }
    sum
}
