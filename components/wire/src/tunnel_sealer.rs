//! Creation of authenticated datagrams.

use ring::aead::{
    Aad,
    LessSafeKey, //
};

use crate::{
    tunnel_key::nonce_of,
    TunnelHeader,
    TunnelKey,
    HEADER_LEN, //
};

/// Creates the authenticated datagrams of one sending thread.
pub struct TunnelSealer {
    sender: u64,
    counter: u64,
    key: LessSafeKey,
}

impl TunnelSealer {
    /// Creates a sealer; `sender` must be random, so that no two threads of the fleet share it.
    pub fn new(key: &TunnelKey, sender: u64) -> TunnelSealer {
        TunnelSealer {
            sender,
            counter: 0,
            key: key.sender_key(sender),
        }
    }

    /// Appends the datagram of `header` and `payload` to `buffer`.
    ///
    /// The sealer sets the header's sender and counter. Nothing is allocated while `buffer` has
    /// capacity.
    ///
    /// # Panics
    ///
    /// Never: AES-GCM fails only for inputs of more than 64 GiB.
    pub fn seal(&mut self, header: &TunnelHeader, payload: &[u8], buffer: &mut Vec<u8>) {
        self.counter += 1;
        let header = TunnelHeader {
            sender: self.sender,
            counter: self.counter,
            ..*header
        };
        let start = buffer.len();
        let mut bytes = [0; HEADER_LEN];
        header.encode(&mut bytes);
        buffer.extend_from_slice(&bytes);
        buffer.extend_from_slice(payload);
        let authenticated = header.kind.authenticated_len(buffer.len() - start);
        let tag = self
            .key
            .seal_in_place_separate_tag(
                nonce_of(self.counter),
                Aad::from(&buffer[start..start + authenticated]),
                &mut [],
            )
            .expect("a datagram is shorter than the limit of AES-GCM");
        buffer.extend_from_slice(tag.as_ref());
    }
}
