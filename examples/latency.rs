//! Measures the latency that the path through carobdrum adds to a request.
//!
//! Run it with `cargo run --release --example latency`. It alternates between two ways to send the
//! same small request on loopback: directly to the backend server, with HTTP/1.1 on a persistent
//! connection; and through the fabric, three balancers and the agent, with HTTP/3 on one flow.

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
    let mut direct = direct.expect("cannot connect to the backend server");
    let mut path_latencies = Vec::new();
    let mut direct_latencies = Vec::new();
    for _ in 0..REQUESTS {
        let start = Instant::now();
        flow.request(CallerRequest::get(PATH))
            .await
            .expect("request failed");
        path_latencies.push(start.elapsed());
        let start = Instant::now();
        request_directly(&mut direct).await;
        direct_latencies.push(start.elapsed());
    }
    println!("| way | median, us | 99th percentile, us |");
    println!("|---|---|---|");
    print_row("direct", &mut direct_latencies);
    print_row("through carobdrum", &mut path_latencies);
}

/// Sends the request with HTTP/1.1 and reads the complete response.
async fn request_directly(stream: &mut TcpStream) {
    let request = format!("GET {PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("cannot send the request");
    let mut response = Vec::new();
    let mut chunk = [0; 2_048];
    while !is_complete(&response) {
        let len = stream
            .read(&mut chunk)
            .await
            .expect("cannot read the response");
        assert!(len > 0, "the server closed the connection");
        response.extend_from_slice(&chunk[..len]);
    }
}

/// Returns whether the response's head and the 200 bytes of its body have been received.
fn is_complete(response: &[u8]) -> bool {
    let head = response.windows(4).position(|window| window == b"\r\n\r\n");
    head.is_some_and(|at| response.len() >= at + 4 + 200)
}

fn print_row(way: &str, latencies: &mut [Duration]) {
    latencies.sort_unstable();
    let median = latencies[latencies.len() / 2].as_micros();
    let high = latencies[latencies.len() * 99 / 100].as_micros();
    println!("| {way} | {median} | {high} |");
}
