//! Wire format between balancers and agents.
//!
//! Every datagram between two processes consists of a [`TunnelHeader`], a payload and an
//! authentication tag. A [`TunnelSealer`] makes the tag and a [`TunnelOpener`] checks it. Control
//! messages are [`ControlMessage`] values, in the payload of a datagram or in an encrypted frame on
//! a TCP connection.
//!
//! On the users' platform, processes exchange [`flow_datagram`]s and [`snapshot`]s instead.

pub mod control;
pub mod flow_datagram;
pub mod snapshot;

mod frame_codec;
mod packet_header;
mod tunnel_header;
mod tunnel_key;
mod tunnel_opener;
mod tunnel_sealer;

pub use control::ControlMessage;
pub use frame_codec::{
    FrameCodec,
    FrameError,
    FrameRole,
    CHALLENGE_LEN,
    MAX_FRAME_LEN, //
};
pub use packet_header::PacketHeader;
pub use tunnel_header::{
    DatagramKind,
    HeaderError,
    SecondCandidate,
    TunnelHeader,
    HEADER_LEN,
    MAX_DATAGRAM_LEN,
    OVERHEAD_LEN,
    TAG_LEN, //
};
pub use tunnel_key::TunnelKey;
pub use tunnel_opener::{
    OpenError,
    TunnelOpener, //
};
pub use tunnel_sealer::TunnelSealer;
