//! The agent daemon beside a backend server.
//!
//! A traffic thread terminates the flows of callers, admits their requests and runs them on the
//! server; a control thread announces the server and keeps the version in force and the keys.

mod connection;
mod process;
mod request;

pub use process::{
    run,
    AgentError,
    AgentHandle, //
};
