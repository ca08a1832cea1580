//! A store with tables, balancers that watch it, and callers.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_balancer::BalancerHandle;
use carobdrum_control::{
    call_control,
    KeyWrapper, //
};
use carobdrum_core::{
    connection::{
        FlowId,
        FlowOwner, //
    },
    version::{
        CentreEntry,
        CentreState,
        ConfigVersion,
        KeyRing,
        PoolEntry,
        PoolState,
        PoolTable,
        PriorityClass,
        RouteEntry,
        RouteTable, //
    },
};
use carobdrum_settings::{
    BalancerSettings,
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};
use carobdrum_standins::{
    LoopbackRange,
    StoreServer, //
};
use carobdrum_store::{
    ApplyOutcome,
    StoreClient,
    TableEdit, //
};
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchKeys, //
    },
    ControlMessage, TunnelKey,
};
use tempfile::NamedTempFile;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpStream,
        UdpSocket, //
    },
    time::{
        sleep,
        timeout, //
    },
};

/// Bootstrap secret of the deployment.
pub(crate) const KEY_SECRET: [u8; 32] = [0x5a; 32];
/// Time within which an expected event must happen.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const DEPLOYMENT: &str = "test";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Second octet of the addresses of the first deployment.
const FIRST_OCTET: u8 = 40;

/// Waits until `holds` returns true; `what` describes the condition in the failure message.
pub(crate) async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "no {what} within {WAIT_TIMEOUT:?}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// A store and its tables, at addresses of their own.
pub(crate) struct TestDeployment {
    net: u8,
    pub(crate) store: StoreServer,
    client: StoreClient,
    pub(crate) config: ConfigVersion,
    secret_file: NamedTempFile,
}

impl TestDeployment {
    /// Starts a store and applies the first version of the tables.
    pub(crate) async fn start(number: u8) -> TestDeployment {
        let range = LoopbackRange::claim(FIRST_OCTET + number).unwrap();
        // The threads of a balancer end some time after its handle is dropped.
        let net = range.keep();
        let store = StoreServer::start(address(net, 5, 8500).into())
            .await
            .unwrap();
        let client = StoreClient::new(store.address(), DEPLOYMENT);
        let secret_file = NamedTempFile::new().unwrap();
        std::fs::write(secret_file.path(), "5a".repeat(32)).unwrap();
        let mut deployment = TestDeployment {
            net,
            store,
            client,
            config: ConfigVersion::default(),
            secret_file,
        };
        deployment.apply(CentreState::In).await;
        deployment
    }

    /// Applies a version of the tables in which the data centre galway-a has the state `galway`.
    pub(crate) async fn apply(&mut self, galway: CentreState) {
        let edit = TableEdit::new(self.config.number, self.routes(), pools(galway));
        match self.client.apply_version(edit).await.unwrap() {
            ApplyOutcome::Applied(version) => self.config = *version,
            ApplyOutcome::Refused(report) => panic!("refused: {report:?}"),
        }
    }

    /// Starts a balancer and waits until it forwards datagrams.
    pub(crate) async fn balancer(&self, host: u8) -> TestBalancer {
        let settings = BalancerSettings {
            process: ProcessSettings {
                name: format!("balancer-{host}").into(),
                data_centre: "galway-a".into(),
                region: "ie-west".into(),
                address: self.address(host, 7400),
                secret_file: self.secret_file.path().to_owned(),
                bootstrap: Vec::new(),
                metrics_address: Some(self.address(host, 9100).into()),
            },
            store: StoreSettings {
                address: self.store.address(),
                deployment: DEPLOYMENT.into(),
            },
            log: LogSettings::default(),
            listen_ip: Some(*self.address(host, 0).ip()),
            threads: 1,
        };
        let address = settings.process.address;
        let handle = BalancerHandle::spawn(settings).unwrap();
        let mut balancer = TestBalancer {
            address,
            keys: fetch_keys(address).await,
            baseline: String::new(),
            handle: Some(handle),
        };
        self.wait_forwarding(&balancer).await;
        balancer.baseline = balancer.scrape().await;
        balancer
    }

