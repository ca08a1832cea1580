//! The roles on the users' platform as processes.

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddrV4,
        TcpListener,
        UdpSocket, //
    },
    path::Path,
    process::{
        Child,
        Command, //
    },
    time::Duration,
};

use carobdrum_platform_standins::{
    LeaseServer,
    StoreMode, //
};
use tempfile::TempDir;
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

/// Time for a process to start, to stop, or to read its settings.
const BOUND: Duration = Duration::from_secs(6);

/// Name of a settings file.
const SETTINGS: &str = "settings.toml";

const PAUSE: Duration = Duration::from_millis(50);

const CONFIG: &str = r#"{"Version":1,"Routes":[],"Services":[],"Limits":{}}"#;

/// A role as a process; it is killed when it is dropped.
struct Role {
    child: Child,
    ip: Ipv4Addr,
    ready: SocketAddrV4,
    peer_port: u16,
    /// Removed when the role is dropped.
    _folder: TempDir,
}

impl Drop for Role {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap().port()
}

async fn start_store() -> LeaseServer {
    let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
    store.put("op/config", CONFIG);
    store
}

fn start_balancer(store: &LeaseServer) -> Role {
    start_at(store, Ipv4Addr::LOCALHOST, free_port(), None)
}

/// Starts a balancer that may ask another one.
fn start_at(store: &LeaseServer, ip: Ipv4Addr, peer_port: u16, peer: Option<Ipv4Addr>) -> Role {
    let folder = TempDir::new().unwrap();
    let ready = SocketAddrV4::new(ip, free_port());
    let peers = peer.map_or(String::new(), |peer| format!("'{peer}:1'"));
    let settings = format!(
        "[node]\nname = 'b'\ndata_centre = 'north'\nip = '{ip}'\npeer_port = {peer_port}\n\
         packets = '{ip}:{}'\nready = '{ready}'\ngrace_s = '6'\npeers = [{peers}]\n\
         [store]\naddress = '{}'\nmin_lease_ms = 1000\n",
        free_port(),
        store.address(),
    );
    fs::write(folder.path().join(SETTINGS), settings).unwrap();
    Role {
        child: spawn("balancer", folder.path()),
        ip,
        ready,
        peer_port,
        _folder: folder,
    }
}

fn start_agent(store: &LeaseServer) -> Role {
    start_agent_at(store, free_port())
}

/// Starts an agent that takes packets at `packet_port`.
fn start_agent_at(store: &LeaseServer, packet_port: u16) -> Role {
    let folder = TempDir::new().unwrap();
    let ip = Ipv4Addr::LOCALHOST;
    let ready = SocketAddrV4::new(ip, free_port());
    let peer_port = free_port();
    let settings = format!(
        "[node]\nname = 'a'\ndata_centre = 'north'\nip = '{ip}'\npeer_port = {peer_port}\n\
         packets = '{ip}:{packet_port}'\nready = '{ready}'\ngrace_s = '6'\n\
         [store]\naddress = '{}'\nmin_lease_ms = 1000\n\
         [backend]\naddress = '{ip}:{}'\nservice = 's'\noutgoing = '{ip}:{}'\n\
         heartbeats = '{ip}:{}'\nreuse_s = '2'\n",
        store.address(),
        free_port(),
        free_port(),
        free_port(),
    );
    fs::write(folder.path().join(SETTINGS), settings).unwrap();
    Role {
        child: spawn("agent", folder.path()),
        ip,
        ready,
        peer_port,
        _folder: folder,
    }
}

fn spawn(role: &str, folder: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_carobdrum"))
        .args(["platform", role, "--settings"])
        .arg(folder.join(SETTINGS))
        .spawn()
        .unwrap()
}

impl Role {
    /// Returns the status of the answer to a question whether the balancer is ready.
    async fn status(&self) -> Option<u16> {
        let mut stream = TcpStream::connect(self.ready).await.ok()?;
        let request = "GET /carobdrum/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    async fn expect_status(&self, status: u16) {
        let wait = async {
            while self.status().await != Some(status) {
                sleep(PAUSE).await;
            }
        };
        timeout(BOUND, wait).await.expect("the status is reached");
    }

    fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).unwrap();
        // SAFETY: the process is a child that has not been waited for.
        let status = unsafe { libc::kill(pid, signal) };
        assert_eq!(status, 0);
    }

    async fn expect_end(&mut self) {
        let wait = async {
            while self.child.try_wait().unwrap().is_none() {
                sleep(PAUSE).await;
            }
        };
        timeout(BOUND, wait).await.expect("the process ends");
    }
}

/// Guards against a process that ends when its settings change.
#[tokio::test]
async fn goes_on_after_the_signal_of_changed_settings() {
    let store = start_store().await;
    let balancer = start_balancer(&store);
    balancer.expect_status(200).await;
    balancer.signal(libc::SIGHUP);
    sleep(PAUSE).await;
    balancer.expect_status(200).await;
}

/// Guards against a planned stop that cuts what the routers still send.
#[tokio::test]
async fn forwards_on_while_it_reports_that_it_leaves() {
    let store = start_store().await;
    let mut balancer = start_balancer(&store);
    balancer.expect_status(200).await;
    balancer.signal(libc::SIGTERM);
    balancer.expect_status(503).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(balancer.status().await, Some(503));
    balancer.expect_end().await;
}

/// Guards against balancers that can't start while the store is away.
#[tokio::test]
async fn starts_from_another_balancer_while_the_store_is_away() {
    let store = start_store().await;
    let first = start_balancer(&store);
    first.expect_status(200).await;
    store.set_mode(StoreMode::Unresponsive);
    let ip = Ipv4Addr::new(127, 0, 0, 2);
    let second = start_at(&store, ip, first.peer_port, Some(first.ip));
    second.expect_status(200).await;
}

/// Guards against an agent that no balancer finds, or that balancers still find after it has left.
#[tokio::test]
async fn holds_a_key_from_its_start_to_its_planned_stop() {
    let store = start_store().await;
    let mut agent = start_agent(&store);
    let count = |keys: usize| {
        let store = &store;
        let wait = async move {
            while store.keys("agents/").len() != keys {
                sleep(PAUSE).await;
            }
        };
        timeout(BOUND, wait)
    };
    count(1).await.expect("the key is written");
    agent.signal(libc::SIGTERM);
    count(0).await.expect("the key is gone");
    agent.expect_end().await;
}

/// Guards against a process that stays ready without a traffic thread, here since another process
/// holds its address.
#[tokio::test]
async fn ends_when_its_traffic_thread_can_not_run() {
    let store = start_store().await;
    let taken = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut agent = start_agent_at(&store, taken.local_addr().unwrap().port());
    agent.expect_end().await;
}
