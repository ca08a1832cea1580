//! The platform's routers, which send each packet to a ready balancer, chosen by a hash.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

use crate::soak_site::{
    BALANCERS,
    BALANCER_NET,
    PACKETS_PORT,
    READY_PORT, //
};

/// Interval of readiness probes, and the timeout of each.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Consecutive failed probes after which a balancer gets no packets.
const FAILURE_THRESHOLD: u8 = 2;

/// The balancers that get packets.
#[derive(Clone, Default)]
pub(crate) struct SoakRouter {
    ready: Arc<Mutex<Vec<Ipv4Addr>>>,
}

impl SoakRouter {
    /// Starts a router; it probes the balancers until the returned tasks are dropped.
    pub(crate) fn start(base: u8) -> (SoakRouter, JoinSet<()>) {
        let router = SoakRouter::default();
        let probing = router.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move { probing.probe_balancers(base).await });
        (router, tasks)
    }

    /// Probes the readiness of all balancers in an endless loop.
    async fn probe_balancers(&self, base: u8) {
        let mut failures = [FAILURE_THRESHOLD; BALANCERS as usize];
        loop {
            for number in 1..=BALANCERS {
                let ip = Ipv4Addr::new(127, base, BALANCER_NET, number);
                let ready = timeout(PROBE_INTERVAL, is_ready(ip)).await.unwrap_or(false);
                let failed = &mut failures[usize::from(number) - 1];
                *failed = if ready { 0 } else { failed.saturating_add(1) };
            }
            let numbers = (1..=BALANCERS)
                .filter(|number| failures[usize::from(*number) - 1] < FAILURE_THRESHOLD);
            let ready = numbers.map(|number| Ipv4Addr::new(127, base, BALANCER_NET, number));
            *self.ready.lock().unwrap() = ready.collect();
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Returns the balancer for packets from `caller`; `None` if no balancer is ready.
    pub(crate) fn pick(&self, caller: SocketAddrV4) -> Option<SocketAddrV4> {
        let ready = self.ready.lock().unwrap();
        let hash = u32::from(*caller.ip()).wrapping_mul(31) ^ u32::from(caller.port());
        let count = u32::try_from(ready.len()).unwrap();
        let index = hash.checked_rem(count)?;
        Some(SocketAddrV4::new(ready[index as usize], PACKETS_PORT))
    }
}

async fn is_ready(ip: Ipv4Addr) -> bool {
    let Ok(mut stream) = TcpStream::connect((ip, READY_PORT)).await else {
        return false;
    };
    let request = "GET /carobdrum/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let mut response = String::new();
    let is_sent = stream.write_all(request.as_bytes()).await.is_ok();
    is_sent
        && stream.read_to_string(&mut response).await.is_ok()
        && response.starts_with("HTTP/1.1 200")
}
