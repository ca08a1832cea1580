//! Decisions about opaque flows: flows whose packets the system forwards but can't change.
//!
//! Nothing here does I/O or reads a clock. A balancer's traffic thread asks a [`FlowRouter`] for
//! the candidates of each packet; the agent beside a backend server asks a [`FlowKeeper`] what to
//! do with each packet in either direction.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use connection::{
    FlowKeeper,
    KeeperAction,
    KeeperSettings, //
};
pub use process::{
    FlowRouter,
    RouteAction, //
};
pub use request::{
    FlowKey,
    FlowPacket,
    PacketKind, //
};
