//! Fleet keys in force.

use ring::hmac;

use super::FleetKey;
use crate::connection::{
    FlowCodec,
    FlowId,
    FlowOwner, //
};

/// Length of a stateless-reset token, in bytes.
pub const RESET_TOKEN_LEN: usize = 16;

/// Fleet keys with which connection IDs are accepted, one of which also issues them.
#[derive(Clone)]
pub struct KeyRing {
    version: u32,
    issuing: u8,
    created_ms: Option<u64>,
    keys: Vec<FleetKey>,
    codecs: Vec<FlowCodec>,
}

impl KeyRing {
    /// Creates a ring that issues connection IDs with the key of phase `issuing`.
    ///
    /// `version` grows with every rotation, so that processes never return to an older ring. Of
    /// several keys with the same phase, the first one counts.
    pub fn new(version: u32, issuing: u8, keys: impl IntoIterator<Item = FleetKey>) -> KeyRing {
        let mut keys: Vec<FleetKey> = keys.into_iter().collect();
        keys.sort_by_key(FleetKey::phase);
        keys.dedup_by_key(|key| key.phase());
        let codecs = keys.iter().map(FlowCodec::new).collect();
        KeyRing {
            version,
            issuing: issuing & 3,
            created_ms: None,
            keys,
            codecs,
        }
    }

    /// Sets the time at which the ring was created, as Unix time in milliseconds.
    pub fn with_creation_ms(mut self, time: impl Into<Option<u64>>) -> KeyRing {
        self.created_ms = time.into();
        self
    }

    /// Returns the time at which the ring was created, as Unix time in milliseconds; `None` if it isn't
    /// known.
    pub fn creation_ms(&self) -> Option<u64> {
        self.created_ms
    }

    /// Returns the version of the ring, which grows with every rotation.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the key phase with which connection IDs are issued, 0 to 3.
    pub fn issuing(&self) -> u8 {
        self.issuing
    }

    /// Returns the keys, sorted by phase.
    pub fn keys(&self) -> &[FleetKey] {
        &self.keys
    }

    /// Returns the key of `phase`, if it is in force.
    pub fn key(&self, phase: u8) -> Option<&FleetKey> {
        let found = self.keys.binary_search_by_key(&phase, FleetKey::phase);
        found.ok().map(|index| &self.keys[index])
    }

    /// Decrypts a connection ID with the key of its phase, or returns `None` if that key isn't in
    /// force or the ID isn't authentic.
    pub fn open(&self, flow: &FlowId) -> Option<FlowOwner> {
        self.codec(flow.phase())?.open(flow)
    }

    /// Returns the codec that issues connection IDs, or `None` if the ring lacks its key.
    pub fn issuing_codec(&self) -> Option<&FlowCodec> {
        self.codec(self.issuing)
    }

    /// Returns the stateless-reset token of a connection ID, as agents send it to callers, or
    /// `None` if the key of its phase isn't in force.
    ///
    /// Every process with the ring computes the same token, so a restarted agent or a balancer can
    /// reset a flow whose owner no longer exists.
    pub fn reset_token(&self, flow: &FlowId) -> Option<[u8; RESET_TOKEN_LEN]> {
        let secret = self.key(flow.phase())?.derive32(b"stateless reset");
        let key = hmac::Key::new(hmac::HMAC_SHA256, &secret);
        let signature = hmac::sign(&key, &flow.0);
        let mut token = [0; RESET_TOKEN_LEN];
        token.copy_from_slice(&signature.as_ref()[..RESET_TOKEN_LEN]);
        Some(token)
    }

    fn codec(&self, phase: u8) -> Option<&FlowCodec> {
        let found = self.codecs.binary_search_by_key(&phase, FlowCodec::phase);
        found.ok().map(|index| &self.codecs[index])
    }
}
