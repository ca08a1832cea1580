//! The fleet keys in force.

use super::FleetKey;
use crate::connection::{
    FlowCodec,
    FlowId,
    FlowOwner, //
};

/// The keys under which connection IDs are accepted, and the one under which they are issued.
#[derive(Clone)]
pub struct KeyRing {
    version: u32,
    issuing: u8,
    keys: Vec<FleetKey>,
    codecs: Vec<FlowCodec>,
}

impl KeyRing {
    /// Creates a ring whose `issuing` phase seals new connection IDs.
    ///
    /// `version` grows with every rotation, so that processes never go back to an older ring.
    pub fn new(version: u32, issuing: u8, keys: impl IntoIterator<Item = FleetKey>) -> KeyRing {
        let mut keys: Vec<FleetKey> = keys.into_iter().collect();
        keys.sort_by_key(FleetKey::phase);
        keys.dedup_by_key(|key| key.phase());
        let codecs = keys.iter().map(FlowCodec::new).collect();
        KeyRing {
            version,
            issuing: issuing & 3,
            keys,
            codecs,
        }
    }

    /// Returns the version of the ring.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the phase under which connection IDs are issued.
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

    /// Opens a connection ID under the key of its phase.
    pub fn open(&self, flow: &FlowId) -> Option<FlowOwner> {
        self.codec(flow.phase())?.open(flow)
    }

    /// Returns the codec that issues connection IDs.
    pub fn issuer(&self) -> Option<&FlowCodec> {
        self.codec(self.issuing)
    }

    fn codec(&self, phase: u8) -> Option<&FlowCodec> {
        let found = self.codecs.binary_search_by_key(&phase, FlowCodec::phase);
        found.ok().map(|index| &self.codecs[index])
    }
}
