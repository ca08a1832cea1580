//! Packets as the ends of a flow write and check them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 128;
pub const ACK: u8 = 2;
pub const FIN: u8 = 16;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 8;

const HEADER_LEN: usize = 32;

/// A packet of one end of a flow.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_LEN];
        bytes[8] = self.flags;
        bytes[10..14].copy_from_slice(&self.seq.to_be_bytes());
        bytes[14..18].copy_from_slice(&self.ack.to_be_bytes());
        bytes[18..22].copy_from_slice(&self.from.ip().octets());
        bytes[22..24].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[24..26].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[26..30].copy_from_slice(&self.to.ip().octets());
        bytes[30..32].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = checksum(&bytes);
        bytes[0..4].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Decodes a packet; returns `None` if it differs from what an end or the system may write.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let head = bytes.get(..HEADER_LEN)?;
        let u32_at = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_be_bytes(head[at..at + 2].try_into().unwrap());
        if usize::from(u16_at(30)) != bytes.len() - HEADER_LEN {
            return None;
        }
        let packet = Packet {
            from: SocketAddrV4::new(Ipv4Addr::from(u32_at(18)), u16_at(24)),
            to: SocketAddrV4::new(Ipv4Addr::from(u32_at(26)), u16_at(22)),
            flags: head[8],
            seq: u32_at(10),
            ack: u32_at(14),
            data: bytes[HEADER_LEN..].to_vec(),
        };
        let is_sound = u32_at(0) == checksum(bytes) || is_system_reset(bytes);
        is_sound.then_some(packet)
    }
}

/// Returns whether the system itself has written this reset.
pub fn is_system_reset(bytes: &[u8]) -> bool {
    bytes.len() == HEADER_LEN && bytes[8] == RST && bytes[0..4] == [0; 4]
}

/// Returns the sum over all fields but `echo`, `pad` and BOUNCED; never 0.
fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = 0x811c_9dc5_u32;
    for (at, byte) in bytes.iter().enumerate().skip(4) {
        let byte = match at {
            4..=7 | 9 => 0,
            8 => byte & !BOUNCED,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    sum.max(1)
}
