//! The processes, servers and the store of a soak test.

use std::{
    collections::VecDeque,
    fs::{
        self,
        File, //
    },
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use carobdrum_platform_standins::{
    FlowServerSettings,
    LeaseServer,
    ServerLog,
    StoreCopy,
    StoreMode, //
};
use carobdrum_standins::LoopbackRange;
use rand::{
    rngs::SmallRng,
    Rng, //
};
use tempfile::TempDir;
use tokio::time::{
    sleep,
    sleep_until,
    Instant, //
};

use crate::soak_server::SoakServer;

pub(crate) const PACKETS_PORT: u16 = 8_172;
pub(crate) const READY_PORT: u16 = 8_167;
pub(crate) const PEER_PORT: u16 = 7_720;
const OUTGOING_PORT: u16 = 8_162;
const SERVER_PORT: u16 = 8_165;
const HEARTBEAT_PORT: u16 = 8_166;

pub(crate) const SERVICE: &str = "lookup";
/// Route of the urgent requests, and one of less urgent ones to the same service.
pub(crate) const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
pub(crate) const BULK_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);
pub(crate) const BALANCERS: u8 = 3;
pub(crate) const AGENTS: u8 = 4;

/// Table of optional features in the settings of all processes.
pub(crate) const FLOW_OPTIONS: &str =
    "[flows]\nreset_lost = true\nsave_flows_s = 1\nschedule_requests = true\nweigh_servers = true\n";

/// Interval at which the replacement of servers goes on after the last fault.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Third octets of the addresses of balancers and agents.
pub(crate) const BALANCER_NET: u8 = 1;
pub(crate) const AGENT_NET: u8 = 2;

/// What the processes and servers of a run differ in from those of other runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteTerms {
    /// Table of optional features in the settings, or an empty text.
    pub(crate) options: &'static str,
    /// Time that servers work on a request.
    pub(crate) work: Duration,
}

/// A loss of power at all VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PowerLoss {
    pub(crate) began: Instant,
    /// When the last process and server started again.
    pub(crate) ended: Instant,
}

/// A platform role that runs as a process.
pub(crate) struct SoakProcess {
    role: &'static str,
    settings: String,
    child: Option<Child>,
}

/// All processes and servers, and the store.
pub(crate) struct SoakSite {
    pub(crate) store: LeaseServer,
    pub(crate) processes: Vec<SoakProcess>,
    /// Servers in the order of their agents, which are the last processes.
    pub(crate) servers: Vec<SoakServer>,
    pub(crate) log: ServerLog,
    pub(crate) losses: Vec<PowerLoss>,
    /// Copies of the store, the oldest first.
    pub(crate) copies: VecDeque<StoreCopy>,
    terms: SiteTerms,
    /// Last version of the configuration that the operator has written.
    pub(crate) version: u64,
    folder: TempDir,
    /// Declared last, so that it is free only when nothing listens in it any more.
    range: LoopbackRange,
}

impl SoakProcess {
    /// Starts the process, unless it is running. Its settings and log are kept in `folder`.
    fn start(&mut self, folder: &TempDir, index: usize) {
        if self.child.is_some() {
            return;
        }
        let path = folder.path().join(format!("{index}.toml"));
        fs::write(&path, &self.settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.path().join(format!("{index}.log")))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_carobdrum"))
            .args(["platform", self.role, "--settings"])
            .arg(&path)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            let pid = i32::try_from(child.id()).unwrap();
            // SAFETY: the process is a child that has not been waited for.
            unsafe { libc::kill(pid, signal) };
        }
    }

    /// Waits until a process that was sent a signal to terminate has exited.
    fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Waiting for a child can only fail if it is interrupted by a signal.
            let _ = child.wait();
        }
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.signal(libc::SIGKILL);
        self.wait();
    }
}

impl SoakSite {
    /// Starts the store, the servers and all processes.
    pub(crate) async fn start(seed: u64, terms: SiteTerms) -> SoakSite {
        // Processes of runs with the same seed have the same addresses, unless another test has them.
        let range = LoopbackRange::claim(20 + (seed % 200) as u8).unwrap();
        let base = range.octet();
        let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
        let mut site = SoakSite {
            processes: Vec::new(),
            servers: Vec::new(),
            log: ServerLog::default(),
            losses: Vec::new(),
            copies: VecDeque::new(),
            terms,
            version: 0,
            folder: TempDir::new().unwrap(),
            store,
            range,
        };
        site.change_config();
        for number in 1..=BALANCERS {
            let ip = Ipv4Addr::new(127, base, BALANCER_NET, number);
            let settings = site.node_settings(ip, number, "balancer");
            site.add("balancer", settings);
        }
        for number in 1..=AGENTS {
            let ip = Ipv4Addr::new(127, base, AGENT_NET, number);
            let address = |port| SocketAddrV4::new(ip, port);
            let server = FlowServerSettings {
                address: address(SERVER_PORT),
                outgoing: address(OUTGOING_PORT),
                heartbeats: address(HEARTBEAT_PORT),
                service: SERVICE.into(),
                number: u32::from(number),
                work: terms.work,
            };
            let backend = format!(
                "[backend]\naddress = '{}'\nservice = '{SERVICE}'\noutgoing = '{}'\n\
                 heartbeats = '{}'\nreuse_s = '2'\n",
                server.address, server.outgoing, server.heartbeats
            );
            let server = SoakServer::start(server, &site.log).await;
            site.servers.push(server);
            let settings = site.node_settings(ip, number, "agent") + &backend;
            site.add("agent", settings);
        }
        site
    }

