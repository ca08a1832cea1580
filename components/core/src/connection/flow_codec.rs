//! Encryption and verification of connection IDs with one fleet key.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use aes::{
    cipher::{
        generic_array::GenericArray,
        BlockEncrypt,
        KeyInit, //
    },
    Aes128,
};

use super::{
    FlowId,
    FlowOwner,
    FLOW_ID_LEN, //
};
use crate::version::{
    CentreId,
    FleetKey,
    ServiceId, //
};

const TAG_LEN: usize = 6;
const SEALED_LEN: usize = 13;
const SEALED_OFFSET: usize = 1 + TAG_LEN;
const PHASE_SHIFT: u32 = 6;
const RANDOM_MASK: u8 = 0x3f;

/// Seals the owner of a flow into a connection ID and opens it again, with the key of one phase.
///
/// The construction is a synthetic IV: the tag is a pseudo-random function of the plaintext, and
/// the keystream is a pseudo-random function of the tag. It needs no nonce, so agents issue IDs
/// without coordination.
#[derive(Clone)]
pub struct FlowCodec {
    phase: u8,
    tag_cipher: Aes128,
    stream_cipher: Aes128,
}

impl FlowCodec {
    /// Creates the codec of a fleet key, whose phase it takes over.
    pub fn new(key: &FleetKey) -> FlowCodec {
        FlowCodec {
            phase: key.phase(),
            tag_cipher: Aes128::new(&key.derive16(b"flow tag").into()),
            stream_cipher: Aes128::new(&key.derive16(b"flow stream").into()),
        }
    }

    /// Returns the key phase that the IDs carry, 0 to 3.
    pub fn phase(&self) -> u8 {
        self.phase
    }

    /// Encrypts and authenticates `owner` as a connection ID.
    ///
    /// `sequence` and the low six bits of `random` make the IDs of one agent differ.
    pub fn seal(&self, owner: &FlowOwner, sequence: u16, random: u8) -> FlowId {
        let first = (self.phase << PHASE_SHIFT) | (random & RANDOM_MASK);
        let plain = pack_owner(owner, sequence);
        let tag = self.tag_of(first, &plain);
        let stream = self.stream_of(&tag);
        let mut bytes = [0; FLOW_ID_LEN];
        bytes[0] = first;
        bytes[1..SEALED_OFFSET].copy_from_slice(&tag);
        for (index, byte) in plain.iter().enumerate() {
            bytes[SEALED_OFFSET + index] = byte ^ stream[index];
        }
        FlowId(bytes)
    }

    /// Decrypts a connection ID, or returns `None` if it has another key phase or isn't authentic.
    pub fn open(&self, flow: &FlowId) -> Option<FlowOwner> {
        if flow.phase() != self.phase {
            return None;
        }
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&flow.0[1..SEALED_OFFSET]);
        let stream = self.stream_of(&tag);
        let mut plain = [0; SEALED_LEN];
        for (index, byte) in plain.iter_mut().enumerate() {
            *byte = flow.0[SEALED_OFFSET + index] ^ stream[index];
        }
        if self.tag_of(flow.0[0], &plain) != tag {
            return None;
        }
        Some(unpack_owner(&plain))
    }

    fn tag_of(&self, first: u8, plain: &[u8; SEALED_LEN]) -> [u8; TAG_LEN] {
        let mut block = [0; 16];
        block[0] = first;
        block[1..=SEALED_LEN].copy_from_slice(plain);
        let mut block = GenericArray::from(block);
        self.tag_cipher.encrypt_block(&mut block);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&block[..TAG_LEN]);
        tag
    }

    fn stream_of(&self, tag: &[u8; TAG_LEN]) -> [u8; 16] {
        let mut block = [0; 16];
        block[..TAG_LEN].copy_from_slice(tag);
        let mut block = GenericArray::from(block);
        self.stream_cipher.encrypt_block(&mut block);
        block.into()
    }
}

fn pack_owner(owner: &FlowOwner, sequence: u16) -> [u8; SEALED_LEN] {
    let mut plain = [0; SEALED_LEN];
    plain[..4].copy_from_slice(&owner.agent.ip().octets());
    plain[4..6].copy_from_slice(&owner.agent.port().to_be_bytes());
    plain[6..8].copy_from_slice(&owner.service.0.to_be_bytes());
    plain[8] = owner.centre.0;
    plain[9..11].copy_from_slice(&owner.incarnation.to_be_bytes());
    plain[11..].copy_from_slice(&sequence.to_be_bytes());
    plain
}

fn unpack_owner(plain: &[u8; SEALED_LEN]) -> FlowOwner {
    let ip = Ipv4Addr::new(plain[0], plain[1], plain[2], plain[3]);
    let port = u16::from_be_bytes([plain[4], plain[5]]);
    FlowOwner {
        agent: SocketAddrV4::new(ip, port),
        service: ServiceId(u16::from_be_bytes([plain[6], plain[7]])),
        centre: CentreId(plain[8]),
        incarnation: u16::from_be_bytes([plain[9], plain[10]]),
    }
}
