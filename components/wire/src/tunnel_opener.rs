//! Authentication of datagrams from other processes.

use carobdrum_core::connection::ReplayWindow;
use ring::aead::{
    Aad,
    LessSafeKey, //
};
use snafu::{
    ensure,
    ResultExt,
    Snafu, //
};

use crate::{
    tunnel_key::nonce_of,
    HeaderError,
    TunnelHeader,
    TunnelKey,
    HEADER_LEN,
    TAG_LEN, //
};

/// Reasons why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// The header is malformed.
    #[snafu(display("{source}"))]
    BadHeader {
        /// Error of the header's decoder.
        source: HeaderError,
    },
    /// The authentication tag is invalid.
    #[snafu(display("datagram has an invalid authentication tag"))]
    Forged,
    /// The datagram was received before, or is older than the replay window.
    #[snafu(display("datagram {counter} of this sender is a replay or too old"))]
    Replayed {
        /// Counter in the datagram's header.
        counter: u64,
    },
}

struct SenderState {
    sender: u64,
    last_use: u64,
    key: LessSafeKey,
    window: ReplayWindow,
}

/// Authenticates datagrams and keeps a replay window for each sender, in a bounded table.
///
/// A sender is added to the table only with a valid tag. If the table is full, the sender that was
/// heard least recently is evicted.
pub struct TunnelOpener {
    key: TunnelKey,
    capacity: usize,
    uses: u64,
    senders: Vec<SenderState>,
}

impl TunnelOpener {
    /// Creates an opener for at most `capacity` senders.
    pub fn new(key: TunnelKey, capacity: usize) -> TunnelOpener {
        TunnelOpener {
            key,
            capacity: capacity.max(1),
            uses: 0,
            senders: Vec::new(),
        }
    }

    /// Authenticates a datagram and returns its header and payload.
    ///
    /// # Errors
    ///
    /// Returns an [`OpenError`] if the datagram is malformed, forged or replayed.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<(TunnelHeader, &'a [u8]), OpenError> {
        let header = TunnelHeader::decode(datagram).context(BadHeaderSnafu)?;
        let (body, tag) = datagram.split_at(datagram.len() - TAG_LEN);
        let authenticated = &body[..header.kind.authenticated_len(body.len())];
        self.uses += 1;
        let found = self
            .senders
            .binary_search_by_key(&header.sender, |state| state.sender);
        let index = match found {
            Ok(index) => {
                ensure!(
                    is_tag_valid(&self.senders[index].key, header.counter, authenticated, tag),
                    ForgedSnafu
                );
                index
            }
            Err(_) => {
                let key = self.key.sender_key(header.sender);
                ensure!(
                    is_tag_valid(&key, header.counter, authenticated, tag),
                    ForgedSnafu
                );
                self.insert(header.sender, key)
            }
        };
        let state = &mut self.senders[index];
        state.last_use = self.uses;
        let counter = header.counter;
        ensure!(state.window.accept(counter), ReplayedSnafu { counter });
        Ok((header, &body[HEADER_LEN..]))
    }

    fn insert(&mut self, sender: u64, key: LessSafeKey) -> usize {
        if self.senders.len() >= self.capacity {
            let oldest = self
                .senders
                .iter()
                .enumerate()
                .min_by_key(|(_, state)| state.last_use);
            if let Some((index, _)) = oldest {
                self.senders.remove(index);
            }
        }
        let index = self.senders.partition_point(|state| state.sender < sender);
        let state = SenderState {
            sender,
            last_use: self.uses,
            key,
            window: ReplayWindow::default(),
        };
        self.senders.insert(index, state);
        index
    }
}

/// Returns whether the tag is valid; it is compared in constant time.
fn is_tag_valid(key: &LessSafeKey, counter: u64, body: &[u8], tag: &[u8]) -> bool {
    let mut sealed = [0; TAG_LEN];
    sealed.copy_from_slice(tag);
    key.open_in_place(nonce_of(counter), Aad::from(body), &mut sealed)
        .is_ok()
}
