//! A small deployment: the project's programs as processes, with stand-ins around them.

use std::{
    collections::HashMap,
    fs,
    io::Write,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use tokio::time::{sleep, Instant};

use crate::{
    caller::{is_ready, Caller, Entry, Router},
    record::Record,
    server::{random, Server, ServerLog, ServerSettings},
    store::Store,
};

/// Time within which the site has to come up.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Ports, which are the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    datagram: u16,
    ready: u16,
    control: u16,
    outbound: u16,
    app: u16,
    internal: u16,
    metrics: u16,
}

/// A process of the system.
struct Node {
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// A small deployment.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub log: ServerLog,
    network: [u8; 2],
    ports: Ports,
    folder: PathBuf,
    binary: PathBuf,
    nodes: HashMap<String, Node>,
    entries: Vec<Entry>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in self.nodes.values_mut() {
            if let Some(child) = &mut node.child {
                // The process may have ended.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Site {
    /// Starts the store. Files of the processes go to `folder`.
    pub async fn new(record: Record, folder: &Path, binary: &Path) -> std::io::Result<Site> {
        let network = [64 + (random() % 128) as u8, random() as u8];
        let store = Store::start(address(network, 1)).await?;
        Ok(Site {
            record,
            store,
            log: ServerLog::default(),
            network,
            ports: free_ports(network),
            folder: folder.to_owned(),
            binary: binary.to_owned(),
            nodes: HashMap::new(),
            entries: Vec::new(),
        })
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        address(self.network, host)
    }

    /// Starts entry node number `number`, from 0.
    pub fn start_balancer(&mut self, number: u8, zone: &str) {
        let ip = self.ip(10 + number);
        let ports = self.ports;
        let entry = Entry {
            packets: SocketAddrV4::new(ip, ports.datagram),
            ready: SocketAddrV4::new(ip, ports.ready),
        };
        self.entries.push(entry);
        let settings = self.common_settings(&format!("frontend-{number}"), ip, zone);
        self.start_node(format!("frontend-{number}"), "balancer", settings);
    }

    /// Starts the node beside target number `number`, from 0.
    pub fn start_agent(&mut self, number: u8, zone: &str, service: &str) {
        let ip = self.ip(30 + number);
        let ports = self.ports;
        let name = format!("side-{number}");
        let mut settings = self.common_settings(&name, ip, zone);
        settings += &format!(
            "[backend]\naddress = \"{ip}:{}\"\nservice = \"{service}\"\noutgoing = \"{ip}:{}\"\n\
             heartbeats = \"{ip}:{}\"\nreuse_s = \"2\"\ncold_factor = \"1.5\"\ncold_slack = \"5\"\n",
            ports.app, ports.outbound, ports.control
        );
        self.start_node(name, "agent", settings);
    }

    /// Returns what the template of the platform's settings renders for any node.
    fn common_settings(&self, name: &str, ip: Ipv4Addr, zone: &str) -> String {
        let ports = self.ports;
        let seeds = [10, 11].map(|host| format!("\"{}:{}\"", self.ip(host), ports.control));
        format!(
            "[flows]\nreset_lost = true\nschedule_requests = true\nweigh_servers = true\nsave_flows_s = 4\n\
             [node]\nname = \"{name}\"\ndata_centre = \"{zone}\"\nip = \"{ip}\"\npeer_port = {}\n\
             packets = \"{ip}:{}\"\nready = \"{ip}:{}\"\ngrace_s = \"6\"\nflow_lifetime_s = \"60\"\n\
             metrics = \"{ip}:{}\"\npeers = [{}]\n[store]\naddress = \"{}\"\nmin_lease_ms = 1000\n",
            ports.internal,
            ports.datagram,
            ports.ready,
            ports.metrics,
            seeds.join(","),
            self.store.address
        )
    }

    fn start_node(&mut self, name: String, role: &'static str, settings: String) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings not written");
        let node = Node {
            role,
            settings: path,
            child: None,
        };
        self.nodes.insert(name.clone(), node);
        self.restart(&name);
    }

    /// Starts the process of a node again, with the settings that it had.
    pub fn restart(&mut self, name: &str) {
        let log = append_to(&self.folder.join(format!("{name}.log")));
        let node = self.nodes.get_mut(name).expect("unknown node");
        let child = Command::new(&self.binary)
            .args(["platform", node.role, "--settings"])
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("no log file"))
            .stdout(log)
            .spawn()
            .expect("process not started");
        let mut pids = append_to(&self.folder.join("pids"));
        writeln!(pids, "{}", child.id()).expect("pid not written");
        node.child = Some(child);
        self.record.line(format!("node {name} started"));
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).expect("unknown node");
        let mut child = node.child.take().expect("node has no process");
        child.kill().expect("process not killed");
        child.wait().expect("process not waited for");
        self.record.line(format!("node {name} killed"));
    }

