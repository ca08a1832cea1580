//! Decision logic of carobdrum, without I/O.
//!
//! Every type takes the current time as [`Millis`] and returns what should be done; none reads a
//! clock, opens a socket or starts a task. Modules are grouped by the life span of what they hold:
//! [`request`], [`connection`], [`version`] and [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

mod millis;

pub use millis::Millis;