    /// Returns the second octet of all addresses of the run.
    pub(crate) fn base_octet(&self) -> u8 {
        self.range.octet()
    }

    fn add(&mut self, role: &'static str, settings: String) {
        self.processes.push(SoakProcess {
            role,
            settings,
            child: None,
        });
        self.start_all();
    }

    fn node_settings(&self, ip: Ipv4Addr, number: u8, role: &str) -> String {
        let centre = ["north", "south"][usize::from(number) % 2];
        let base = ip.octets()[1];
        let peer = Ipv4Addr::new(127, base, BALANCER_NET, number % BALANCERS + 1);
        format!(
            "[node]\nname = '{role}-{number}'\ndata_centre = '{centre}'\nip = '{ip}'\n\
             peer_port = {PEER_PORT}\npackets = '{ip}:{PACKETS_PORT}'\n\
             ready = '{ip}:{READY_PORT}'\ngrace_s = '4'\npeers = ['{peer}:1']\n\
             [store]\naddress = '{}'\nmin_lease_ms = 1000\n{}",
            self.store.address(),
            self.terms.options
        )
    }

    /// Starts the processes that aren't running.
    pub(crate) fn start_all(&mut self) {
        for (index, process) in self.processes.iter_mut().enumerate() {
            process.start(&self.folder, index);
        }
    }

    /// Returns the index of a random agent among the processes.
    pub(crate) fn draw_agent(&self, random: &mut SmallRng) -> usize {
        random.random_range(usize::from(BALANCERS)..self.processes.len())
    }

    /// Sends a process a signal to terminate and waits until it has exited.
    pub(crate) async fn stop(&mut self, index: usize, signal: i32) {
        self.processes[index].signal(signal);
        // A paused process handles the signal only after it is resumed.
        self.processes[index].signal(libc::SIGCONT);
        let mut child = self.processes[index].child.take();
        let ended = tokio::task::spawn_blocking(move || {
            if let Some(child) = &mut child {
                // Waiting for a child can only fail if it is interrupted by a signal.
                let _ = child.wait();
            }
        });
        ended.await.unwrap();
    }

    /// Kills all processes and servers at once, and starts each one again after its delay in `delays`: first
    /// those of the processes, then those of the servers.
    pub(crate) async fn lose_power(&mut self, delays: &[Duration]) {
        let began = Instant::now();
        for process in &self.processes {
            process.signal(libc::SIGKILL);
        }
        for server in &mut self.servers {
            server.kill().await;
        }
        for process in &mut self.processes {
            process.wait();
        }
        let mut order: Vec<_> = delays.iter().copied().enumerate().collect();
        order.sort_by_key(|(_, delay)| *delay);
        for (index, delay) in order {
            sleep_until(began + delay).await;
            if let Some(process) = self.processes.get_mut(index) {
                process.start(&self.folder, index);
            } else {
                self.servers[index - self.processes.len()]
                    .restart(&self.log)
                    .await;
            }
        }
        self.losses.push(PowerLoss {
            began,
            ended: Instant::now(),
        });
    }

    /// Writes the next version of the configuration to the store.
    pub(crate) fn change_config(&mut self) {
        self.version += 1;
        let route = |name, address: SocketAddrV4, priority| {
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Service\":\"{SERVICE}\",\
                 \"Priority\":{priority},\"LatencyObjectiveMs\":500}}",
                address.ip(),
                address.port()
            )
        };
        let config = format!(
            "{{\"Version\":{},\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"{SERVICE}\"}}],\
             \"Limits\":{{}}}}",
            self.version,
            route("r", ROUTE, 1),
            route("bulk", BULK_ROUTE, 2)
        );
        self.store.put("op/config", &config);
    }

    /// Begins the planned replacement of a server, one at a time: with a data centre evacuated, the
    /// others still serve.
    pub(crate) fn drain_server(&mut self, number: usize) {
        if self.servers.iter().all(SoakServer::is_ready) {
            self.servers[number].drain();
        }
    }

    /// Ends the servers that have drained, with their agents, and starts new ones at their addresses.
    pub(crate) async fn replace_servers(&mut self) {
        for number in 0..self.servers.len() {
            let now = Instant::now();
            if self.servers[number].is_drained(now) {
                let agent = usize::from(BALANCERS) + number;
                self.servers[number].deregister().await;
                self.processes[agent].signal(libc::SIGTERM);
                self.servers[number].end().await;
                self.stop(agent, libc::SIGTERM).await;
            }
            if self.servers[number].is_startable(now) {
                self.servers[number].restart(&self.log).await;
            }
        }
    }

    /// Ends all faults and starts the processes that aren't running.
    pub(crate) async fn end_faults(&mut self) {
        self.store.set_mode(StoreMode::Open);
        self.store.set_watches_paused(false);
        self.store.remove("op/evacuate/north");
        for process in &self.processes {
            process.signal(libc::SIGCONT);
        }
        while !self.servers.iter().all(SoakServer::is_ready) {
            self.replace_servers().await;
            sleep(REPLACEMENT_INTERVAL).await;
        }
        self.start_all();
    }

    /// Returns the requests that were run more than once, at one server or several.
    pub(crate) fn repeated_runs(&self) -> Vec<String> {
        let mut runs = self.log.requests.lock().unwrap().clone();
        runs.sort();
        let repeated = runs.windows(2).filter(|pair| pair[0] == pair[1]);
        repeated
            .map(|pair| String::from_utf8_lossy(&pair[0]).into_owned())
            .collect()
    }
}
