//! What lives for one packet.

mod flow_key;
mod flow_packet;
mod forward_head;

pub use flow_key::FlowKey;
pub use flow_packet::{
    FlowPacket,
    PacketKind, //
};
pub use forward_head::{
    BestOffer,
    ForwardHead, //
};
