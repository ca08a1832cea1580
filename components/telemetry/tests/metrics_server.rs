//! Requests to the metrics server over loopback.

use std::time::Duration;

use carobdrum_telemetry::MetricsServer;
use prometheus_client::{
    metrics::counter::Counter,
    registry::Registry, //
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout, //
};

async fn send_request(request_line: &str) -> String {
    let mut registry = Registry::default();
    let counter: Counter = Counter::default();
    counter.inc_by(3);
    registry.register("packets", "Packets seen", counter);
    let server = MetricsServer::spawn("127.0.0.1:0".parse().unwrap(), registry).unwrap();
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let request = format!("{request_line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let reading = stream.read_to_string(&mut response);
    timeout(Duration::from_secs(5), reading)
        .await
        .expect("the server closes the connection")
        .unwrap();
    response
}

/// Generates one named case per request.
macro_rules! requests {
    ($($name:ident: $line:expr => $status:expr, $body:expr;)*) => {
        /// Guards against a scraper that gets no metrics, or a success from a wrong path.
        #[rstest]
        $(#[case::$name($line, $status, $body)])*
        #[tokio::test]
        async fn request_is_answered(
            #[case] line: &str,
            #[case] status: &str,
            #[case] body: &str,
        ) {
            let response = send_request(line).await;
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
            assert!(response.contains(body), "{response}");
        }
    };
}

requests! {
    metrics: "GET /metrics" => "200", "packets_total 3\n# EOF\n";
    health: "GET /healthz" => "200", "\r\n\r\nok\n";
    other_path: "GET /" => "404", "not found";
    other_method: "POST /metrics" => "405", "allowed: GET";
}
