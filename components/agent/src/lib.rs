//! The agent daemon, which runs on the same machine as a backend server.
//!
//! A traffic thread terminates the flows of callers, admits their requests and forwards them to the
//! server. A control thread announces the agent to balancers and maintains the version in force and
//! the key ring.

mod connection;
mod process;
mod request;

pub use process::{
    run,
    AgentError,
    AgentHandle, //
};
