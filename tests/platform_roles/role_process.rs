//! A platform role that runs as a process, and its store.

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
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Mutex, //
    },
    time::Duration,
};

use carobdrum_platform_standins::LeaseServer;
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

/// Time limit for a process to start, to stop, or to read its settings.
pub(crate) const STATE_TIMEOUT: Duration = Duration::from_secs(6);

/// Name of the settings file in the folder of a process.
pub(crate) const SETTINGS_FILE: &str = "settings.toml";

pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) const CONFIG: &str = r#"{"Version":1,"Routes":[],"Services":[],"Limits":{}}"#;

/// A platform role that runs as a process, which is killed when the value is dropped.
pub(crate) struct RoleProcess {
    pub(crate) child: Child,
    pub(crate) ip: Ipv4Addr,
    pub(crate) ready: SocketAddrV4,
    pub(crate) peer_port: u16,
    /// Address to which the server of an agent sends heartbeats.
    pub(crate) heartbeats: SocketAddrV4,
    /// Address at which packets of callers or balancers arrive.
    pub(crate) packets: SocketAddrV4,
    /// Address at which packets of an agent's server arrive.
    pub(crate) outgoing: SocketAddrV4,
    /// Address of an agent's server.
    pub(crate) backend: SocketAddrV4,
    /// Folder of the settings file, removed when the value is dropped.
    pub(crate) _folder: TempDir,
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports that are handed out by [`free_port`]: below those that the system gives to sockets without a
/// port of their own, so that none is taken before its process binds it.
pub(crate) const FIRST_PORT: u32 = 12_000;
pub(crate) const PORT_COUNT: u32 = 20_000;

/// Distance of the first ports of two test runs at the same time, which differ in their process IDs.
pub(crate) const PORTS_PER_RUN: u32 = 101;

/// Held while a process is spawned, and while a port is tried: a process that is being spawned holds copies
/// of all sockets, so that a port tried at the time is still taken afterwards.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Returns a port that is free for TCP and UDP, another one with each call.
pub(crate) fn free_port() -> u16 {
    static HANDED_OUT: AtomicU32 = AtomicU32::new(0);
    let _spawning = SPAWNING.lock();
    let is_free = |port: &u16| {
        let at = (Ipv4Addr::LOCALHOST, *port);
        TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
    };
    let ports = std::iter::repeat_with(|| {
        let number = HANDED_OUT.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id().wrapping_mul(PORTS_PER_RUN);
        (FIRST_PORT + start.wrapping_add(number) % PORT_COUNT) as u16
    });
    let mut ports = ports.take(PORT_COUNT as usize);
    ports.find(is_free).expect("no port is free")
}

pub(crate) async fn start_store() -> LeaseServer {
    let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
    store.put("op/config", CONFIG);
    store
}

pub(crate) fn start_balancer(store: &LeaseServer) -> RoleProcess {
    start_balancer_at(store, Ipv4Addr::LOCALHOST, free_port(), &[])
}

/// Starts a balancer with these peers.
pub(crate) fn start_balancer_at(
    store: &LeaseServer,
    ip: Ipv4Addr,
    peer_port: u16,
    peers: &[Ipv4Addr],
) -> RoleProcess {
    let peers: Vec<String> = peers.iter().map(|peer| format!("'{peer}:1'")).collect();
    let node = format!("peers = [{}]\n", peers.join(","));
    start_balancer_with(store, ip, peer_port, &node, "")
}

/// Starts a balancer with further settings: of the node, and in further sections.
pub(crate) fn start_balancer_with(
    store: &LeaseServer,
    ip: Ipv4Addr,
    peer_port: u16,
    node: &str,
    further: &str,
) -> RoleProcess {
    let folder = TempDir::new().unwrap();
    let ready = SocketAddrV4::new(ip, free_port());
    let packets = SocketAddrV4::new(ip, free_port());
    let settings = format!(
        "[node]\nname = 'b'\ndata_centre = 'north'\nip = '{ip}'\npeer_port = {peer_port}\n\
         packets = '{packets}'\nready = '{ready}'\ngrace_s = '6'\n{node}\
         [store]\naddress = '{}'\nmin_lease_ms = 1000\n{further}",
        store.address(),
    );
    fs::write(folder.path().join(SETTINGS_FILE), settings).unwrap();
    RoleProcess {
        child: spawn("balancer", folder.path()),
        ip,
        ready,
        peer_port,
        heartbeats: ready,
        packets,
        outgoing: packets,
        backend: packets,
        _folder: folder,
    }
}

pub(crate) fn start_agent(store: &LeaseServer) -> RoleProcess {
    start_agent_at(store, free_port(), free_port())
}

/// Starts an agent that receives packets on `packet_port`.
pub(crate) fn start_agent_at(store: &LeaseServer, packet_port: u16, peer_port: u16) -> RoleProcess {
    start_agent_with(store, packet_port, peer_port, "")
}

/// Starts an agent that receives packets on `packet_port`, with further settings.
pub(crate) fn start_agent_with(
    store: &LeaseServer,
    packet_port: u16,
    peer_port: u16,
    further: &str,
) -> RoleProcess {
    start_agent_beside(store.address(), packet_port, peer_port, further)
}

/// Starts an agent that reaches the store at this address.
pub(crate) fn start_agent_beside(
    store: SocketAddrV4,
    packet_port: u16,
    peer_port: u16,
    further: &str,
) -> RoleProcess {
    let folder = TempDir::new().unwrap();
    let ip = Ipv4Addr::LOCALHOST;
    let ready = SocketAddrV4::new(ip, free_port());
    let heartbeats = SocketAddrV4::new(ip, free_port());
    let outgoing = SocketAddrV4::new(ip, free_port());
    let backend = SocketAddrV4::new(ip, free_port());
    let settings = format!(
        "[node]\nname = 'a'\ndata_centre = 'north'\nip = '{ip}'\npeer_port = {peer_port}\n\
         packets = '{ip}:{packet_port}'\nready = '{ready}'\ngrace_s = '6'\n\
         [store]\naddress = '{}'\nmin_lease_ms = 1000\n\
         [backend]\naddress = '{backend}'\nservice = 's'\noutgoing = '{outgoing}'\n\
         heartbeats = '{heartbeats}'\nreuse_s = '2'\n{further}",
        store,
    );
    fs::write(folder.path().join(SETTINGS_FILE), settings).unwrap();
    RoleProcess {
        child: spawn("agent", folder.path()),
        ip,
        ready,
        peer_port,
        heartbeats,
        packets: SocketAddrV4::new(ip, packet_port),
        outgoing,
        backend,
        _folder: folder,
    }
}

pub(crate) fn spawn(role: &str, folder: &Path) -> Child {
    let _spawning = SPAWNING.lock();
    Command::new(env!("CARGO_BIN_EXE_carobdrum"))
        .args(["platform", role, "--settings"])
        .arg(folder.join(SETTINGS_FILE))
        .spawn()
        .unwrap()
}

/// Returns the body of a heartbeat of the server at this address.
pub(crate) fn heartbeat_body(address: &str, run: u64, sequence: u64, state: &str) -> String {
    format!(
        r#"{{"Service":"s","Address":"{address}","Zone":"north","Version":"v1","Slots":2,"State":"{state}","ColdRemainingMs":0,"Sequence":{sequence},"born":{run}}}"#
    )
}

impl RoleProcess {
    /// Returns the HTTP status of the readiness endpoint; `None` if it can't be read.
    pub(crate) async fn status(&self) -> Option<u16> {
        let mut stream = TcpStream::connect(self.ready).await.ok()?;
        let request = "GET /carobdrum/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        response.split(' ').nth(1)?.parse().ok()
    }

