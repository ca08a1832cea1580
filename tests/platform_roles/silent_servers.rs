//! Open flows at an agent whose server has fallen silent.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use rstest::rstest;
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use crate::open_flows::FlowSite;

const RESET_LOST: &str = "[flows]\nreset_lost = true\n";

/// Time after which a silent server has been probed: the activity timeout of 1.9 s and two intervals.
const PROBED_AFTER: Duration = Duration::from_millis(3_500);

/// Time within which a connection to a listener with room is accepted.
const CONNECT_TIME: Duration = Duration::from_millis(200);

fn listen(address: SocketAddrV4, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address.into()).unwrap();
    socket.listen(backlog).unwrap()
}

/// Starts a site with an open flow.
async fn start(settings: &str) -> FlowSite {
    let site = FlowSite::start_with(settings).await;
    site.agent.wait_for_status(200).await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    site.open_flow().await;
    site
}

/// Guards against callers that wait for a server that has ended, and against the reset of a flow whose server
/// is only paused.
#[rstest]
#[case::ended(RESET_LOST, false)]
#[case::paused(RESET_LOST, true)]
#[case::setting_is_off("", false)]
#[tokio::test]
async fn flows_of_a_silent_server_are_reset_if_it_has_ended(
    #[case] settings: &str,
    #[case] lives: bool,
) {
    let site = start(settings).await;
    let listener = lives.then(|| listen(site.agent.backend, 8));
    let is_on = !settings.is_empty();
    sleep(Duration::from_millis(1_000)).await;
    assert!(!site.is_reset().await, "the server may be slow");
    sleep(PROBED_AFTER - Duration::from_millis(1_700)).await;
    assert_eq!(site.is_reset().await, is_on && !lives);
    drop(listener);
}

/// Guards against the reset of flows of a server that is paused while its queue of connections is full: a
/// probe gets no answer then.
#[tokio::test]
async fn flows_of_a_server_with_a_full_queue_are_kept() {
    let site = start(RESET_LOST).await;
    let _listener = listen(site.agent.backend, 1);
    let mut streams = Vec::new();
    let is_full = loop {
        match timeout(CONNECT_TIME, TcpStream::connect(site.agent.backend)).await {
            Ok(stream) => streams.push(stream.unwrap()),
            Err(_) => break true,
        }
        if streams.len() == 16 {
            break false;
        }
    };
    assert!(is_full);
    sleep(PROBED_AFTER).await;
    assert!(!site.is_reset().await);
}

/// Guards against the reset of flows of a server that still sends something although nothing listens at its
/// address, such as one that has deregistered and lets its flows end.
#[tokio::test]
async fn flows_of_a_server_that_sends_packets_are_kept() {
    let site = start(RESET_LOST).await;
    let response = site.agent.call("DELETE", "i-1", "").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    for _ in 0..4 {
        sleep(Duration::from_millis(1_000)).await;
        site.answer().await;
    }
}
