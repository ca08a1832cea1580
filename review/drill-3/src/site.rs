//! A small deployment: the project's programs as processes, with stand-ins for all others.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use carobdrum_platform_standins::LeaseServer;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    client::{Attempts, Client, Frontend, Router},
    record::Record,
    server::{Runs, Server, ServerSettings},
};

const PACKET_PORT: u16 = 8_172;
const READY_PORT: u16 = 8_167;
const PEER_PORT: u16 = 7_720;
const OUTBOUND_PORT: u16 = 8_162;
const APP_PORT: u16 = 8_165;
const CONTROL_PORT: u16 = 8_166;

/// Third octets of the addresses.
const FRONTEND_NET: u8 = 1;
const SIDE_NET: u8 = 2;
const CLIENT_NET: u8 = 9;

const PROGRAM: &str = "target/release/carobdrum";
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Zones of the frontends, in their order.
const FRONTEND_ZONES: [&str; 3] = ["north", "north", "south"];

/// Zones and services of the targets, in their order.
const TARGETS: [(&str, &str); 8] = [
    ("north", "lookup"),
    ("north", "lookup"),
    ("south", "lookup"),
    ("south", "lookup"),
    ("north", "lookup"),
    ("south", "lookup"),
    ("north", "sheets"),
    ("south", "sheets"),
];

/// Folder for settings and logs, which is removed when it is dropped.
struct ScratchFolder {
    path: PathBuf,
}

