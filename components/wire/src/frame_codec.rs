//! Encrypted frames on a TCP connection between processes.

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
/// Longest frame, in bytes. It fits a configuration version, which the store limits to 1 MB.
pub const MAX_FRAME_LEN: usize = 2 << 20;

/// Reasons why a frame is rejected.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed, or a frame is too long.
    #[snafu(display("control connection failed: {source}"), context(false))]
    Connection {
        /// Error of the connection, or of the length check.
        source: std::io::Error,
    },
    /// The frame isn't from a process of this deployment, or isn't the next one of its connection.
    #[snafu(display("control frame has an invalid authentication tag"))]
    ForgedFrame,
    /// The frame doesn't contain a control message.
    #[snafu(display("malformed control message: {source}"))]
    Malformed {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
}

/// Endpoint of the connection for which a codec works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRole {
    /// The endpoint that opened the connection.
    Client,
    /// The endpoint that accepted it.
    Server,
}

/// Codec of length-delimited control messages, each encrypted and authenticated with AES-GCM.
///
/// Each direction has its own key, derived from the server's challenge, and counts its frames, so
/// that none can be replayed, reordered or reflected.
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
    send_key: LessSafeKey,
    sent: u64,
    receive_key: LessSafeKey,
    received: u64,
}

impl FrameCodec {
    /// Creates the codec for one endpoint of a connection.
    pub fn new(key: &TunnelKey, challenge: &[u8; CHALLENGE_LEN], role: FrameRole) -> FrameCodec {
        let client = key.connection_key(challenge, b"client frames ");
        let server = key.connection_key(challenge, b"server frames ");
        let (send_key, receive_key) = match role {
            FrameRole::Client => (client, server),
            FrameRole::Server => (server, client),
        };
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_LEN)
            .new_codec();
        FrameCodec {
            length_codec,
            send_key,
            sent: 0,
            receive_key,
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
        self.send_key
            .seal_in_place_append_tag(nonce_of(self.sent), Aad::empty(), &mut sealed)
            .expect("a frame is shorter than the limit of AES-GCM");
        self.length_codec.encode(Bytes::from(sealed), buffer)?;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = ControlMessage;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<ControlMessage>, FrameError> {
        let Some(mut sealed) = self.length_codec.decode(buffer)? else {
            return Ok(None);
        };
        self.received += 1;
        let plain =
            self.receive_key
                .open_in_place(nonce_of(self.received), Aad::empty(), &mut sealed);
        let Ok(plain) = plain else {
            return ForgedFrameSnafu.fail();
        };
        let message = ControlMessage::decode(&*plain).context(MalformedSnafu)?;
        Ok(Some(message))
    }
}
