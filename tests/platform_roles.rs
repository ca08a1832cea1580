//! The roles on the users' platform as processes.

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddrV4,
        TcpListener, //
    },
    process::{
        Child,
        Command, //
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

/// Time for a process to start, to stop, or to read its settings.
const BOUND: Duration = Duration::from_secs(6);

const PAUSE: Duration = Duration::from_millis(50);

const CONFIG: &str = r#"{"Version":1,"Routes":[],"Services":[],"Limits":{}}"#;

/// A balancer as a process; it is killed when it is dropped.
struct Balancer {
    child: Child,
    ready: SocketAddrV4,
    store: LeaseServer,
    _folder: TempDir,
}

impl Drop for Balancer {
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

async fn start_balancer() -> Balancer {
    let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
    store.put("op/config", CONFIG);
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("settings.toml");
    let ready = SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port());
    let settings = format!(
        "[node]\nname = 'b'\ndata_centre = 'north'\nip = '127.0.0.1'\npeer_port = {}\n\
         packets = '127.0.0.1:{}'\nready = '{ready}'\ngrace_s = '6'\n\
         [store]\naddress = '{}'\nmin_lease_ms = 1000\n",
        free_port(),
        free_port(),
        store.address(),
    );
    fs::write(&path, settings).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_carobdrum"))
        .args(["platform", "balancer", "--settings"])
        .arg(&path)
        .spawn()
        .unwrap();
    Balancer {
        child,
        ready,
        store,
        _folder: folder,
    }
}

impl Balancer {
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
    let balancer = start_balancer().await;
    balancer.expect_status(200).await;
    balancer.signal(libc::SIGHUP);
    sleep(PAUSE).await;
    balancer.expect_status(200).await;
    assert!(balancer.store.keys("op/").len() == 1);
}

/// Guards against a planned stop that cuts what the routers still send.
#[tokio::test]
async fn forwards_on_while_it_reports_that_it_leaves() {
    let mut balancer = start_balancer().await;
    balancer.expect_status(200).await;
    balancer.signal(libc::SIGTERM);
    balancer.expect_status(503).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(balancer.status().await, Some(503));
    balancer.expect_end().await;
}