impl ScratchFolder {
    fn create() -> ScratchFolder {
        let path = std::env::temp_dir().join(format!("drill-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder is created");
        ScratchFolder { path }
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A process of the project; it is killed when it is dropped.
pub struct Process {
    role: &'static str,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self, record: &Record) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log is opened");
        let mut command = Command::new(PROGRAM);
        command
            .args(["platform", self.role, "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log));
        // SAFETY: the call is safe between fork and exec. The process ends with this one.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program starts");
        record.line(&format!("process {} started", self.name));
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Sends SIGTERM, then SIGKILL after the grace period; returns once the process has exited.
    pub async fn stop(&mut self, record: &Record) {
        self.signal(libc::SIGTERM);
        record.line(&format!("process {}: SIGTERM", self.name));
        for _ in 0..60 {
            if self.has_exited() {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        self.kill(record);
    }

    pub fn kill(&mut self, record: &Record) {
        self.signal(libc::SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        record.line(&format!("process {} has ended", self.name));
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A deployment of three frontends and eight targets in two zones.
pub struct Site {
    pub store: LeaseServer,
    pub frontends: Vec<Process>,
    pub agents: Vec<Process>,
    pub servers: Vec<Option<Server>>,
    pub router: Router,
    /// A client in each zone.
    pub clients: Vec<Client>,
    pub attempts: Attempts,
    pub runs: Runs,
    pub record: Record,
    base: u8,
    _folder: ScratchFolder,
    _claim: TcpListener,
}

impl Site {
    /// Starts everything with this configuration, and waits until all frontends are in rotation.
    pub async fn start(record: Record, config: &str) -> Option<Site> {
        let (base, claim) = claim_range();
        let folder = ScratchFolder::create();
        let store = LeaseServer::start(Ipv4Addr::new(127, base, 0, 1))
            .await
            .ok()?;
        store.put("op/config", config);
        record.line(&format!("operator writes op/config {config}"));
        let frontend_ip = |index: usize| Ipv4Addr::new(127, base, FRONTEND_NET, index as u8 + 1);
        let seeds: Vec<String> = (0..FRONTEND_ZONES.len())
            .map(|index| format!("\"{}:{CONTROL_PORT}\"", frontend_ip(index)))
            .collect();
        let seeds = seeds.join(",");
        let process = |role: &'static str,
                       index: usize,
                       ip: Ipv4Addr,
                       zone: &str,
                       backend: String| {
            let name = format!("{role}-{}", index + 1);
            let settings = folder.path.join(format!("{name}.toml"));
            let text = format!(
                "[node]\nname = \"{name}\"\ndata_centre = \"{zone}\"\nip = \"{ip}\"\npeer_port = {PEER_PORT}\n\
                 packets = \"{ip}:{PACKET_PORT}\"\nready = \"{ip}:{READY_PORT}\"\ngrace_s = \"6\"\n\
                 flow_lifetime_s = \"60\"\nmetrics = \"{ip}:9464\"\npeers = [{seeds}]\n\
                 [store]\naddress = \"{}\"\nmin_lease_ms = 1000\nconfig_apply_ms = \"3000\"\n{backend}\
                 [flows]\nreset_lost = true\nschedule_requests = true\nweigh_servers = true\nsave_flows_s = 4\n",
                store.address()
            );
            fs::write(&settings, text).expect("the settings are written");
            Process {
                role,
                log: folder.path.join(format!("{name}.log")),
                name,
                settings,
                child: None,
            }
        };
        let mut frontends = Vec::new();
        for (index, zone) in FRONTEND_ZONES.iter().enumerate() {
            frontends.push(process(
                "balancer",
                index,
                frontend_ip(index),
                zone,
                String::new(),
            ));
        }
        let runs = Runs::default();
        let mut agents = Vec::new();
        let mut servers = Vec::new();
        for (index, (zone, service)) in TARGETS.iter().enumerate() {
            let ip = Ipv4Addr::new(127, base, SIDE_NET, index as u8 + 1);
            let at = |port| SocketAddrV4::new(ip, port);
            let backend = format!(
                "[backend]\naddress = \"{}\"\nservice = \"{service}\"\noutgoing = \"{}\"\nheartbeats = \"{}\"\n\
                 reuse_s = \"2\"\ncold_factor = \"1.5\"\ncold_slack = \"5\"\n",
                at(APP_PORT),
                at(OUTBOUND_PORT),
                at(CONTROL_PORT)
            );
            agents.push(process("agent", index, ip, zone, backend));
            let settings = ServerSettings {
                number: index as u32 + 1,
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                app: at(APP_PORT),
                outbound: at(OUTBOUND_PORT),
                heartbeats: at(CONTROL_PORT),
            };
            let server =
                Server::start(settings, Duration::ZERO, runs.clone(), record.clone()).await;
            servers.push(Some(server));
        }
        for process in frontends.iter_mut().chain(&mut agents) {
            process.start(&record);
        }
        let listed = FRONTEND_ZONES
            .iter()
            .enumerate()
            .map(|(index, zone)| Frontend {
                ip: frontend_ip(index),
                zone: (*zone).to_owned(),
            });
        let router = Router::start(listed.collect(), PACKET_PORT, READY_PORT, record.clone());
        let attempts = Attempts::default();
        let mut clients = Vec::new();
        for (index, zone) in ["north", "south"].into_iter().enumerate() {
            let ip = Ipv4Addr::new(127, base, CLIENT_NET, index as u8 + 1);
            let client = Client::start(ip, zone, router.clone(), attempts.clone(), record.clone());
            clients.push(client.await);
        }
        let site = Site {
            store,
            frontends,
            agents,
            servers,
            router,
            clients,
            attempts,
            runs,
            record,
            base,
            _folder: folder,
            _claim: claim,
        };
        let ready = async {
            while !(0..FRONTEND_ZONES.len()).all(|index| site.router.is_in_rotation(index)) {
                sleep(Duration::from_millis(100)).await;
            }
            while site.store.keys("agents/").len() < 2 * TARGETS.len() {
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.ok()?;
        site.record
            .say("all frontends are in rotation, all targets are registered");
        Some(site)
    }

    pub fn frontend_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base, FRONTEND_NET, index as u8 + 1)
    }

    /// Writes an entry as the operator; the return is the acknowledgement.
    pub fn write(&self, key: &str, value: &str) {
        self.store.put(key, value);
        self.record.line(&format!("operator writes {key} {value}"));
        println!("operator writes {key}");
    }

    /// Empties a target and takes it away, as planned work: it drains, goes on for a while, deregisters and exits; its
    /// node gets SIGTERM then.
    pub async fn scale_in(&mut self, index: usize, lasting: Duration) {
        let Some(server) = self.servers[index].take() else {
            return;
        };
        server.drain().await;
        sleep(lasting).await;
        server.leave().await;
        self.record.line(&format!("target {} has left", index + 1));
        self.agents[index].stop(&self.record).await;
    }

    /// Removes an entry as the operator.
    pub fn take_back(&self, key: &str) {
        self.store.remove(key);
        self.record.line(&format!("operator removes {key}"));
        println!("operator removes {key}");
    }

    /// Stops a frontend's process as planned work.
    pub async fn stop_frontend(&mut self, index: usize) {
        self.frontends[index].stop(&self.record).await;
    }

    /// Starts a frontend's process again; returns whether it is in rotation in time.
    pub async fn start_frontend(&mut self, index: usize) -> bool {
        self.frontends[index].start(&self.record);
        let ready = async {
            while !self.router.is_in_rotation(index) {
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.is_ok()
    }

    /// Returns the revision of the store.
    pub async fn revision(&self) -> u64 {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let read = async {
            let mut stream = TcpStream::connect(self.store.address()).await.ok()?;
            let request = "GET /carobdrum/kv-range?Prefix=none/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut response = String::new();
            stream.read_to_string(&mut response).await.ok()?;
            let (_, rest) = response.split_once("\"StoreRevision\":")?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        read.await.unwrap_or_default()
    }

    /// Returns whether a process has ended by itself.
    pub fn has_crash(&mut self) -> bool {
        let mut processes = self.frontends.iter_mut().chain(&mut self.agents);
        processes.any(Process::has_exited)
    }

    /// Copies the lines of the processes' logs that contain any of these words to the record.
    pub fn keep_logs(&self, words: &[&str]) {
        for process in self.frontends.iter().chain(&self.agents) {
            let text = fs::read_to_string(&process.log).unwrap_or_default();
            for line in text.lines() {
                if words.iter().any(|word| line.contains(word)) {
                    self.record
                        .line(&format!("log of {}: {line}", process.name));
                }
            }
        }
    }
}

/// Claims a range of loopback addresses that no other run uses.
fn claim_range() -> (u8, TcpListener) {
    let start = std::process::id() % 150;
    let is_free = |base: u8| {
        let at = |net, port| (Ipv4Addr::new(127, base, net, 1), port);
        let addresses = [at(FRONTEND_NET, READY_PORT), at(SIDE_NET, APP_PORT)];
        let mut addresses = addresses.into_iter();
        addresses.all(|address| TcpListener::bind(address).is_ok())
    };
    (0..150)
        .map(|step| (50 + (start + step) % 150) as u8)
        .filter(|base| is_free(*base))
        .find_map(|base| {
            let claim = TcpListener::bind((Ipv4Addr::new(127, base, 0, 1), 7_000)).ok()?;
            Some((base, claim))
        })
        .expect("a range of loopback addresses is free")
}
