//! Decisions about opaque flows, whose packets the system forwards but can't change.
//!
//! This crate does no I/O and reads no clock. A balancer's traffic thread asks a [`FlowRouter`] for
//! the candidates of each packet; the agent beside a backend server asks a [`FlowTracker`] what to
//! do with each packet in either direction.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use connection::{
    FlowTracker,
    TrackerAction,
    TrackerSettings, //
};
pub use process::{
    FlowRouter,
    RouteAction,
    RouterOptions, //
};
pub use request::{
    FlowKey,
    FlowPacket,
    PacketKind, //
};