    /// Sends packets until the latest one arrives at the agent. Then the traffic thread has the
    /// tables and keys, and no packet is in transit.
    async fn wait_forwarding(&self, balancer: &TestBalancer) {
        let owner = self.address(200, 7500);
        let agent = UdpSocket::bind(owner).await.unwrap();
        let caller = FakeCaller::open(balancer, 4433).await;
        let mut packet = short_packet(&self.flow(&balancer.keys, "placename-api", owner));
        let mut buffer = [0; 2_048];
        let mut sent = 0_u32;
        wait_for("forwarding", async || {
            sent += 1;
            packet[30..34].copy_from_slice(&sent.to_be_bytes());
            // The send fails while the service address isn't open.
            let _ = caller.socket.send(&packet).await;
            sleep(POLL_INTERVAL).await;
            let mut is_last = false;
            while let Ok(len) = agent.try_recv(&mut buffer) {
                is_last = buffer[..len]
                    .windows(4)
                    .any(|part| part == sent.to_be_bytes());
            }
            is_last
        })
        .await;
    }

    /// Returns an address of the deployment.
    pub(crate) fn address(&self, host: u8, port: u16) -> SocketAddrV4 {
        address(self.net, host, port)
    }

    /// Returns the connection ID of a flow of `service` that `agent` owns.
    pub(crate) fn flow(&self, keys: &KeyRing, service: &str, agent: SocketAddrV4) -> FlowId {
        let owner = FlowOwner {
            agent,
            service: self.config.service_id(service).unwrap(),
            centre: self.config.centre_id("galway-a").unwrap(),
            incarnation: 1,
        };
        keys.issuing_codec().unwrap().seal(&owner, 1, 1)
    }

    fn routes(&self) -> RouteTable {
        let route = |service: &str, port| RouteEntry {
            name: service.into(),
            service: service.into(),
            address: self.address(10, port),
            path_prefix: "/".into(),
            methods: Vec::new(),
            priority: PriorityClass::Normal,
            timeout_ms: 1_000,
        };
        RouteTable {
            routes: vec![route("placename-api", 4433), route("sheet-store", 4434)],
        }
    }
}

fn address(net: u8, host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, net, 0, host), port)
}

fn pools(galway: CentreState) -> PoolTable {
    let pool = |service: &str, servers: &str| PoolEntry {
        service: service.into(),
        servers: vec![servers.into()],
        slots: 2,
        connections: 2_000,
        state: PoolState::Active,
    };
    PoolTable {
        pools: vec![
            pool("placename-api", "placename-*"),
            pool("sheet-store", "sheet-*"),
        ],
        data_centres: vec![CentreEntry {
            name: "galway-a".into(),
            state: galway,
        }],
    }
}

/// Requests the key ring from a balancer until it has one.
async fn fetch_keys(balancer: SocketAddrV4) -> KeyRing {
    let key = TunnelKey::new(&KEY_SECRET);
    let mut ring = None;
    wait_for("key ring", async || {
        let request = ControlMessage::new(ControlBody::FetchKeys(FetchKeys { known_version: 0 }));
        let response = call_control(balancer, &key, request).await;
        if let Ok(Some(ControlBody::Keys(keys))) = response.map(|response| response.body) {
            ring = KeyWrapper::new(&KEY_SECRET).unwrap(&keys.document).ok();
        }
        ring.is_some()
    })
    .await;
    ring.unwrap()
}

/// A balancer that is stopped when it is dropped.
pub(crate) struct TestBalancer {
    pub(crate) address: SocketAddrV4,
    pub(crate) keys: KeyRing,
    /// The metrics at the start of the test; counters are reported relative to them.
    baseline: String,
    handle: Option<BalancerHandle>,
}

impl Drop for TestBalancer {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            handle.stop();
        }
    }
}

