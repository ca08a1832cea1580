//! A deployment on loopback whose daemons are separate processes.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4, //
    },
    path::PathBuf,
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_caller::{
    CallerClient,
    ClientBuilder,
    LoadBuilder,
    LoadReport,
    LoadRun,
    RequestMix, //
};
use carobdrum_core::version::CentreState;
use carobdrum_settings::{
    AgentSettings,
    BalancerSettings,
    HedgeSettings,
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};
use carobdrum_standins::{
    body_chunk,
    BackendServer,
    BackendSettings,
    FabricRelay,
    RelaySettings,
    ServiceTime,
    StoreServer, //
};
use carobdrum_store::{
    ApplyOutcome,
    StoreClient,
    TableEdit, //
};
use tempfile::TempDir;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use crate::child_process::ChildProcess;

/// Data centres of the site; tests evacuate the second one.
pub(crate) const CENTRES: [&str; 2] = ["galway-a", "galway-b"];
/// Time limit for the site to reach a state.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

const SERVER_NAME: &str = "placename-api.test";
const DEPLOYMENT: &str = "faults";
const SERVICE_PORT: u16 = 4433;
const PROCESS_PORT: u16 = 7000;
const METRICS_PORT: u16 = 9100;
/// Number of addresses per site, of the 256 with the same first three octets.
const ADDRESSES_PER_SITE: u8 = 25;

/// A daemon of the site.
pub(crate) struct SiteDaemon {
    /// IP address of all ports of the daemon.
    pub(crate) ip: Ipv4Addr,
    pub(crate) process: ChildProcess,
    prefix: &'static str,
}

/// A deployment: store, fabric and backend servers in the test process, daemons in processes of
/// their own.
pub(crate) struct ProcessSite {
    /// Number of the test, which determines its addresses.
    number: u8,
    /// Declared before the stand-ins, so that the daemons are stopped before what they use.
    pub(crate) balancers: Vec<SiteDaemon>,
    pub(crate) agents: Vec<SiteDaemon>,
    pub(crate) store: StoreServer,
    pub(crate) fabric: FabricRelay,
    pub(crate) servers: Vec<BackendServer>,
    files: TempDir,
}

impl ProcessSite {
    /// Starts a site with three balancers and `servers` backend servers, which alternate between
    /// the data centres, and waits until every balancer knows every server.
    pub(crate) async fn start(number: u8, servers: usize) -> ProcessSite {
        let store = StoreServer::start((Ipv4Addr::LOCALHOST, 0).into()).await;
        let service = service_address(number);
        let fabric = FabricRelay::start(RelaySettings::new([service], []).seed(number.into()));
        let mut site = ProcessSite {
            number,
            balancers: Vec::new(),
            agents: Vec::new(),
            store: store.expect("cannot start the store"),
            fabric: fabric.expect("cannot start the fabric relay"),
            servers: Vec::new(),
            files: write_files(),
        };
        site.apply(CentreState::In).await;
        for _ in 0..3 {
            site.add_balancer(site.store.address(), Vec::new());
        }
        site.fabric.set_balancers(site.balancer_ips());
        for index in 0..servers {
            let settings = BackendSettings::new(server_name(index), "placename-api", 8)
                .service_time(ServiceTime::Exponential(Duration::from_millis(3)));
            let server = BackendServer::start(settings).await;
            site.servers
                .push(server.expect("cannot start the backend server"));
            site.add_agent(index);
        }
        site.wait_for_targets(servers).await;
        site
    }

    /// Starts a balancer in the first data centre and returns its index; it isn't added to the
    /// fabric.
    pub(crate) fn add_balancer(
        &mut self,
        store: SocketAddr,
        bootstrap: Vec<SocketAddrV4>,
    ) -> usize {
        let index = self.balancers.len();
        let ip = site_ip(self.number, 2 + index as u8);
        let name = format!("balancer-{index}");
        let settings = BalancerSettings {
            process: self.process_settings(&name, CENTRES[0], ip, bootstrap),
            store: store_settings(store),
            log: LogSettings::default(),
            listen_ip: Some(ip),
            threads: 1,
        };
        let text = toml::to_string(&settings).expect("cannot serialise the settings");
        let daemon = self.spawn("balancer", &name, ip, &text);
        self.balancers.push(daemon);
        index
    }

