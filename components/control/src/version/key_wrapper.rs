//! Encryption of the key ring under a key derived from the bootstrap secret.

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

/// Number of key phases; successive keys use them in turn.
const PHASE_COUNT: u8 = 4;
/// Keys that a ring holds: the previous one, the issuing one and the next one.
const MAX_KEYS: usize = 3;

/// Reasons why a wrapped key ring can't be unwrapped.
#[derive(Debug, Snafu)]
pub enum WrapError {
    /// The document is shorter than a nonce, is damaged, or was wrapped under another secret.
    #[snafu(display("the key ring was not wrapped under this bootstrap secret"))]
    WrongSecret,
    /// The decrypted document is not a key ring in JSON.
    #[snafu(display("malformed key ring: {source}"))]
    MalformedRing {
        /// Error of the JSON parser.
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
    /// Unix time in milliseconds; earlier releases don't write it.
    #[serde(default)]
    created_ms: Option<u64>,
    keys: Vec<StoredKey>,
}

/// Encrypts (wraps) and decrypts (unwraps) key rings, and generates new ones.
#[derive(Clone)]
pub struct KeyWrapper {
    wrapping: [u8; 32],
}

impl KeyWrapper {
    /// Creates the wrapper of a deployment from its bootstrap secret.
    pub fn new(bootstrap: &[u8; 32]) -> KeyWrapper {
        KeyWrapper {
            wrapping: FleetKey::new(0, *bootstrap).derive32(b"key ring wrapping"),
        }
    }

    /// Generates the first ring of a deployment.
    pub fn initial_ring(&self, random: &mut impl Rng) -> KeyRing {
        let keys = [0, 1].map(|phase| FleetKey::new(phase, random.random()));
        KeyRing::new(1, 0, keys)
    }

    /// Generates the successor of `ring`: its next key becomes the issuing key, and a new next key
    /// is added.
    ///
    /// The next key was distributed with the previous ring, so balancers know it before IDs are
    /// issued under it. The oldest key is removed.
    pub fn rotate(&self, ring: &KeyRing, random: &mut impl Rng) -> KeyRing {
        let issuing = (ring.issuing() + 1) % PHASE_COUNT;
        let next = (issuing + 1) % PHASE_COUNT;
        let expired = (next + 1) % PHASE_COUNT;
        let mut keys: Vec<FleetKey> = ring
            .keys()
            .iter()
            .filter(|key| key.phase() != next && key.phase() != expired)
            .cloned()
            .collect();
        keys.push(FleetKey::new(next, random.random()));
        keys.truncate(MAX_KEYS);
        KeyRing::new(ring.version() + 1, issuing, keys)
    }

    /// Encrypts a ring for the store and for other processes. The document starts with its nonce.
    ///
    /// # Panics
    ///
    /// Never: the ring consists of numbers and is shorter than the limit of AES-GCM.
    pub fn wrap(&self, ring: &KeyRing, random: &mut impl Rng) -> Vec<u8> {
        let keys = ring.keys().iter().map(|key| StoredKey {
            phase: key.phase(),
            secret: *key.secret(),
        });
        let stored = StoredRing {
            version: ring.version(),
            issuing: ring.issuing(),
            created_ms: ring.creation_ms(),
            keys: keys.collect(),
        };
        let mut sealed = serde_json::to_vec(&stored).expect("numbers can be serialised as JSON");
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

    /// Decrypts a wrapped ring.
    ///
    /// # Errors
    ///
    /// Returns [`WrapError::WrongSecret`] if the document can't be authenticated, and
    /// [`WrapError::MalformedRing`] if its content is not a key ring.
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
        Ok(KeyRing::new(stored.version, stored.issuing, keys).with_creation_ms(stored.created_ms))
    }

    /// # Panics
    ///
    /// Never: the key has the length that the algorithm requires.
    fn key(&self) -> LessSafeKey {
        let key =
            UnboundKey::new(&AES_256_GCM, &self.wrapping).expect("the AES-256 key has 32 bytes");
        LessSafeKey::new(key)
    }
}
