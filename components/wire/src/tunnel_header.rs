//! The fixed header of a datagram between processes.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::version::ServiceId;
use snafu::{
    ensure,
    Snafu, //
};

/// Length of the header, in bytes.
pub const HEADER_LEN: usize = 48;
/// Length of the authentication tag after the payload, in bytes.
pub const TAG_LEN: usize = 16;
/// Number of bytes that the tunnel adds to a payload.
pub const OVERHEAD_LEN: usize = HEADER_LEN + TAG_LEN;

/// Longest datagram between processes, in bytes. Packets to and from callers are limited to much
/// less, and control messages to even less.
pub const MAX_DATAGRAM_LEN: usize = 2_048;

/// Number of bytes of a QUIC packet that the tag authenticates. They include the first byte, the
/// lengths of the connection IDs and the destination connection ID.
const AUTHENTICATED_PAYLOAD_LEN: usize = 32;

/// First byte of a datagram of format version 1.
const FORMAT_BYTE: u8 = 0xc1;

/// Reasons why a header is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// The datagram is shorter than header and tag.
    #[snafu(display("datagram of {len} bytes is shorter than header and tag"))]
    Truncated {
        /// Length of the datagram, in bytes.
        len: usize,
    },
    /// The datagram is longer than any that a process sends.
    #[snafu(display("datagram of {len} bytes is longer than {MAX_DATAGRAM_LEN}"))]
    Oversized {
        /// Length of the datagram, or of the part that was read, in bytes.
        len: usize,
    },
    /// The first byte isn't that of this format.
    #[snafu(display("unknown format byte {found:#04x}"))]
    UnknownFormat {
        /// First byte of the datagram.
        found: u8,
    },
    /// The kind of the datagram isn't known.
    #[snafu(display("unknown datagram kind {found}"))]
    UnknownKind {
        /// Kind byte of the datagram.
        found: u8,
    },
}

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DatagramKind {
    /// A caller's datagram, from a balancer to an agent.
    Forward = 1,
    /// A caller's first packet, redirected by the first candidate to the second.
    Redirected = 2,
    /// An agent's datagram to a caller, through a balancer.
    Response = 3,
    /// Checks whether the path still works.
    Ping = 4,
    /// Response to a ping.
    Pong = 5,
    /// A control message.
    Control = 6,
}

impl DatagramKind {
    /// Returns how many bytes of a datagram the tag authenticates; `len` is the datagram's length
    /// without the tag.
    ///
    /// The payload of a flow's datagram is a QUIC packet, which the endpoints of the flow
    /// authenticate themselves. The tag needs to authenticate only the header and the packet's
    /// connection ID, which costs a fifth of authenticating the whole.
    pub(crate) fn authenticated_len(self, len: usize) -> usize {
        match self {
            DatagramKind::Forward | DatagramKind::Redirected | DatagramKind::Response => {
                len.min(HEADER_LEN + AUTHENTICATED_PAYLOAD_LEN)
            }
            DatagramKind::Ping | DatagramKind::Pong | DatagramKind::Control => len,
        }
    }

    fn from_byte(byte: u8) -> Option<DatagramKind> {
        let kind = match byte {
            1 => DatagramKind::Forward,
            2 => DatagramKind::Redirected,
            3 => DatagramKind::Response,
            4 => DatagramKind::Ping,
            5 => DatagramKind::Pong,
            6 => DatagramKind::Control,
            _ => return None,
        };
        Some(kind)
    }
}

/// The agent to which a first packet may be redirected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondCandidate {
    /// Tunnel address of the agent.
    pub agent: SocketAddrV4,
    /// Last known load of its backend server, in 1/255 of the server's limit.
    pub load: u8,
}

/// The header of a datagram between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelHeader {
    /// Purpose of the datagram.
    pub kind: DatagramKind,
    /// Id of the flow's service; 0 for none.
    pub service: ServiceId,
    /// Number of the configuration version in force at the sender.
    pub version: u32,
    /// Random id of the sending thread.
    pub sender: u64,
    /// Number of the datagram among those of that thread, starting at 1.
    pub counter: u64,
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Service address that the caller uses.
    pub service_address: SocketAddrV4,
    /// Port (TCP and UDP) at which the sender receives control messages.
    pub control_port: u16,
    /// Load of the sender's backend server, in 1/255 of the server's limit.
    pub load: u8,
    /// Agent to which a first packet may be redirected. In a redirected datagram, it is the
    /// balancer from which the packet came.
    pub second: Option<SecondCandidate>,
}

