//! Data with the lifetime of one packet.

mod flow_key;
mod flow_packet;
mod forward_header;
mod queried_flow;

pub use flow_key::FlowKey;
pub(crate) use flow_packet::FIRST_COPY_LIFETIME;
pub use flow_packet::{
    FlowPacket,
    PacketKind, //
};
pub use forward_header::{
    BestOffer,
    ForwardHeader, //
};
pub use queried_flow::QueriedFlow;
