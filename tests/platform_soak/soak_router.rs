//! The platform's routers: each packet goes to a balancer in rotation, by a hash.

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

/// Time between questions whether a balancer is ready.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Missed answers after which a balancer leaves the rotation.
const MISSES: u8 = 2;

/// The balancers in rotation.
#[derive(Clone, Default)]
pub(crate) struct SoakRouter {
    ready: Arc<Mutex<Vec<Ipv4Addr>>>,
}

impl SoakRouter {
    /// Asks the balancers for ever whether they are ready.
    pub(crate) async fn follow(&self, base: u8) {
        let mut misses = [MISSES; BALANCERS as usize];
        loop {
            for number in 1..=BALANCERS {
                let ip = Ipv4Addr::new(127, base, BALANCER_NET, number);
                let ready = timeout(ASK_INTERVAL, is_ready(ip)).await.unwrap_or(false);
                let missed = &mut misses[usize::from(number) - 1];
                *missed = if ready { 0 } else { missed.saturating_add(1) };
            }
            let numbers =
                (1..=BALANCERS).filter(|number| misses[usize::from(*number) - 1] < MISSES);
            let ready = numbers.map(|number| Ipv4Addr::new(127, base, BALANCER_NET, number));
            *self.ready.lock().unwrap() = ready.collect();
            sleep(ASK_INTERVAL).await;
        }
    }

    /// Returns the balancer for a flow.
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
    let mut answer = String::new();
    let asked = stream.write_all(request.as_bytes()).await.is_ok();
    asked && stream.read_to_string(&mut answer).await.is_ok() && answer.starts_with("HTTP/1.1 200")
}
