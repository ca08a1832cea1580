//! Choice between accepting first packets and redirecting them to the second candidate.

use std::net::SocketAddrV4;

use carobdrum_core::{
    connection::{
        decide_redirect,
        RedirectCache,
        RedirectDecision,
        RedirectInput,
        REDIRECT_MARGIN, //
    },
    Millis,
};
use carobdrum_wire::SecondCandidate;

/// Number of handshakes whose decisions are kept.
const CAPACITY: usize = 512;

/// Decides once per handshake, so that all its datagrams go to the same agent.
pub(crate) struct RedirectTable {
    cache: RedirectCache<Option<SocketAddrV4>>,
}

impl RedirectTable {
    pub(crate) fn new() -> RedirectTable {
        RedirectTable {
            cache: RedirectCache::new(CAPACITY),
        }
    }

    /// Returns the agent that a first packet is redirected to, or `None` if this agent handles it.
    ///
    /// This agent also handles a flow for which neither candidate has room: its endpoint refuses
    /// the flow, so the caller is told at once.
    pub(crate) fn decide(
        &mut self,
        now: Millis,
        id: &[u8],
        own_load: u8,
        has_room: bool,
        second: Option<SecondCandidate>,
    ) -> Option<SocketAddrV4> {
        if let Some(decided) = self.cache.get(now, id) {
            return decided;
        }
        let input = RedirectInput {
            own_load,
            second_load: second.map(|second| second.load),
            margin: REDIRECT_MARGIN,
            has_room,
        };
        let decided = match decide_redirect(input) {
            RedirectDecision::Redirect => second.map(|second| second.agent),
            RedirectDecision::Accept | RedirectDecision::Refuse => None,
        };
        self.cache.insert(now, id, decided);
        decided
    }
}
