//! Secret key of one key phase.

use ring::hkdf::{
    KeyType,
    Prk,
    Salt,
    HKDF_SHA256, //
};

const HKDF_SALT: &[u8] = b"carobdrum fleet key 1";

/// Length of a fleet key, in bytes.
const KEY_LEN: usize = 32;

/// Secret that all processes share during one key phase, from which other keys are derived.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    phase: u8,
    secret: [u8; KEY_LEN],
}

impl FleetKey {
    /// Creates the key of `phase`, of which only the two low bits are used.
    pub fn new(phase: u8, secret: [u8; KEY_LEN]) -> FleetKey {
        FleetKey {
            phase: phase & 3,
            secret,
        }
    }

    /// Returns the key phase, 0 to 3.
    pub fn phase(&self) -> u8 {
        self.phase
    }

    /// Returns the secret itself, to encrypt it for storage.
    pub fn secret(&self) -> &[u8; KEY_LEN] {
        &self.secret
    }

    /// Derives 16 bytes for the purpose that `label` identifies.
    pub fn derive16(&self, label: &[u8]) -> [u8; 16] {
        let mut derived = [0; 16];
        expand(&self.secret, label, &mut derived);
        derived
    }

    /// Derives 32 bytes for the purpose that `label` identifies.
    pub fn derive32(&self, label: &[u8]) -> [u8; 32] {
        let mut derived = [0; 32];
        expand(&self.secret, label, &mut derived);
        derived
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "FleetKey {{ phase: {} }}", self.phase)
    }
}

struct ByteCount(usize);

impl KeyType for ByteCount {
    fn len(&self) -> usize {
        self.0
    }
}

/// Fills `derived` with HKDF-SHA256 output.
///
/// # Panics
///
/// Panics if `derived` is longer than 8,160 bytes, which is the limit of HKDF-SHA256 (255 blocks of
/// 32 bytes). The callers ask for at most 32.
fn expand(secret: &[u8], label: &[u8], derived: &mut [u8]) {
    let prk: Prk = Salt::new(HKDF_SHA256, HKDF_SALT).extract(secret);
    let info = [label];
    prk.expand(&info, ByteCount(derived.len()))
        .and_then(|okm| okm.fill(derived))
        .expect("HKDF output is at most 8,160 bytes");
}
