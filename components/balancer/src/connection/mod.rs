//! State per flow, socket or path, and the decisions about datagrams.

mod path_table;
mod reset_packet;
mod route_decision;
mod send_batch;
mod service_socket;

pub(crate) use path_table::{
    PathTable,
    SOURCE_PORTS, //
};
pub(crate) use reset_packet::reset_packet;
pub use route_decision::{
    DropReason,
    RouteDecision, //
};
pub(crate) use send_batch::SendBatch;
pub(crate) use service_socket::{
    BatchSocket,
    ReceiveBuffer, //
};
