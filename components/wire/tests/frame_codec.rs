//! Encrypted frames on a control connection.

mod common;

use bytes::BytesMut;
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchVersion,
        VersionDocument, //
    },
    ControlMessage,
    FrameCodec,
    FrameError,
    FrameRole,
    TunnelKey,
    MAX_FRAME_LEN, //
};
use common::seeded;
use proptest::prelude::*;
use tokio_util::codec::{
    Decoder,
    Encoder, //
};

/// Length of the length field before each frame, in bytes.
const PREFIX_LEN: usize = 4;

fn codec(challenge: u8, role: FrameRole) -> FrameCodec {
    FrameCodec::new(&TunnelKey::new(&[3; 32]), &[challenge; 16], role)
}

fn request(known_version: u32) -> ControlMessage {
    ControlMessage::new(ControlBody::FetchVersion(FetchVersion { known_version }))
}

/// Returns the frames of a client that sends three requests.
fn frames() -> [BytesMut; 3] {
    let mut client = codec(1, FrameRole::Client);
    [1, 2, 3].map(|known_version| {
        let mut buffer = BytesMut::new();
        client.encode(request(known_version), &mut buffer).unwrap();
        buffer
    })
}

fn is_forged(decoded: Result<Option<ControlMessage>, FrameError>) -> bool {
    matches!(decoded, Err(FrameError::ForgedFrame))
}

/// Guards against requests that don't arrive as they were sent.
#[test]
fn frames_arrive_in_order() {
    let mut server = codec(1, FrameRole::Server);
    for (mut frame, known_version) in frames().into_iter().zip(1..) {
        assert_eq!(
            server.decode(&mut frame).unwrap(),
            Some(request(known_version))
        );
    }
}

/// Guards against a replayed, reordered or reflected frame that is accepted as a new request.
#[test]
fn frame_is_accepted_once_and_in_order() {
    let [mut first, mut second, _] = frames();
    let mut replayed = first.clone();
    let mut server = codec(1, FrameRole::Server);
    assert!(is_forged(server.decode(&mut second.clone())), "reordered");
    let mut server = codec(1, FrameRole::Server);
    assert!(server.decode(&mut first.clone()).is_ok());
    assert!(is_forged(server.decode(&mut replayed)), "replayed");
    let mut client = codec(1, FrameRole::Client);
    assert!(is_forged(client.decode(&mut first)), "reflected");
    let mut later = codec(2, FrameRole::Server);
    assert!(is_forged(later.decode(&mut second)), "other connection");
}

/// Guards against an unauthenticated sender that makes the receiver allocate memory without limit.
#[test]
fn oversized_frame_is_rejected() {
    let mut server = codec(1, FrameRole::Server);
    let len = MAX_FRAME_LEN as u32 + 1;
    let mut prefix = BytesMut::from(&len.to_be_bytes()[..]);
    let refused = server.decode(&mut prefix);
    assert!(matches!(refused, Err(FrameError::Connection { .. })));
    let document = VersionDocument {
        number: 1,
        document: vec![0; MAX_FRAME_LEN],
    };
    let message = ControlMessage::new(ControlBody::Version(document));
    let mut client = codec(1, FrameRole::Client);
    assert!(client.encode(message, &mut BytesMut::new()).is_err());
}

proptest! {
    #![proptest_config(seeded(2_000))]

    /// Guards against changed frames that are accepted, and against a changed length that shifts
    /// the boundary between frames.
    #[test]
    fn flipped_bit_is_rejected(position in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let [mut stream, second, third] = frames();
        let position = position.index(stream.len());
        stream[position] ^= 1 << bit;
        stream.extend_from_slice(&second);
        stream.extend_from_slice(&third);
        let decoded = codec(1, FrameRole::Server).decode(&mut stream);
        if position >= PREFIX_LEN {
            prop_assert!(is_forged(decoded));
        } else {
            prop_assert!(!matches!(decoded, Ok(Some(_))));
        }
    }

    /// Guards against a panic of the control thread on bytes of an unauthenticated sender.
    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut stream = BytesMut::from(&bytes[..]);
        let decoded = codec(1, FrameRole::Server).decode(&mut stream);
        prop_assert!(!matches!(decoded, Ok(Some(_))));
    }
}
