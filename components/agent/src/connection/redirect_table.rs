//! Where first packets go: to this agent or to the second candidate.

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

/// Handshakes remembered at once.
const CAPACITY: usize = 512;

/// Decides once for each handshake, so that all its datagrams go the same way.
pub(crate) struct RedirectTable {
    cache: RedirectCache<Option<SocketAddrV4>>,
}

impl RedirectTable {
    /// Creates an empty table.
    pub(crate) fn new() -> RedirectTable {
        RedirectTable {
            cache: RedirectCache::new(CAPACITY),
        }
    }

    /// Returns the agent that a first packet is passed to, or `None` if it stays.
    ///
    /// A flow that has room nowhere stays too: the endpoint refuses it, so the caller hears at once.
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
