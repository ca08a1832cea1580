//! Packets as the ends of a flow write and check them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER_LEN: usize = 32;

pub const SYN: u8 = 128;
pub const RST: u8 = 64;
pub const FIN: u8 = 16;
pub const BOUNCED: u8 = 8;
pub const ACK: u8 = 2;

/// Key of the checksum, which only the ends of a flow know.
const SUM_KEY: u32 = 0x5bd1_e995;

/// A packet of one end of a flow.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub sequence: u32,
    pub acknowledged: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Encodes the packet with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_LEN];
        bytes[8] = self.flags;
        bytes[10..14].copy_from_slice(&self.sequence.to_be_bytes());
        bytes[14..18].copy_from_slice(&self.acknowledged.to_be_bytes());
        bytes[18..22].copy_from_slice(&self.from.ip().octets());
        bytes[22..24].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[24..26].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[26..30].copy_from_slice(&self.to.ip().octets());
        bytes[30..32].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum_of(&bytes);
        bytes[0..4].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Decodes a packet; `None` if it isn't as its sender wrote it. A reset of the system has a sum
    /// of 0.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let head = bytes.get(..HEADER_LEN)?;
        let read_u32 =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let read_u16 = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let is_system_reset = head[8] == RST && read_u32(0) == 0;
        if !is_system_reset && read_u32(0) != sum_of(bytes) {
            return None;
        }
        Some(Packet {
            from: SocketAddrV4::new(Ipv4Addr::from(read_u32(18)), read_u16(24)),
            to: SocketAddrV4::new(Ipv4Addr::from(read_u32(26)), read_u16(22)),
            flags: head[8],
            sequence: read_u32(10),
            acknowledged: read_u32(14),
            data: bytes[HEADER_LEN..].to_vec(),
        })
    }
}

/// Returns a keyed FNV-1a hash of all bytes but `sum`, `echo`, `pad` and BOUNCED; never 0.
fn sum_of(bytes: &[u8]) -> u32 {
    let mut sum = 0x811c_9dc5_u32 ^ SUM_KEY;
    for (at, byte) in bytes.iter().enumerate().skip(8) {
        let covered = match at {
            8 => byte & !BOUNCED,
            9 => 0,
            _ => *byte,
        };
        sum = (sum ^ u32::from(covered)).wrapping_mul(0x0100_0193);
    }
    sum.max(1)
}