    /// Sends a heartbeat of the agent's server in this run and state.
    pub(crate) async fn send_heartbeat(&self, run: u64, sequence: u64, state: &str) {
        let body = heartbeat_body("127.0.0.1:1", run, sequence, state);
        let response = self.call("PUT", &format!("i-{run}"), &body).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }

    /// Makes a call of a backend server with this id, and returns the response.
    pub(crate) async fn call(&self, method: &str, id: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.heartbeats).await.unwrap();
        let request = format!(
            "{method} /carobdrum/instances/{id} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len(),
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        response
    }

    pub(crate) async fn wait_for_status(&self, status: u16) {
        self.poll_for_status(status, POLL_INTERVAL).await;
    }

    /// Waits for a status that it reads in this interval.
    pub(crate) async fn poll_for_status(&self, status: u16, interval: Duration) {
        let wait = async {
            while self.status().await != Some(status) {
                sleep(interval).await;
            }
        };
        timeout(STATE_TIMEOUT, wait)
            .await
            .expect("status not reached in time");
    }

    pub(crate) fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).unwrap();
        // SAFETY: the process is a child that has not been waited for.
        let status = unsafe { libc::kill(pid, signal) };
        assert_eq!(status, 0);
    }

    pub(crate) async fn wait_for_exit(&mut self) {
        let wait = async {
            while self.child.try_wait().unwrap().is_none() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(STATE_TIMEOUT, wait)
            .await
            .expect("process did not exit in time");
    }
}