    /// Starts an agent for server `index`, with all balancers as bootstrap addresses.
    pub(crate) fn add_agent(&mut self, index: usize) {
        let ip = site_ip(self.number, 14 + self.agents.len() as u8);
        let name = server_name(index);
        let centre = CENTRES[index % CENTRES.len()];
        let settings = AgentSettings {
            process: self.process_settings(&name, centre, ip, self.bootstrap()),
            store: store_settings(self.store.address()),
            log: LogSettings::default(),
            server: self.servers[index].address(),
            certificate_file: self.file("certificate.pem"),
            key_file: self.file("key.pem"),
            drain_timeout_ms: 10_000,
            hedging: HedgeSettings::default(),
        };
        let text = toml::to_string(&settings).expect("cannot serialise the settings");
        let file_name = format!("{name}-{ip}");
        let daemon = self.spawn("agent", &file_name, ip, &text);
        self.agents.push(daemon);
    }

    /// Returns the control addresses of all balancers.
    pub(crate) fn bootstrap(&self) -> Vec<SocketAddrV4> {
        let ips = self.balancer_ips();
        ips.map(|ip| SocketAddrV4::new(ip, PROCESS_PORT)).collect()
    }

    /// Returns the IP addresses of all balancers.
    pub(crate) fn balancer_ips(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.balancers.iter().map(|balancer| balancer.ip)
    }

    /// Applies a version with the second data centre in `state`, and returns its number.
    pub(crate) async fn apply(&self, state: CentreState) -> u32 {
        let service = service_address(self.number);
        let routes =
            format!("[[route]]\nname = 'all'\nservice = 'placename-api'\naddress = '{service}'\n");
        let state = match state {
            CentreState::In => "in",
            CentreState::Out => "out",
        };
        let pools = format!(
            "[[pool]]\nservice = 'placename-api'\nservers = ['placename-api-*']\nslots = 8\n\
             connections = 2000\n[[data_centre]]\nname = '{}'\n[[data_centre]]\nname = '{}'\n\
             state = '{state}'\n",
            CENTRES[0], CENTRES[1],
        );
        let routes = toml::from_str(&routes).expect("malformed routes");
        let pools = toml::from_str(&pools).expect("malformed pools");
        let client = StoreClient::new(self.store.address(), DEPLOYMENT);
        let current = client
            .read_version()
            .await
            .expect("cannot read the version");
        let base = current.map_or(0, |current| current.version.number);
        let edit = TableEdit::new(base, routes, pools);
        match client
            .apply_version(edit)
            .await
            .expect("cannot apply the edit")
        {
            ApplyOutcome::Applied(version) => version.number,
            ApplyOutcome::Refused(report) => panic!("edit refused: {report:?}"),
        }
    }

    /// Waits until every balancer has `count` targets for new flows.
    pub(crate) async fn wait_for_targets(&self, count: usize) {
        for balancer in &self.balancers {
            balancer
                .wait_for_metric("targets", |found| found == count as f64)
                .await;
        }
    }

    /// Returns a load that runs until it is cancelled, but at most for 30 s.
    pub(crate) fn load(&self) -> LoadBuilder {
        let service = service_address(self.number).into();
        LoadRun::builder(self.client(), service, body_chunk)
            .duration(Duration::from_secs(30))
            .flows(12)
            .max_concurrent(12)
            .timeout(Duration::from_secs(10))
            .large_len(2 << 20)
            .request_mix(RequestMix {
                small: 2,
                large: 2,
                echo: 1,
                record: 1,
            })
            .seed(self.number.into())
    }

    /// Returns a client that trusts the site's certificate.
    pub(crate) fn client(&self) -> ClientBuilder {
        let pem = std::fs::read(self.certificate_file()).expect("cannot read the certificate");
        let client = CallerClient::builder(SERVER_NAME).root_pem(pem);
        client.expect("cannot build the client")
    }

    /// Returns the path of the site's certificate.
    pub(crate) fn certificate_file(&self) -> PathBuf {
        self.file("certificate.pem")
    }

    /// Returns the service address, to which callers connect.
    pub(crate) fn service(&self) -> SocketAddr {
        service_address(self.number).into()
    }

