//! Idempotency keys that agents issue.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use compact_str::CompactString;
use ring::aead::{
    Aad,
    LessSafeKey,
    Nonce,
    UnboundKey,
    AES_128_GCM,
    NONCE_LEN, //
};
use snafu::{
    ensure,
    OptionExt,
    Snafu, //
};

use crate::version::{
    FleetKey,
    KeyRing, //
};

/// Length of the random nonce of a key, in bytes.
pub const KEY_NONCE_LEN: usize = NONCE_LEN;

const DERIVATION_LABEL: &[u8] = b"idempotency key";
const PLAIN_LEN: usize = 22;
const TAG_LEN: usize = 16;
const NONCE_OFFSET: usize = 1;
const SEALED_OFFSET: usize = NONCE_OFFSET + NONCE_LEN;
const WIRE_LEN: usize = SEALED_OFFSET + PLAIN_LEN + TAG_LEN;
const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Reason why a text is not accepted as an idempotency key.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum IdempotencyKeyError {
    /// The text doesn't have the format of a key, so no agent issued it.
    #[snafu(display("idempotency key is not {WIRE_LEN} bytes in hexadecimal digits"))]
    Malformed,
    /// The fleet key of its phase is not in force; the request may have run under the key.
    #[snafu(display("idempotency key was issued under key phase {phase}, which is not in force"))]
    Retired {
        /// Key phase.
        phase: u8,
    },
    /// Authentication fails: the key is forged, or it is older than one cycle of the key phases. In
    /// the latter case its request may have run.
    #[snafu(display("idempotency key fails authentication under key phase {phase}"))]
    Unverified {
        /// Key phase.
        phase: u8,
    },
}

/// Content of an idempotency key, which identifies a request that runs at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Tunnel address of the agent that issued the key and records its outcome.
    pub agent: SocketAddrV4,
    /// Incarnation of the agent; each incarnation has a ledger of its own.
    pub incarnation: u64,
    /// Sequence number in the agent's ledger.
    pub sequence: u64,
}

impl IdempotencyKey {
    /// Encrypts and authenticates the key as hexadecimal text. `nonce` must be random.
    pub fn seal(&self, fleet_key: &FleetKey, nonce: [u8; KEY_NONCE_LEN]) -> CompactString {
        let phase = fleet_key.phase();
        let mut plain = self.pack();
        let tag = cipher_of(fleet_key)
            .seal_in_place_separate_tag(
                Nonce::assume_unique_for_key(nonce),
                Aad::from([phase]),
                &mut plain,
            )
            .expect("22 bytes are below the limit of AES-GCM");
        let mut wire = Vec::with_capacity(WIRE_LEN);
        wire.push(phase);
        wire.extend_from_slice(&nonce);
        wire.extend_from_slice(&plain);
        wire.extend_from_slice(tag.as_ref());
        to_hex(&wire)
    }

    /// Verifies and decrypts the text of a key with the fleet keys in force.
    ///
    /// # Errors
    ///
    /// Returns [`IdempotencyKeyError::Malformed`] if the text doesn't have the format of a key,
    /// [`IdempotencyKeyError::Retired`] if no fleet key is in force for its phase, and
    /// [`IdempotencyKeyError::Unverified`] if authentication fails.
    pub fn open(text: &str, ring: &KeyRing) -> Result<IdempotencyKey, IdempotencyKeyError> {
        let mut wire = from_hex(text).context(MalformedSnafu)?;
        let phase = wire[0];
        ensure!(phase <= 3, MalformedSnafu);
        let fleet_key = ring.key(phase).context(RetiredSnafu { phase })?;
        let mut nonce = [0; NONCE_LEN];
        nonce.copy_from_slice(&wire[NONCE_OFFSET..SEALED_OFFSET]);
        let nonce = Nonce::assume_unique_for_key(nonce);
        let cipher = cipher_of(fleet_key);
        let opened = cipher.open_in_place(nonce, Aad::from([phase]), &mut wire[SEALED_OFFSET..]);
        let plain = opened.ok().context(UnverifiedSnafu { phase })?;
        Ok(unpack(plain))
    }

    fn pack(&self) -> [u8; PLAIN_LEN] {
        let mut plain = [0; PLAIN_LEN];
        plain[..4].copy_from_slice(&self.agent.ip().octets());
        plain[4..6].copy_from_slice(&self.agent.port().to_be_bytes());
        plain[6..14].copy_from_slice(&self.incarnation.to_be_bytes());
        plain[14..].copy_from_slice(&self.sequence.to_be_bytes());
        plain
    }
}

/// Decodes the decrypted fields of a key from [`PLAIN_LEN`] bytes.
fn unpack(plain: &[u8]) -> IdempotencyKey {
    let ip = Ipv4Addr::new(plain[0], plain[1], plain[2], plain[3]);
    let port = u16::from_be_bytes([plain[4], plain[5]]);
    IdempotencyKey {
        agent: SocketAddrV4::new(ip, port),
        incarnation: read_u64(&plain[6..14]),
        sequence: read_u64(&plain[14..PLAIN_LEN]),
    }
}

fn read_u64(bytes: &[u8]) -> u64 {
    let bytes = bytes.iter();
    bytes.fold(0, |value, byte| (value << 8) | u64::from(*byte))
}

/// Returns the cipher for idempotency keys, whose key is derived from `fleet_key`.
///
/// # Panics
///
/// Never: the derived key has the length of an AES-128 key.
fn cipher_of(fleet_key: &FleetKey) -> LessSafeKey {
    let key = UnboundKey::new(&AES_128_GCM, &fleet_key.derive16(DERIVATION_LABEL));
    LessSafeKey::new(key.expect("AES-128 keys have 16 bytes"))
}

fn to_hex(bytes: &[u8]) -> CompactString {
    let mut text = CompactString::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(HEX_DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(HEX_DIGITS[usize::from(byte & 15)]));
    }
    text
}

fn from_hex(text: &str) -> Option<[u8; WIRE_LEN]> {
    let digits = text.as_bytes();
    if digits.len() != WIRE_LEN * 2 {
        return None;
    }
    let mut bytes = [0; WIRE_LEN];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = (high * 16 + low) as u8;
    }
    Some(bytes)
}
