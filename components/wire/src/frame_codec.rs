//! Sealed frames on a TCP connection between processes.

use bytes::{
    Bytes,
    BytesMut, //
};
use prost::Message;
use ring::aead::{
    Aad,
    LessSafeKey, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use tokio_util::codec::{
    Decoder,
    Encoder,
    LengthDelimitedCodec, //
};

use crate::{
    tunnel_key::nonce_of,
    ControlMessage,
    TunnelKey, //
};

/// Length of the random challenge that a server sends first, in bytes.
pub const CHALLENGE_LEN: usize = 16;
/// Longest frame, in bytes; a version fits the store's limit of a megabyte.
pub const MAX_FRAME_LEN: usize = 2 << 20;

/// Reasons why a frame is refused.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed, or a frame is too long.
    #[snafu(display("control connection failed: {source}"), context(false))]
    Connection {
        /// What failed.
        source: std::io::Error,
    },
    /// The frame isn't from a process of this deployment.
    #[snafu(display("the tag doesn't fit the frame"))]
    ForgedFrame,
    /// The frame holds no control message.
    #[snafu(display("malformed control message: {source}"))]
    Malformed {
        /// What is wrong.
        source: prost::DecodeError,
    },
}

/// The end of the connection that a codec serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRole {
    /// The end that opened the connection.
    Client,
    /// The end that accepted it.
    Server,
}

/// Codec of sealed, length-delimited control messages.
///
/// Each direction has its own key, derived from the server's challenge, and counts its frames, so
/// that none can be repeated, reordered or sent back.
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    sending: LessSafeKey,
    sent: u64,
    receiving: LessSafeKey,
    received: u64,
}

impl FrameCodec {
    /// Creates the codec for one end of a connection.
    pub fn new(key: &TunnelKey, challenge: &[u8; CHALLENGE_LEN], role: FrameRole) -> FrameCodec {
        let client = key.connection_key(challenge, b"client frames ");
        let server = key.connection_key(challenge, b"server frames ");
        let (sending, receiving) = match role {
            FrameRole::Client => (client, server),
            FrameRole::Server => (server, client),
        };
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_LEN)
            .new_codec();
        FrameCodec {
            lengths,
            sending,
            sent: 0,
            receiving,
            received: 0,
        }
    }
}

impl Encoder<ControlMessage> for FrameCodec {
    type Error = FrameError;

    /// # Panics
    ///
    /// Never: AES-GCM fails only above 64 GiB.
    fn encode(&mut self, message: ControlMessage, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let mut sealed = message.encode_to_vec();
        self.sent += 1;
        self.sending
            .seal_in_place_append_tag(nonce_of(self.sent), Aad::empty(), &mut sealed)
            .expect("a frame is shorter than the limit of AES-GCM");
        self.lengths.encode(Bytes::from(sealed), buffer)?;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = ControlMessage;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<ControlMessage>, FrameError> {
        let Some(mut sealed) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        self.received += 1;
        let plain =
            self.receiving
                .open_in_place(nonce_of(self.received), Aad::empty(), &mut sealed);
        let Ok(plain) = plain else {
            return ForgedFrameSnafu.fail();
        };
        let message = ControlMessage::decode(&*plain).context(MalformedSnafu)?;
        Ok(Some(message))
    }
}
