//! Actions of a search for lost flows.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use crate::request::{
    FlowKey,
    QueriedFlow, //
};

/// Reason for which the search for a flow ended without a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchEnd {
    /// An agent announced itself as the owner.
    Found,
    /// The caller opened the flow anew, or reset it.
    Reopened,
    /// The caller has acknowledged other data since, so a server has answered it.
    Continued,
    /// This agent hasn't shown in time that its server doesn't hold the flow.
    Unanswered(SocketAddrV4),
    /// No list of agents was read from the store in time.
    Unlisted,
    /// Another process has shown a newer configuration.
    Outdated,
    /// Too many flows are searched for, or too many agents may hold this one.
    Limit,
    /// No agent is known.
    NoAgent,
}

impl SearchEnd {
    /// Returns the name that logs and metrics show.
    pub fn name(self) -> &'static str {
        match self {
            SearchEnd::Found => "found",
            SearchEnd::Reopened => "reopened",
            SearchEnd::Continued => "continued",
            SearchEnd::Unanswered(_) => "unanswered",
            SearchEnd::Unlisted => "unlisted",
            SearchEnd::Outdated => "outdated",
            SearchEnd::Limit => "limit",
            SearchEnd::NoAgent => "no_agent",
        }
    }

    /// Returns the agent that is the reason, if there is one.
    pub fn agent(self) -> Option<SocketAddrV4> {
        match self {
            SearchEnd::Unanswered(agent) => Some(agent),
            _ => None,
        }
    }
}

/// Action that a balancer carries out for its search for lost flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchAction {
    /// Ask an agent which of the flows its server certainly doesn't hold.
    Query {
        /// The agent.
        agent: SocketAddrV4,
        /// Number of the query.
        id: u64,
        /// The flows.
        flows: Vec<QueriedFlow>,
    },
    /// Send packets of a flow to an agent that doesn't know whether its server holds it. The server answers or returns them.
    Offer {
        /// The agent.
        agent: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// The packets, as the caller sent them.
        packets: Vec<Bytes>,
    },
    /// Reset a flow that no server holds.
    Reset {
        /// The flow, with the sequence number of the reset.
        flow: QueriedFlow,
        /// Number of the agents that may have held it.
        agents: usize,
        /// Duration of the search.
        time: Millis,
    },
    /// Send nothing; report that the search for a flow ended without a reset.
    End(FlowKey, SearchEnd),
}
