//! A simulated agent that sends heartbeats, answers probes, and sends and receives tunnel
//! datagrams.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::{
        atomic::{
            AtomicU16,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use carobdrum_control::{
    decode_peer,
    encode_peer,
    unix_millis, //
};
use carobdrum_core::process::{
    GossipBody,
    Heartbeat,
    MemberRecord,
    MemberRole,
    PeerMessage,
    ProbeBody,
    FULL_WARMUP_LEVEL, //
};
use carobdrum_wire::{
    control::ControlBody,
    ControlMessage,
    DatagramKind,
    TunnelHeader,
    TunnelKey,
    TunnelOpener,
    TunnelSealer, //
};
use prost::Message;
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    task::JoinHandle,
    time::timeout, //
};

use super::{
    KEY_SECRET,
    WAIT_TIMEOUT, //
};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Buffer for one datagram, in bytes.
const BUFFER_LEN: usize = 65_536;

/// A datagram received by the agent, with the balancer's socket that sent it.
pub(crate) struct ReadDatagram {
    pub(crate) source: SocketAddrV4,
    pub(crate) header: TunnelHeader,
    pub(crate) payload: Vec<u8>,
}

/// An agent controlled by a test.
pub(crate) struct FakeAgent {
    pub(crate) address: SocketAddrV4,
    socket: Arc<UdpSocket>,
    sealer: TunnelSealer,
    inbox: mpsc::UnboundedReceiver<ReadDatagram>,
    /// Source port whose pings aren't answered, or 0 for none.
    ignored_port: Arc<AtomicU16>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for FakeAgent {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl FakeAgent {
    /// Opens an agent that doesn't send heartbeats yet.
    pub(crate) async fn open(address: SocketAddrV4) -> FakeAgent {
        let socket = Arc::new(UdpSocket::bind(address).await.unwrap());
        let (read, inbox) = mpsc::unbounded_channel();
        let ignored_port = Arc::new(AtomicU16::new(0));
        let reader = read_datagrams(
            Arc::clone(&socket),
            address,
            Arc::clone(&ignored_port),
            read, //
        );
        FakeAgent {
            address,
            socket,
            sealer: new_sealer(),
            inbox,
            ignored_port,
            tasks: vec![tokio::spawn(reader)],
        }
    }

    /// Returns the agent's record as a warm server of the pool.
    pub(crate) fn record(&self, name: &str) -> MemberRecord {
        MemberRecord::builder(MemberRole::Agent, self.address, unix_millis())
            .name(name)
            .location("galway-a", "ie-west")
            .sequence(1)
            .slots(2, FULL_WARMUP_LEVEL)
            .build()
    }

    /// Sends heartbeats to `balancers` until the agent is dropped.
    pub(crate) fn announce(&mut self, name: &str, balancers: Vec<SocketAddrV4>) {
        let next_heartbeat = heartbeat_sealer(self.record(name));
        let socket = Arc::clone(&self.socket);
        self.tasks.push(tokio::spawn(send_heartbeats(
            socket,
            next_heartbeat,
            balancers,
        )));
    }

    /// Returns a sealed heartbeat of the agent under the name `name`.
    pub(crate) fn heartbeat(&self, name: &str) -> Vec<u8> {
        heartbeat_sealer(self.record(name))()
    }

    /// Leaves pings from `port` unanswered from now on.
    pub(crate) fn ignore_pings_from(&self, port: u16) {
        self.ignored_port.store(port, Ordering::Relaxed);
    }

    /// Returns the next datagram other than control datagrams, also one from the ignored port.
    pub(crate) async fn read(&mut self) -> ReadDatagram {
        let next = timeout(WAIT_TIMEOUT, self.inbox.recv()).await;
        next.expect("the agent should receive a datagram").unwrap()
    }

    /// Returns the next datagram if one has been received.
    pub(crate) fn try_read(&mut self) -> Option<ReadDatagram> {
        self.inbox.try_recv().ok()
    }

    /// Returns the sealed response to `read` with `payload`.
    pub(crate) fn response_to(&mut self, read: &ReadDatagram, payload: &[u8]) -> Vec<u8> {
        let header = TunnelHeader {
            kind: DatagramKind::Response,
            control_port: self.address.port(),
            second: None,
            ..read.header
        };
        self.seal(&header, payload)
    }

    /// Encrypts and authenticates a tunnel datagram.
    pub(crate) fn seal(&mut self, header: &TunnelHeader, payload: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::new();
        self.sealer.seal(header, payload, &mut datagram);
        datagram
    }

    /// Sends `datagram` unchanged.
    pub(crate) async fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        self.socket.send_to(datagram, to).await.unwrap();
    }
}

fn new_sealer() -> TunnelSealer {
    TunnelSealer::new(&TunnelKey::new(&KEY_SECRET), rand::random())
}

/// Returns a function that makes sealed heartbeats of one member.
fn heartbeat_sealer(record: MemberRecord) -> impl FnMut() -> Vec<u8> {
    let mut sealer = new_sealer();
    move || {
        let heartbeat = PeerMessage::Heartbeat(Heartbeat {
            incarnation: record.incarnation,
            sequence: record.sequence,
            member: Some(record.clone()),
            balancers_digest: 0,
            key_version: 0,
        });
        seal_control(&mut sealer, record.address.port(), heartbeat)
    }
}

fn seal_control(sealer: &mut TunnelSealer, control_port: u16, message: PeerMessage) -> Vec<u8> {
    let header = TunnelHeader {
        control_port,
        ..TunnelHeader::new(DatagramKind::Control)
    };
    let payload = ControlMessage::new(encode_peer(message)).encode_to_vec();
    let mut datagram = Vec::new();
    sealer.seal(&header, &payload, &mut datagram);
    datagram
}

async fn send_heartbeats(
    socket: Arc<UdpSocket>,
    mut next_heartbeat: impl FnMut() -> Vec<u8>,
    balancers: Vec<SocketAddrV4>,
) {
    loop {
        for balancer in &balancers {
            // The send may fail while the balancer isn't running yet; it gets a later heartbeat.
            let _ = socket.send_to(&next_heartbeat(), balancer).await;
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn read_datagrams(
    socket: Arc<UdpSocket>,
    address: SocketAddrV4,
    ignored_port: Arc<AtomicU16>,
    read: mpsc::UnboundedSender<ReadDatagram>,
) {
    let mut opener = TunnelOpener::new(TunnelKey::new(&KEY_SECRET), 64);
    let mut sealer = new_sealer();
    let mut buffer = vec![0; BUFFER_LEN];
    loop {
        let Ok((len, SocketAddr::V4(source))) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let (header, payload) = opener
            .open(&buffer[..len])
            .expect("the balancer should send sealed datagrams only");
        if header.kind == DatagramKind::Control {
            let message = ControlMessage::decode(payload).unwrap();
            let ack = message.body.and_then(probe_ack);
            let to = SocketAddrV4::new(*source.ip(), header.control_port);
            if let Some(ack) = ack {
                let ack = seal_control(&mut sealer, address.port(), ack);
                let _ = socket.send_to(&ack, to).await;
            }
            continue;
        }
        if header.kind == DatagramKind::Ping
            && source.port() != ignored_port.load(Ordering::Relaxed)
        {
            let pong = TunnelHeader::new(DatagramKind::Pong);
            let mut datagram = Vec::new();
            sealer.seal(&pong, &[], &mut datagram);
            let _ = socket.send_to(&datagram, source).await;
        }
        let payload = payload.to_vec();
        let datagram = ReadDatagram {
            source,
            header,
            payload,
        };
        if read.send(datagram).is_err() {
            return;
        }
    }
}

fn probe_ack(body: ControlBody) -> Option<PeerMessage> {
    let PeerMessage::Probe(probe) = decode_peer(body)? else {
        return None;
    };
    Some(PeerMessage::ProbeAck(ProbeBody {
        number: probe.number,
        gossip: GossipBody::default(),
        member: None,
        balancers: Vec::new(),
    }))
}
