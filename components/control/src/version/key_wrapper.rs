//! Wrapping of the key ring under the bootstrap secret.

use carobdrum_core::version::{
    FleetKey,
    KeyRing, //
};
use rand::Rng;
use ring::aead::{
    Aad,
    LessSafeKey,
    Nonce,
    UnboundKey,
    AES_256_GCM,
    NONCE_LEN, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

/// Phases that exist; a ring uses them in turn.
const PHASES: u8 = 4;
/// Keys that a ring holds: the previous one, the one that issues, and the next one.
const KEPT_KEYS: usize = 3;

/// Reasons why a wrapped key ring can't be used.
#[derive(Debug, Snafu)]
pub enum WrapError {
    /// The document is shorter than its nonce, or was wrapped under another secret.
    #[snafu(display("the key ring was not wrapped under this bootstrap secret"))]
    WrongSecret,
    /// The document holds no key ring.
    #[snafu(display("malformed key ring: {source}"))]
    MalformedRing {
        /// What the parser reports.
        source: serde_json::Error,
    },
}

#[derive(Serialize, Deserialize)]
struct StoredKey {
    phase: u8,
    secret: [u8; 32],
}

#[derive(Serialize, Deserialize)]
struct StoredRing {
    version: u32,
    issuing: u8,
    keys: Vec<StoredKey>,
}

/// Wraps and unwraps key rings, and makes new ones.
#[derive(Clone)]
pub struct KeyWrapper {
    wrapping: [u8; 32],
}

impl KeyWrapper {
    /// Creates the vault of a deployment.
    pub fn new(bootstrap: &[u8; 32]) -> KeyWrapper {
        KeyWrapper {
            wrapping: FleetKey::new(0, *bootstrap).derive32(b"key ring wrapping"),
        }
    }

    /// Makes the first ring of a deployment.
    pub fn initial_ring(&self, random: &mut impl Rng) -> KeyRing {
        let keys = [0, 1].map(|phase| FleetKey::new(phase, random.random()));
        KeyRing::new(1, 0, keys)
    }

    /// Makes the successor of `ring`: its next key issues from now on, and a new next key is added.
    ///
    /// The next key was spread with the previous ring, so every balancer knows it before it is
    /// used. The oldest key leaves the ring.
    pub fn rotate(&self, ring: &KeyRing, random: &mut impl Rng) -> KeyRing {
        let issuing = (ring.issuing() + 1) % PHASES;
        let next = (issuing + 1) % PHASES;
        let expired = (next + 1) % PHASES;
        let mut keys: Vec<FleetKey> = ring
            .keys()
            .iter()
            .filter(|key| key.phase() != next && key.phase() != expired)
            .cloned()
            .collect();
        keys.push(FleetKey::new(next, random.random()));
        keys.truncate(KEPT_KEYS);
        KeyRing::new(ring.version() + 1, issuing, keys)
    }

    /// Wraps a ring for the store and for other processes.
    ///
    /// # Panics
    ///
    /// Never: the ring is small, and its parts are numbers.
    pub fn wrap(&self, ring: &KeyRing, random: &mut impl Rng) -> Vec<u8> {
        let keys = ring.keys().iter().map(|key| StoredKey {
            phase: key.phase(),
            secret: *key.secret(),
        });
        let stored = StoredRing {
            version: ring.version(),
            issuing: ring.issuing(),
            keys: keys.collect(),
        };
        let mut sealed = serde_json::to_vec(&stored).expect("numbers can be written as JSON");
        let nonce: [u8; NONCE_LEN] = random.random();
        self.key()
            .seal_in_place_append_tag(
                Nonce::assume_unique_for_key(nonce),
                Aad::empty(),
                &mut sealed,
            )
            .expect("a key ring is shorter than the limit of AES-GCM");
        let mut document = nonce.to_vec();
        document.append(&mut sealed);
        document
    }

    /// Unwraps a ring.
    ///
    /// # Errors
    ///
    /// Returns [`WrapError::WrongSecret`] or [`WrapError::MalformedRing`].
    pub fn unwrap(&self, document: &[u8]) -> Result<KeyRing, WrapError> {
        let Some((nonce, sealed)) = document.split_first_chunk::<NONCE_LEN>() else {
            return WrongSecretSnafu.fail();
        };
        let mut sealed = sealed.to_vec();
        let nonce = Nonce::assume_unique_for_key(*nonce);
        let plain = self.key().open_in_place(nonce, Aad::empty(), &mut sealed);
        let Ok(plain) = plain else {
            return WrongSecretSnafu.fail();
        };
        let stored: StoredRing = serde_json::from_slice(plain).context(MalformedRingSnafu)?;
        let keys = stored
            .keys
            .iter()
            .map(|key| FleetKey::new(key.phase, key.secret));
        Ok(KeyRing::new(stored.version, stored.issuing, keys))
    }

    /// # Panics
    ///
    /// Never: the key has the length that the algorithm wants.
    fn key(&self) -> LessSafeKey {
        let key = UnboundKey::new(&AES_256_GCM, &self.wrapping).expect("a 32-byte AES-256 key");
        LessSafeKey::new(key)
    }
}