impl TestBalancer {
    /// Returns the value of a gauge, or the increase of a counter since the start of the test.
    pub(crate) async fn metric(&self, name: &str) -> u64 {
        let now = sum_lines(&self.scrape().await, &format!("{name} "));
        if name.contains("_total") {
            now - sum_lines(&self.baseline, &format!("{name} "))
        } else {
            now
        }
    }

    /// Returns the number of datagrams dropped for `reason`.
    pub(crate) async fn dropped(&self, reason: &str) -> u64 {
        let name = format!("dropped_datagrams_total{{reason=\"{reason}\"}}");
        self.metric(&name).await
    }

    /// Returns the number of datagrams dropped for any reason.
    pub(crate) async fn all_dropped(&self) -> u64 {
        let prefix = "dropped_datagrams_total{";
        sum_lines(&self.scrape().await, prefix) - sum_lines(&self.baseline, prefix)
    }

    /// Waits until a metric has `value`.
    pub(crate) async fn wait_metric(&self, name: &str, value: u64) {
        let what = format!("{name} of {value}");
        wait_for(&what, async || self.metric(name).await == value).await;
    }

    /// Waits until `count` datagrams were dropped for `reason`, and checks that none was dropped
    /// for another.
    pub(crate) async fn wait_dropped(&self, reason: &str, count: u64) {
        let what = format!("{count} datagrams dropped as {reason}");
        wait_for(&what, async || self.dropped(reason).await >= count).await;
        assert_eq!(self.dropped(reason).await, count, "{reason}");
        assert_eq!(self.all_dropped().await, count, "dropped for any reason");
    }

    async fn scrape(&self) -> String {
        let address = SocketAddrV4::new(*self.address.ip(), 9100);
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        text
    }
}

/// Returns the sum of the metrics that start with `prefix`.
fn sum_lines(text: &str, prefix: &str) -> u64 {
    let prefix = format!("carobdrum_balancer_{prefix}");
    let lines = text.lines().filter(|line| line.starts_with(&prefix));
    let values = lines.filter_map(|line| line.rsplit(' ').next());
    values.map(|value| value.parse::<u64>().unwrap()).sum()
}

/// A simulated caller.
pub(crate) struct FakeCaller {
    socket: UdpSocket,
}

impl FakeCaller {
    /// Opens a socket whose datagrams go to `port` of a balancer.
    pub(crate) async fn open(balancer: &TestBalancer, port: u16) -> FakeCaller {
        let socket = UdpSocket::bind("127.40.0.1:0").await.unwrap();
        let service = SocketAddrV4::new(*balancer.address.ip(), port);
        socket.connect(service).await.unwrap();
        FakeCaller { socket }
    }

    /// Sends a packet.
    pub(crate) async fn send(&self, packet: &[u8]) {
        self.socket.send(packet).await.unwrap();
    }

    /// Returns the next packet.
    pub(crate) async fn read(&self) -> Vec<u8> {
        let mut buffer = vec![0; 2_048];
        let read = timeout(WAIT_TIMEOUT, self.socket.recv(&mut buffer)).await;
        let len = read.expect("the caller should receive a packet").unwrap();
        buffer.truncate(len);
        buffer
    }

    /// Returns whether a packet was waiting, and discards it.
    pub(crate) fn has_packet(&self) -> bool {
        self.socket.try_recv(&mut [0; 2_048]).is_ok()
    }
}

/// Returns a short-header packet of `flow`.
pub(crate) fn short_packet(flow: &FlowId) -> Vec<u8> {
    let mut packet = vec![0x41; 64];
    packet[1..21].copy_from_slice(&flow.0);
    packet
}

/// Returns an Initial packet with a connection ID that the caller chose.
pub(crate) fn initial_packet(id: &[u8; 8]) -> Vec<u8> {
    let mut packet = vec![0; 1_200];
    packet[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
    packet[6..14].copy_from_slice(id);
    packet
}