    /// Checks that each recorded request with a response ran, and that none ran more than once or
    /// without one, except those of unknown outcome.
    pub(crate) fn check_runs(&self, report: &LoadReport) {
        let runs: Vec<_> = self.servers.iter().flat_map(BackendServer::runs).collect();
        let repeated = runs.iter().filter(|entry| entry.runs != 1).count();
        assert_eq!(
            repeated, 0,
            "requests ran more than once at a server: {report:?}"
        );
        let mut names: Vec<_> = runs.iter().map(|entry| entry.identity.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(
            names.len(),
            runs.len(),
            "requests ran at more than one server"
        );
        let expected = report.recorded..=report.recorded + report.unknown;
        assert!(
            expected.contains(&(names.len() as u64)),
            "{} requests ran: {report:?}",
            names.len()
        );
        assert!(report.recorded > 0, "no request was recorded");
    }

    fn spawn(&self, role: &'static str, name: &str, ip: Ipv4Addr, settings: &str) -> SiteDaemon {
        let path = self.file(&format!("{name}.toml"));
        std::fs::write(&path, settings).expect("cannot write the settings file");
        let log = self.file(&format!("{name}.log"));
        SiteDaemon {
            ip,
            process: ChildProcess::spawn(role, &path, log),
            prefix: role,
        }
    }

    fn process_settings(
        &self,
        name: &str,
        centre: &str,
        ip: Ipv4Addr,
        bootstrap: Vec<SocketAddrV4>,
    ) -> ProcessSettings {
        ProcessSettings {
            name: name.into(),
            data_centre: centre.into(),
            region: "ie-west".into(),
            address: SocketAddrV4::new(ip, PROCESS_PORT),
            secret_file: self.file("secret"),
            bootstrap,
            metrics_address: Some((ip, METRICS_PORT).into()),
        }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.files.path().join(name)
    }
}

impl SiteDaemon {
    /// Waits until a metric of the daemon has a value that `is_wanted` accepts.
    pub(crate) async fn wait_for_metric(&self, metric: &str, is_wanted: impl Fn(f64) -> bool) {
        let name = format!("carobdrum_{}_{metric}", self.prefix);
        let start = Instant::now();
        let mut found = None;
        while start.elapsed() < STATE_TIMEOUT {
            found = read_metric((self.ip, METRICS_PORT).into(), &name).await;
            if found.is_some_and(&is_wanted) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{name} at {} is {found:?} after {STATE_TIMEOUT:?}", self.ip);
    }
}

/// Returns the name of a server and its agent; odd indexes are in the second data centre.
pub(crate) fn server_name(index: usize) -> String {
    format!("placename-api-{index}")
}

/// Returns an address at which no store listens.
pub(crate) fn unreachable_store() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 255, 255, 1), 1))
}

fn write_files() -> TempDir {
    let folder = tempfile::tempdir().expect("cannot create a temporary directory");
    let signed = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()]);
    let signed = signed.expect("cannot generate a certificate");
    let write = |name: &str, text: String| {
        std::fs::write(folder.path().join(name), text).expect("cannot write a file");
    };
    write("certificate.pem", signed.cert.pem());
    write("key.pem", signed.signing_key.serialize_pem());
    write("secret", "5a".repeat(32));
    folder
}

fn store_settings(address: SocketAddr) -> StoreSettings {
    StoreSettings {
        address,
        deployment: DEPLOYMENT.into(),
    }
}

fn service_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(site_ip(number, 1), SERVICE_PORT)
}

/// Returns an address of a site; the process id makes those of concurrent test processes differ.
fn site_ip(number: u8, offset: u8) -> Ipv4Addr {
    let id = std::process::id();
    let second = 120 + (id / 250 % 100) as u8;
    Ipv4Addr::new(
        127,
        second,
        (id % 250) as u8,
        number * ADDRESSES_PER_SITE + offset,
    )
}

async fn read_metric(address: SocketAddr, name: &str) -> Option<f64> {
    let fetching = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = "GET /metrics HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await?;
        std::io::Result::Ok(text)
    };
    let text = tokio::time::timeout(Duration::from_secs(1), fetching);
    let text = text.await.ok()?.ok()?;
    let mut values = text.lines().filter_map(|line| line.strip_prefix(name));
    values.find_map(|value| value.strip_prefix(' ')?.trim().parse().ok())
}
