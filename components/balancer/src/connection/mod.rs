//! What lives for one flow, socket or path.

mod path_table;
mod reset_packet;
mod route_verdict;
mod send_batch;
mod service_socket;

pub(crate) use path_table::{
    PathTable,
    PATH_PORTS, //
};
pub(crate) use reset_packet::reset_packet;
pub use route_verdict::{
    DropReason,
    RouteVerdict, //
};
pub(crate) use send_batch::SendBatch;
pub(crate) use service_socket::{
    BatchSocket,
    ReceiveBuffer, //
};