const NO_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

impl TunnelHeader {
    /// Creates a header of `kind` with all other fields zero or absent.
    pub fn new(kind: DatagramKind) -> TunnelHeader {
        TunnelHeader {
            kind,
            service: ServiceId(0),
            version: 0,
            sender: 0,
            counter: 0,
            caller: NO_ADDRESS,
            service_address: NO_ADDRESS,
            control_port: 0,
            load: 0,
            second: None,
        }
    }

    /// Returns the header of a redirected datagram, with `balancer` as the destination of
    /// responses.
    pub fn with_return_address(self, balancer: SocketAddrV4) -> TunnelHeader {
        let second = SecondCandidate {
            agent: balancer,
            load: 0,
        };
        TunnelHeader {
            second: Some(second),
            ..self
        }
    }

    /// Returns the balancer to which the responses to a redirected datagram go.
    pub fn return_address(&self) -> Option<SocketAddrV4> {
        self.second.map(|second| second.agent)
    }

    /// Encodes the header.
    pub fn encode(&self, bytes: &mut [u8; HEADER_LEN]) {
        *bytes = [0; HEADER_LEN];
        bytes[0] = FORMAT_BYTE;
        bytes[1] = self.kind as u8;
        bytes[2..4].copy_from_slice(&self.service.0.to_be_bytes());
        bytes[4..8].copy_from_slice(&self.version.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.sender.to_be_bytes());
        bytes[16..24].copy_from_slice(&self.counter.to_be_bytes());
        put_address(&mut bytes[24..30], self.caller);
        put_address(&mut bytes[30..36], self.service_address);
        bytes[36..38].copy_from_slice(&self.control_port.to_be_bytes());
        bytes[38] = self.load;
        if let Some(second) = self.second {
            bytes[39] = second.load;
            put_address(&mut bytes[40..46], second.agent);
        }
    }

    /// Decodes the header at the start of `datagram`, which still has its tag.
    ///
    /// # Errors
    ///
    /// Returns a [`HeaderError`] if the datagram is too short, too long or of another format.
    pub fn decode(datagram: &[u8]) -> Result<TunnelHeader, HeaderError> {
        let len = datagram.len();
        ensure!(len >= OVERHEAD_LEN, TruncatedSnafu { len });
        ensure!(len <= MAX_DATAGRAM_LEN, OversizedSnafu { len });
        let found = datagram[0];
        ensure!(found == FORMAT_BYTE, UnknownFormatSnafu { found });
        let found = datagram[1];
        let Some(kind) = DatagramKind::from_byte(found) else {
            return UnknownKindSnafu { found }.fail();
        };
        Ok(TunnelHeader {
            kind,
            service: ServiceId(u16::from_be_bytes([datagram[2], datagram[3]])),
            version: get_u32(&datagram[4..8]),
            sender: get_u64(&datagram[8..16]),
            counter: get_u64(&datagram[16..24]),
            caller: get_address(&datagram[24..30]),
            service_address: get_address(&datagram[30..36]),
            control_port: u16::from_be_bytes([datagram[36], datagram[37]]),
            load: datagram[38],
            second: get_second(datagram),
        })
    }
}

fn get_second(datagram: &[u8]) -> Option<SecondCandidate> {
    let agent = get_address(&datagram[40..46]);
    let load = datagram[39];
    (agent.port() != 0).then_some(SecondCandidate { agent, load })
}

fn put_address(bytes: &mut [u8], address: SocketAddrV4) {
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..6].copy_from_slice(&address.port().to_be_bytes());
}

fn get_address(bytes: &[u8]) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([bytes[4], bytes[5]]))
}

fn get_u32(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .fold(0, |value, &byte| value << 8 | u32::from(byte))
}

fn get_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, &byte| value << 8 | u64::from(byte))
}