    /// Kills the processes of all nodes at the same moment.
    pub fn kill_all(&mut self) {
        let mut children: Vec<Child> = Vec::new();
        for node in self.nodes.values_mut() {
            children.extend(node.child.take());
        }
        for child in &mut children {
            child.kill().expect("process not killed");
        }
        for child in &mut children {
            child.wait().expect("process not waited for");
        }
        self.record
            .line(format!("all {} nodes killed", children.len()));
    }

    /// Starts the processes of all nodes again.
    pub fn restart_all(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            self.restart(&name);
        }
    }

    /// Returns the names of the nodes whose processes have ended by themselves.
    pub fn ended_nodes(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, node) in &mut self.nodes {
            let child = node.child.as_mut();
            if child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                ended.push(name.clone());
            }
        }
        ended
    }

    /// Returns the settings of target number `number`.
    pub fn server_settings(&self, number: u8, zone: &str, service: &str) -> ServerSettings {
        let ip = self.ip(30 + number);
        ServerSettings {
            id: format!("i-{number}-{:08x}", random()),
            service: service.to_owned(),
            zone: zone.to_owned(),
            app: SocketAddrV4::new(ip, self.ports.app),
            outbound: SocketAddrV4::new(ip, self.ports.outbound),
            control: SocketAddrV4::new(ip, self.ports.control),
            slots: 7,
            beat: Duration::from_millis(1_200),
        }
    }

    /// Starts target number `number` beside its node.
    pub async fn start_server(&self, settings: ServerSettings) -> std::io::Result<Server> {
        Server::start(settings, self.log.clone(), self.record.clone()).await
    }

    /// Starts routers and a client, and waits until all entry nodes are ready.
    pub async fn start_caller(&self, number: u8) -> std::io::Result<Arc<Caller>> {
        let router = Router::start(self.entries.clone());
        let limit = Instant::now() + START_LIMIT;
        while !router.has_all() {
            if Instant::now() >= limit {
                return Err(std::io::Error::other(
                    "the entry nodes aren't ready in time",
                ));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Caller::start(
            self.ip(100 + number),
            self.ports.datagram,
            router,
            self.record.clone(),
        )
        .await
    }

    /// Waits until the node beside a target is ready.
    pub async fn wait_for_agent(&self, number: u8) -> std::io::Result<()> {
        let address = SocketAddrV4::new(self.ip(30 + number), self.ports.ready);
        let limit = Instant::now() + START_LIMIT;
        while !is_ready(address).await {
            if Instant::now() >= limit {
                return Err(std::io::Error::other("the node isn't ready in time"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}

fn append_to(path: &Path) -> fs::File {
    let mut options = fs::OpenOptions::new();
    options
        .create(true)
        .append(true)
        .open(path)
        .expect("file not opened")
}

fn address(network: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, network[0], network[1], host)
}

/// Returns ports that are free on a machine of this network, and so on all.
fn free_ports(network: [u8; 2]) -> Ports {
    let ip = address(network, 10);
    let is_free =
        |port: u16| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
    loop {
        let first = 12_000 + (random() % 18_000) as u16;
        if (first..first + 7).all(is_free) {
            return Ports {
                datagram: first,
                ready: first + 1,
                control: first + 2,
                outbound: first + 3,
                app: first + 4,
                internal: first + 5,
                metrics: first + 6,
            };
        }
    }
}
