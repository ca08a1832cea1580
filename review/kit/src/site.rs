//! A small deployment: the project's processes, with the stand-ins around them.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    callers::{Callers, Load, Router},
    log::CaseLog,
    server::{Server, ServerSettings},
    store::Store,
    system::{signal, SIGCONT, SIGKILL},
};

const PACKETS_PORT: u16 = 8_172;
const READY_PORT: u16 = 8_167;
const PEER_PORT: u16 = 7_720;
const OUTGOING_PORT: u16 = 8_162;
const SERVER_PORT: u16 = 8_165;
const HEARTBEAT_PORT: u16 = 8_166;
const STORE_PORT: u16 = 8_169;

/// Heartbeat interval of the targets.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(770);

/// Time limit for the deployment to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Reason for which a case can't run.
pub type CaseError = Box<dyn std::error::Error>;

/// One of the project's processes.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    zone: String,
    service: String,
    settings: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            signal(child.id(), SIGKILL);
            signal(child.id(), SIGCONT);
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            signal(child.id(), number);
        }
    }

    /// Returns whether the process has ended by itself.
    fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Site {
    pub log: CaseLog,
    pub store: Store,
    pub router: Router,
    pub balancers: Vec<Node>,
    pub agents: Vec<Node>,
    program: PathBuf,
    folder: PathBuf,
    base: u8,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.balancers.clear();
        self.agents.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the second octet of a block of loopback addresses whose ports are free.
fn free_base() -> Option<u8> {
    let first = std::process::id();
    (0..40)
        .map(|step| 20 + ((first + step * 7) % 200) as u8)
        .find(|base| {
            let ip = Ipv4Addr::new(127, *base, 200, 1);
            UdpSocket::bind((ip, STORE_PORT)).is_ok()
                && std::net::TcpListener::bind((ip, STORE_PORT)).is_ok()
        })
}

impl Site {
    /// Starts the store with a configuration; no process runs yet.
    pub fn start(root: &Path, config: &str) -> Result<Site, CaseError> {
        let program = root.join("target/release/carobdrum");
        if !program.is_file() {
            return Err("the program isn't built".into());
        }
        let base = free_base().ok_or("no free addresses")?;
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(SocketAddrV4::new(
            Ipv4Addr::new(127, base, 200, 1),
            STORE_PORT,
        ))?;
        store.put("op/config", config);
        let router = Router::default();
        Ok(Site {
            log: CaseLog::new(),
            store,
            router,
            balancers: Vec::new(),
            agents: Vec::new(),
            program,
            folder,
            base,
        })
    }

    /// Starts a balancer in `zone`, and adds it to the routers.
    pub fn add_balancer(&mut self, zone: &str) -> Result<(), CaseError> {
        let number = self.balancers.len() as u8 + 1;
        let ip = Ipv4Addr::new(127, self.base, 1, number);
        let mut node = self.node(format!("balancer-{number}"), ip, "balancer", zone, "");
        self.launch(&mut node)?;
        self.balancers.push(node);
        let at = |port| SocketAddrV4::new(ip, port);
        self.router.add(zone, at(PACKETS_PORT), at(READY_PORT));
        Ok(())
    }

    /// Starts an agent in `zone` for a server of `service`, and returns its index.
    pub fn add_agent(&mut self, zone: &str, service: &str) -> Result<usize, CaseError> {
        let index = self.agents.len();
        let ip = Ipv4Addr::new(127, self.base, 2, index as u8 + 1);
        let mut node = self.node(format!("agent-{}", index + 1), ip, "agent", zone, service);
        self.launch(&mut node)?;
        self.agents.push(node);
        Ok(index)
    }

    fn node(
        &self,
        name: String,
        ip: Ipv4Addr,
        role: &'static str,
        zone: &str,
        service: &str,
    ) -> Node {
        let settings = self.folder.join(format!("{name}.toml"));
        Node {
            name,
            ip,
            role,
            zone: zone.into(),
            service: service.into(),
            settings,
            child: None,
        }
    }

    /// Writes the settings as the platform renders them from the template.
    fn write_settings(&self, node: &Node) -> std::io::Result<()> {
        let ip = node.ip;
        let seeds: Vec<String> = (1..=3)
            .map(|number| format!("\"127.{}.1.{number}:{HEARTBEAT_PORT}\"", self.base))
            .collect();
        let mut text = format!(
            "[node]\nname = \"{}\"\ndata_centre = \"{}\"\nip = \"{ip}\"\npeer_port = {PEER_PORT}\n\
             packets = \"{ip}:{PACKETS_PORT}\"\nready = \"{ip}:{READY_PORT}\"\ngrace_s = \"6\"\n\
             flow_lifetime_s = \"60\"\nmetrics = \"{ip}:9464\"\npeers = [{}]\n\
             [store]\naddress = \"{}\"\nmin_lease_ms = 1000\n",
            node.name,
            node.zone,
            seeds.join(","),
            self.store.address(),
        );
        if node.role == "agent" {
            text += &format!(
                "[backend]\naddress = \"{ip}:{SERVER_PORT}\"\nservice = \"{}\"\n\
                 outgoing = \"{ip}:{OUTGOING_PORT}\"\nheartbeats = \"{ip}:{HEARTBEAT_PORT}\"\n\
                 reuse_s = \"2\"\ncold_factor = \"1.5\"\ncold_slack = \"5\"\n",
                node.service
            );
        }
        // The file is replaced as a whole, so that the process never reads a part of it.
        let part = node.settings.with_extension("part");
        fs::write(&part, text)?;
        fs::rename(part, &node.settings)
    }

    fn launch(&self, node: &mut Node) -> Result<(), CaseError> {
        self.write_settings(node)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(node.settings.with_extension("log"))?;
        let child = Command::new(&self.program)
            .args(["platform", node.role, "--settings"])
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        node.child = Some(child);
        Ok(())
    }

    /// Starts the process of an agent again.
    pub fn restart_agent(&mut self, index: usize) -> Result<(), CaseError> {
        let mut node = self.agents.remove(index);
        let launched = self.launch(&mut node);
        self.agents.insert(index, node);
        launched
    }

    /// Changes the service in the settings file of an agent.
    pub fn change_service(&mut self, index: usize, service: &str) -> Result<(), CaseError> {
        self.agents[index].service = service.into();
        self.write_settings(&self.agents[index])?;
        Ok(())
    }

    /// Returns the settings of a target beside an agent.
    pub fn server_settings(&self, index: usize, id: &str) -> ServerSettings {
        let agent = &self.agents[index];
        let at = |port| SocketAddrV4::new(agent.ip, port);
        ServerSettings {
            name: format!("server-{}-{id}", index + 1),
            id: format!("i-{}-{id}", index + 1),
            service: agent.service.clone(),
            zone: agent.zone.clone(),
            address: at(SERVER_PORT),
            outgoing: at(OUTGOING_PORT),
            heartbeats: at(HEARTBEAT_PORT),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            first_heartbeat: Duration::ZERO,
            slots: 7,
            work: Duration::from_millis(40),
            clock_ahead_ms: 0,
        }
    }

    /// Starts a target.
    pub fn start_server(
        &self,
        settings: ServerSettings,
        cold: Duration,
    ) -> Result<Server, CaseError> {
        Ok(Server::start(settings, cold, self.log.clone())?)
    }

    /// Starts callers in `zone`.
    pub fn start_callers(
        &self,
        zone: &str,
        number: u8,
        loads: Vec<Load>,
    ) -> Result<Callers, CaseError> {
        let ip = Ipv4Addr::new(127, self.base, 9, number);
        let (router, log) = (self.router.clone(), self.log.clone());
        Ok(Callers::start(zone, ip, PACKETS_PORT, loads, router, log)?)
    }

    /// Waits until all balancers are in rotation and `agents` agents have their entry.
    pub fn wait_until_ready(&self, agents: usize) -> Result<(), CaseError> {
        let due = Instant::now() + START_TIMEOUT;
        while self.router.ready() < self.balancers.len() || self.store.count("agents/") < agents {
            if Instant::now() > due {
                return Err("the deployment isn't ready in time".into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.log.note("the deployment is ready");
        Ok(())
    }

    /// Returns the names of processes that have ended by themselves.
    pub fn ended_processes(&mut self) -> Vec<String> {
        let nodes = self.balancers.iter_mut().chain(&mut self.agents);
        nodes
            .filter_map(|node| node.has_ended().then(|| node.name.clone()))
            .collect()
    }
}

/// Sleeps for a number of milliseconds.
pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
