//! Keys that protect datagrams and frames between processes.

use carobdrum_core::version::FleetKey;
use ring::aead::{
    LessSafeKey,
    Nonce,
    UnboundKey,
    AES_128_GCM,
    NONCE_LEN, //
};

/// Secret from which the keys of all senders and control connections are derived.
#[derive(Clone)]
pub struct TunnelKey {
    secret: FleetKey,
}

impl TunnelKey {
    /// Derives the secret from the bootstrap secret of the deployment.
    pub fn new(bootstrap: &[u8; 32]) -> TunnelKey {
        let secret = FleetKey::new(0, *bootstrap).derive32(b"tunnel");
        TunnelKey {
            secret: FleetKey::new(0, secret),
        }
    }

    /// Derives the key of one sender.
    pub(crate) fn sender_key(&self, sender: u64) -> LessSafeKey {
        let mut label = *b"sender 00000000";
        label[7..].copy_from_slice(&sender.to_be_bytes());
        gcm_key(&self.secret.derive16(&label))
    }

    /// Derives a key of one TCP connection from the server's challenge; `label` names the
    /// direction.
    pub(crate) fn connection_key(&self, challenge: &[u8], label: &[u8]) -> LessSafeKey {
        let mut info = label.to_vec();
        info.extend_from_slice(challenge);
        gcm_key(&self.secret.derive16(&info))
    }
}

/// # Panics
///
/// Never: the key has the length that the algorithm requires.
fn gcm_key(bytes: &[u8; 16]) -> LessSafeKey {
    let key = UnboundKey::new(&AES_128_GCM, bytes).expect("a 16-byte AES-128 key");
    LessSafeKey::new(key)
}

/// Returns the nonce for a counter, which must never repeat with the same key.
pub(crate) fn nonce_of(counter: u64) -> Nonce {
    let mut bytes = [0; NONCE_LEN];
    bytes[NONCE_LEN - 8..].copy_from_slice(&counter.to_be_bytes());
    Nonce::assume_unique_for_key(bytes)
}
