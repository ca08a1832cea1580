//! Queries to the agents that may hold the flows that are searched for.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4, //
};

use carobdrum_core::Millis;

use super::{
    LostFlowSearch,
    OpenQuery, //
};
use crate::{
    process::SearchAction,
    request::QueriedFlow, //
};

/// Limit of the flows of a query: 25 bytes each, so that the datagram fits into one frame.
const MAX_QUERY_FLOWS: usize = 48;

impl LostFlowSearch {
    /// Asks the agents that haven't answered, within the budget.
    pub(super) fn send_queries(&mut self, now: Millis, actions: &mut Vec<SearchAction>) {
        let mut due: BTreeMap<SocketAddrV4, Vec<usize>> = BTreeMap::new();
        for (index, search) in self.searches.iter().enumerate() {
            for agent in search.due_agents(now) {
                let indices = due.entry(agent).or_default();
                if indices.len() < MAX_QUERY_FLOWS {
                    indices.push(index);
                }
            }
        }
        // While the budget is too small for all agents, the rounds take turns.
        let is_next = |agent: &SocketAddrV4| self.last_asked.is_none_or(|last| *agent > last);
        let (next, others): (Vec<_>, Vec<_>) = due.into_iter().partition(|entry| is_next(&entry.0));
        self.last_asked = None;
        let mut last = None;
        for (agent, indices) in next.into_iter().chain(others) {
            if !self.budget.take(now) {
                self.last_asked = last;
                return;
            }
            last = Some(agent);
            self.send_query(agent, &indices, now, actions);
        }
    }

    fn send_query(
        &mut self,
        agent: SocketAddrV4,
        indices: &[usize],
        now: Millis,
        actions: &mut Vec<SearchAction>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        let mut flows = Vec::with_capacity(indices.len());
        let mut serials = Vec::with_capacity(indices.len());
        for index in indices {
            let search = &mut self.searches[*index];
            search.note_asked(agent, now);
            flows.push(search.flow);
            serials.push(search.serial);
        }
        self.queries.push_back(OpenQuery {
            id,
            agent,
            sent: now,
            serials,
            digest: QueriedFlow::digest(&flows),
        });
        actions.push(SearchAction::Query { agent, id, flows });
    }
}
