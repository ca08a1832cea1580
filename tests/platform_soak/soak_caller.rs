//! Callers of the soak test and their results.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use carobdrum_platform_standins::{
    flags,
    EndpointPacket, //
    NUMBER_SHIFT,
};
use tokio::{
    net::UdpSocket,
    task::JoinSet,
    time::{
        sleep,
        sleep_until,
        timeout_at,
        Instant, //
    },
};

use crate::{
    soak_router::SoakRouter,
    soak_site::{
        PACKETS_PORT,
        ROUTE, //
    },
};

const CALLERS: u8 = 8;

/// Third octet of the callers' addresses.
pub(crate) const CALLER_NET: u8 = 9;
const FIRST_PORT: u16 = 1_024;
const FIRST_SEQUENCE: u32 = 7;
const MAX_ATTEMPTS: u8 = 3;

/// Times since the start of an attempt at which the opening packet is sent and retransmitted.
const SEND_TIMES: [Duration; 3] = [
    Duration::from_millis(0),
    Duration::from_millis(200),
    Duration::from_millis(600),
];
/// Time since its start after which an attempt to open a flow ends.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Delay before a request is sent again for the first time; it doubles with each retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which the caller of an open flow gives up.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Largest number of requests on one flow, and the longest pause between them.
const MAX_REQUESTS: u16 = 4;
const MAX_PAUSE_MS: u64 = 1_800;

/// Number of sequence numbers, from the one that the caller expects, with which it accepts a reset.
const RESET_WINDOW: u32 = 76_800;

/// A reset that the system sent for an open flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowReset {
    /// Number of the server that held the flow.
    pub(crate) server: u32,
    pub(crate) at: Instant,
}

/// A request on an open flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRequest {
    pub(crate) caller: SocketAddrV4,
    /// When the flow opened.
    pub(crate) opened: Instant,
    /// When the caller sent the request for the first time.
    pub(crate) asked: Instant,
    /// When the caller got a response or a reset that it accepts.
    pub(crate) settled: Option<Instant>,
}

/// Results of the callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SoakCount {
    pub(crate) asked: usize,
    pub(crate) served: usize,
    pub(crate) wrong_answers: usize,
    /// Resets of open flows. The servers of the soak test send none.
    pub(crate) resets: Vec<FlowReset>,
    /// Endpoints of the callers' flows, with the number of the server that holds each.
    pub(crate) owners: Vec<(SocketAddrV4, u32)>,
    /// Requests on open flows.
    pub(crate) requests: Vec<FlowRequest>,
}

/// A flow that a caller has opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenFlow {
    /// First sequence number of the server, whose number is in the upper bits.
    pub(crate) server: u32,
    pub(crate) opened: Instant,
}

pub(crate) struct SoakCaller {
    socket: UdpSocket,
    route: SocketAddrV4,
    ip: Ipv4Addr,
    port: u16,
    /// Sequence number of the next packet.
    sequence: u32,
    router: SoakRouter,
    pub(crate) count: SoakCount,
}

/// Sends requests from all callers for `time`; each caller sends one after another.
pub(crate) async fn run_callers(
    router: &SoakRouter,
    base: u8,
    phase: u16,
    time: Duration,
) -> SoakCount {
    let mut callers = JoinSet::new();
    let end = Instant::now() + time;
    for number in 1..=CALLERS {
        let ip = Ipv4Addr::new(127, base, CALLER_NET, number);
        let mut caller = SoakCaller::bind(ip, ROUTE, router).await;
        caller.port = FIRST_PORT + phase * 20_000;
        callers.spawn(async move {
            while Instant::now() < end {
                caller.request().await;
            }
            caller.count
        });
    }
    sum_counts(callers).await
}

/// Waits for all callers and returns the sum of their results.
pub(crate) async fn sum_counts(mut callers: JoinSet<SoakCount>) -> SoakCount {
    let mut sum = SoakCount::default();
    while let Some(count) = callers.join_next().await {
        sum.add(count.unwrap());
    }
    sum
}

impl SoakCount {
    /// Adds the results of other callers.
    pub(crate) fn add(&mut self, count: SoakCount) {
        self.asked += count.asked;
        self.served += count.served;
        self.wrong_answers += count.wrong_answers;
        self.resets.extend(count.resets);
        self.owners.extend(count.owners);
        self.requests.extend(count.requests);
    }
}

impl SoakCaller {
    /// Creates a caller of `route` at this address.
    pub(crate) async fn bind(ip: Ipv4Addr, route: SocketAddrV4, router: &SoakRouter) -> SoakCaller {
        SoakCaller {
            socket: UdpSocket::bind((ip, PACKETS_PORT)).await.unwrap(),
            route,
            ip,
            port: FIRST_PORT,
            sequence: FIRST_SEQUENCE,
            router: router.clone(),
            count: SoakCount::default(),
        }
    }

    /// Sends non-idempotent requests on one flow, which are retried only if it wasn't opened.
    async fn request(&mut self) {
        if self.router.pick(SocketAddrV4::new(self.ip, 0)).is_none() {
            sleep(SEND_TIMES[1]).await;
            return;
        }
        for _ in 0..MAX_ATTEMPTS {
            if let Some(flow) = self.open_flow().await {
                self.use_flow(flow).await;
                return;
            }
            sleep(FIRST_RETRY_DELAY).await;
        }
        self.count.asked += 1;
    }

