//! Callers, and what they check.

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
};
use tokio::{
    net::UdpSocket,
    task::JoinSet,
    time::{
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
const CALLER_NET: u8 = 9;
const MAX_ATTEMPTS: u8 = 3;

/// Times at which copies of an opening packet are sent, and at which the attempt ends.
const COPY_TIMES: [Duration; 3] = [
    Duration::from_millis(0),
    Duration::from_millis(200),
    Duration::from_millis(600),
];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// First time after which a request is sent again; it doubles.
const FIRST_RESEND: Duration = Duration::from_millis(200);

/// Time after which the caller of an open flow gives up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SoakCount {
    pub(crate) asked: usize,
    pub(crate) served: usize,
    pub(crate) wrong_answers: usize,
    /// Resets of open flows; servers of the soak don't reset.
    pub(crate) resets: usize,
}

/// How an attempt ended.
enum AttemptEnd {
    Served,
    NotOpened,
    Unknown,
}

struct SoakCaller {
    socket: UdpSocket,
    ip: Ipv4Addr,
    port: u16,
    router: SoakRouter,
    count: SoakCount,
}

/// Sends requests one after the other from each caller for a time.
pub(crate) async fn run_callers(base: u8, phase: u16, time: Duration) -> SoakCount {
    let router = SoakRouter::default();
    let following = router.clone();
    let follower = tokio::spawn(async move { following.follow(base).await });
    let mut callers = JoinSet::new();
    let end = Instant::now() + time;
    for number in 1..=CALLERS {
        let ip = Ipv4Addr::new(127, base, CALLER_NET, number);
        let socket = UdpSocket::bind((ip, PACKETS_PORT)).await.unwrap();
        let mut caller = SoakCaller {
            socket,
            ip,
            port: 1_024 + phase * 20_000,
            router: router.clone(),
            count: SoakCount::default(),
        };
        callers.spawn(async move {
            while Instant::now() < end {
                caller.request().await;
            }
            caller.count
        });
    }
    let mut sum = SoakCount::default();
    while let Some(count) = callers.join_next().await {
        let count = count.unwrap();
        sum.asked += count.asked;
        sum.served += count.served;
        sum.wrong_answers += count.wrong_answers;
        sum.resets += count.resets;
    }
    follower.abort();
    sum
}

impl SoakCaller {
    /// Sends a non-idempotent request: only an attempt whose flow didn't open is repeated.
    async fn request(&mut self) {
        if self.router.pick(SocketAddrV4::new(self.ip, 0)).is_none() {
            tokio::time::sleep(COPY_TIMES[1]).await;
            return;
        }
        self.count.asked += 1;
        let data = format!("request {}-{}", self.ip, self.port).into_bytes();
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(&data).await {
                AttemptEnd::Served => {
                    self.count.served += 1;
                    return;
                }
                AttemptEnd::Unknown => return,
                AttemptEnd::NotOpened => {}
            }
        }
    }

    async fn attempt(&mut self, data: &[u8]) -> AttemptEnd {
        self.port += 1;
        let began = Instant::now();
        for (copy, time) in COPY_TIMES.iter().enumerate() {
            let open = self.packet(flags::SYN, u32::try_from(copy).unwrap(), Vec::new());
            tokio::time::sleep_until(began + *time).await;
            self.send(&open).await;
            let next = COPY_TIMES.get(copy + 1).copied().unwrap_or(OPEN_TIMEOUT);
            let Some(answer) = self.receive(began + next).await else {
                continue;
            };
            if answer.flags & flags::RST != 0 {
                return AttemptEnd::NotOpened;
            }
            return self.ask(answer.sequence, data).await;
        }
        AttemptEnd::NotOpened
    }

    /// Sends the request on an open flow until it is answered.
    async fn ask(&mut self, server: u32, data: &[u8]) -> AttemptEnd {
        let end = Instant::now() + ANSWER_TIMEOUT;
        let mut pause = FIRST_RESEND;
        let ask = self.packet(flags::ACK, server, data.to_vec());
        while Instant::now() < end {
            self.send(&ask).await;
            let due = Instant::now() + pause;
            pause *= 2;
            while let Some(answer) = self.receive(due).await {
                if answer.flags & flags::RST != 0 {
                    self.count.resets += 1;
                    return AttemptEnd::Unknown;
                }
                if answer.data.is_empty() {
                    continue;
                }
                self.count.wrong_answers += usize::from(answer.data != data);
                return AttemptEnd::Served;
            }
        }
        AttemptEnd::Unknown
    }

    fn packet(&self, flags: u8, acknowledged: u32, data: Vec<u8>) -> EndpointPacket {
        EndpointPacket {
            from: SocketAddrV4::new(self.ip, self.port),
            to: ROUTE,
            flags,
            sequence: 7,
            acknowledged,
            data,
        }
    }

    async fn send(&self, packet: &EndpointPacket) {
        if let Some(balancer) = self.router.pick(packet.from) {
            // A balancer that is down loses the packet.
            let _ = self.socket.send_to(&packet.encode(), balancer).await;
        }
    }

    /// Waits until `due` for a packet of the present flow.
    async fn receive(&self, due: Instant) -> Option<EndpointPacket> {
        let mut buffer = [0; 2_048];
        loop {
            let received = timeout_at(due, self.socket.recv_from(&mut buffer)).await;
            let Ok((len, _)) = received.ok()? else {
                continue;
            };
            let packet = EndpointPacket::decode(&buffer[..len]);
            let packet = packet.expect("a caller gets packets as their senders wrote them");
            if packet.to.port() == self.port {
                return Some(packet);
            }
        }
    }
}
