//! Measures what the path adds to a request's latency.
//!
//! Run it with `cargo run --release --example latency`. In turns, the same small request goes to the
//! backend server directly, by HTTP/1.1 on a kept connection, and through fabric, three balancers and
//! agent, by HTTP/3 on a kept flow, all on loopback.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{
    Duration,
    Instant, //
};

use carobdrum_caller::CallerRequest;
use common::{
    TestSite,
    POOLS, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

const REQUESTS: usize = 2_000;
const PATH: &str = "/bytes/200?seed=1";

#[tokio::main]
async fn main() {
    let mut site = TestSite::start(70, 1).await;
    site.apply(&site.routes(), POOLS).await;
    for _ in 0..3 {
        site.add_balancer("galway-a");
    }
    site.add_agent("galway-a");
    let flow = site.connect().await;
    let direct = TcpStream::connect(site.servers[0].address()).await;
    let mut direct = direct.expect("a connection");
    let mut through = Vec::new();
    let mut straight = Vec::new();
    for _ in 0..REQUESTS {
        let start = Instant::now();
        flow.request(CallerRequest::get(PATH))
            .await
            .expect("an answer");
        through.push(start.elapsed());
        let start = Instant::now();
        ask_directly(&mut direct).await;
        straight.push(start.elapsed());
    }
    println!("| way | median, us | 99th percentile, us |");
    println!("|---|---|---|");
    print_row("direct", &mut straight);
    print_row("through carobdrum", &mut through);
}

/// Sends the request by HTTP/1.1 and reads the whole answer.
async fn ask_directly(stream: &mut TcpStream) {
    let request = format!("GET {PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a request");
    let mut answer = Vec::new();
    let mut chunk = [0; 2_048];
    while !is_whole(&answer) {
        let len = stream.read(&mut chunk).await.expect("an answer");
        assert!(len > 0, "the server closed the connection");
        answer.extend_from_slice(&chunk[..len]);
    }
}

/// Returns whether a head and the 200 bytes of its body have come.
fn is_whole(answer: &[u8]) -> bool {
    let head = answer.windows(4).position(|window| window == b"\r\n\r\n");
    head.is_some_and(|at| answer.len() >= at + 4 + 200)
}

fn print_row(way: &str, latencies: &mut [Duration]) {
    latencies.sort_unstable();
    let median = latencies[latencies.len() / 2].as_micros();
    let high = latencies[latencies.len() * 99 / 100].as_micros();
    println!("| {way} | {median} | {high} |");
}