    /// Sends requests on an open flow, with pauses, until one isn't answered.
    async fn use_flow(&mut self, flow: OpenFlow) {
        for number in 0..1 + self.port % MAX_REQUESTS {
            let pause = u64::from(self.port) * 97 % MAX_PAUSE_MS;
            let end = Instant::now() + Duration::from_millis(pause);
            if number > 0 && !self.stay_idle(flow, end).await {
                return;
            }
            if !self.ask(flow, number).await {
                return;
            }
        }
    }

    /// Sends request `number` of an open flow until it is answered or the flow is reset; returns whether it
    /// was answered.
    pub(crate) async fn ask(&mut self, flow: OpenFlow, number: u16) -> bool {
        self.count.asked += 1;
        let data = format!("request {}-{}-{number:05}", self.ip, self.port).into_bytes();
        let asked = Instant::now();
        let served = self.send_until_settled(flow.server, &data).await;
        self.sequence += u32::try_from(data.len()).unwrap();
        self.count.requests.push(FlowRequest {
            caller: SocketAddrV4::new(self.ip, self.port),
            opened: flow.opened,
            asked,
            settled: served.map(|_| Instant::now()),
        });
        self.count.served += usize::from(served == Some(true));
        served == Some(true)
    }

    /// Sends nothing on an open flow until `end`; returns whether the flow is still open then.
    pub(crate) async fn stay_idle(&mut self, flow: OpenFlow, end: Instant) -> bool {
        while let Some(packet) = self.receive(end).await {
            if self.is_reset(flow.server, &packet) {
                return false;
            }
        }
        true
    }

    /// Opens a flow; `None` if it is refused or nothing answers.
    pub(crate) async fn open_flow(&mut self) -> Option<OpenFlow> {
        let server = self.send_opening_packets().await?;
        let caller = SocketAddrV4::new(self.ip, self.port);
        self.count.owners.push((caller, server >> NUMBER_SHIFT));
        Some(OpenFlow {
            server,
            opened: Instant::now(),
        })
    }

    /// Opens a flow; returns the first sequence number of the server that accepted it.
    async fn send_opening_packets(&mut self) -> Option<u32> {
        self.port += 1;
        self.sequence = FIRST_SEQUENCE;
        let started = Instant::now();
        for (index, time) in SEND_TIMES.iter().enumerate() {
            let opening_packet = self.packet(flags::SYN, u32::try_from(index).unwrap(), Vec::new());
            sleep_until(started + *time).await;
            self.send(&opening_packet).await;
            let next = SEND_TIMES.get(index + 1).copied().unwrap_or(OPEN_TIMEOUT);
            let Some(response) = self.receive(started + next).await else {
                continue;
            };
            if response.flags & flags::RST != 0 {
                return None;
            }
            self.sequence += 1;
            return Some(response.sequence);
        }
        None
    }

    /// Sends the request on an open flow, again and again, until it is answered (`true`) or the flow is
    /// reset (`false`); `None` if neither happens in time.
    async fn send_until_settled(&mut self, server: u32, data: &[u8]) -> Option<bool> {
        let end = Instant::now() + RESPONSE_TIMEOUT;
        let mut retry_delay = FIRST_RETRY_DELAY;
        let request = self.packet(flags::ACK, server, data.to_vec());
        while Instant::now() < end {
            self.send(&request).await;
            let due = Instant::now() + retry_delay;
            retry_delay *= 2;
            while let Some(response) = self.receive(due).await {
                if self.is_reset(server, &response) {
                    return Some(false);
                }
                if response.flags & flags::RST != 0
                    || response.data.is_empty()
                    || self.is_earlier_answer(&response.data, data)
                {
                    continue;
                }
                self.count.wrong_answers += usize::from(response.data != data);
                return Some(true);
            }
        }
        None
    }

    /// Returns whether the packet resets the open flow. A reset that the caller ignores is recorded as well.
    fn is_reset(&mut self, server: u32, packet: &EndpointPacket) -> bool {
        if packet.flags & flags::RST == 0 {
            return false;
        }
        self.count.resets.push(FlowReset {
            server: server >> NUMBER_SHIFT,
            at: Instant::now(),
        });
        packet.sequence.wrapping_sub(server) <= RESET_WINDOW
    }

    /// Returns whether this is another copy of the answer to an earlier request on the same flow.
    fn is_earlier_answer(&self, answer: &[u8], request: &[u8]) -> bool {
        let prefix = format!("request {}-{}-", self.ip, self.port).into_bytes();
        answer < request && answer.starts_with(&prefix)
    }

    fn packet(&self, flags: u8, acknowledged: u32, data: Vec<u8>) -> EndpointPacket {
        EndpointPacket {
            from: SocketAddrV4::new(self.ip, self.port),
            to: self.route,
            flags,
            sequence: self.sequence,
            acknowledged,
            data,
        }
    }

    async fn send(&self, packet: &EndpointPacket) {
        if let Some(balancer) = self.router.pick(packet.from) {
            // Sending fails if the balancer is down; the packet is lost then.
            let _ = self.socket.send_to(&packet.encode(), balancer).await;
        }
    }

    /// Waits until `due` for a packet of the current flow.
    async fn receive(&self, due: Instant) -> Option<EndpointPacket> {
        let mut buffer = [0; 2_048];
        loop {
            let received = timeout_at(due, self.socket.recv_from(&mut buffer)).await;
            let Ok((len, _)) = received.ok()? else {
                continue;
            };
            let packet = EndpointPacket::decode(&buffer[..len]);
            let packet = packet.expect("malformed packet received");
            if packet.to.port() == self.port {
                return Some(packet);
            }
        }
    }
}
