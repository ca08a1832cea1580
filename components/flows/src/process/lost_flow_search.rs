//! Search of a balancer for flows whose owner no candidate knows, or that no live server holds.

mod flow_search;
mod offers;
mod queries;

use std::{
    collections::VecDeque,
    net::SocketAddrV4, //
};

use carobdrum_core::Millis;
use hashbrown::HashMap;

use self::flow_search::{
    FlowSearch,
    SEARCH_TIMEOUT, //
};
use super::{
    OwnerLookup,
    QueryBudget,
    QueryReply,
    SearchAction,
    SearchEnd, //
};
use crate::request::{
    FlowKey,
    QueriedFlow, //
};

/// Interval between ticks, in which queries are sent and flows reset.
const TICK_INTERVAL: Millis = Millis(20);

/// Limit of the flows that are searched for at a time.
const MAX_SEARCHES: usize = 4_096;

/// Limit of the agents of all searches together, which bounds the memory to about 5 MB.
const MAX_ANSWERS: usize = 131_072;

/// Limit of the agents of one search. More can't be asked before the search ends.
const MAX_OWNERS: usize = 1_600;

/// Interval between resets by one balancer while their searches are younger than `MAX_RESET_DELAY`. Callers open
/// new flows right after a reset; all at once would delay the responses to new requests.
const RESET_INTERVAL: Millis = Millis(20);

/// Age of a search from which its flow is reset without pacing, so that its caller has time for another
/// attempt. If more than about 40 searches begin together, the others are reset together at this age.
const MAX_RESET_DELAY: Millis = Millis(800);

/// A query whose reply counts.
#[derive(Debug)]
struct OpenQuery {
    id: u64,
    agent: SocketAddrV4,
    sent: Millis,
    /// Numbers of the searches, in the order of their flows in the query.
    serials: Vec<u64>,
    digest: u64,
}

/// Agents that may hold flows, by the address that the flows were opened to.
type OwnersByAddress = HashMap<SocketAddrV4, Vec<SocketAddrV4>>;

/// Search of a balancer for flows that none of their candidates holds. It finds the owner, or resets a flow that no live
/// server holds.
///
/// An owner that knows the flow announces itself. One that was restarted doesn't know it, and gets the caller's packets,
/// which its server answers or returns.
///
/// A flow is reset only once every agent that may hold it has shown in this search that its server
/// doesn't, the list of agents was read from the store after the search began, and no process has shown a
/// newer configuration. The server that holds a flow did so before the search, so the order of the
/// answers doesn't matter.
#[derive(Debug)]
pub struct LostFlowSearch {
    is_enabled: bool,
    /// Searches in the order of their numbers.
    searches: Vec<FlowSearch>,
    /// Sum of the numbers of agents of all searches.
    owner_count: usize,
    /// Number of the packets that all searches keep.
    packet_count: usize,
    /// Number of the search for each flow.
    serials: HashMap<FlowKey, u64>,
    next_serial: u64,
    /// Queries in the order of their numbers.
    queries: VecDeque<OpenQuery>,
    next_id: u64,
    budget: QueryBudget,
    /// Limit of the agents that get packets of flows.
    offer_budget: QueryBudget,
    next_tick: Millis,
    /// Last agent that was asked before the budget was used up, and after which the next round begins.
    last_asked: Option<SocketAddrV4>,
    listing_wanted: Option<Millis>,
    /// Time from which the next flow may be reset.
    next_reset: Millis,
}

impl LostFlowSearch {
    /// Creates the state without flows. `seed` is a random number from which queries are numbered, so
    /// that replies to an earlier process at the same address aren't taken for replies to this one.
    pub fn new(is_enabled: bool, seed: u64) -> LostFlowSearch {
        LostFlowSearch {
            is_enabled,
            searches: Vec::new(),
            owner_count: 0,
            packet_count: 0,
            serials: HashMap::new(),
            next_serial: 0,
            queries: VecDeque::new(),
            // The numbers grow and never wrap.
            next_id: seed >> 1,
            budget: QueryBudget::default(),
            offer_budget: QueryBudget::default(),
            next_tick: Millis(0),
            last_asked: None,
            listing_wanted: None,
            next_reset: Millis(0),
        }
    }

    /// Returns the number of flows that are searched for.
    pub fn len(&self) -> usize {
        self.searches.len()
    }

    /// Returns whether no flow is searched for.
    pub fn is_empty(&self) -> bool {
        self.searches.is_empty()
    }

    /// Returns whether a flow is searched for.
    pub fn contains(&self, key: FlowKey) -> bool {
        self.serials.contains_key(&key)
    }

    /// Returns the time for which a newer list of agents is needed; `None` until a search needs one.
    pub fn listing_wanted(&self) -> Option<Millis> {
        self.listing_wanted
    }

    /// Returns when [`LostFlowSearch::tick`] is due next; `None` if no flow is searched for.
    pub fn next_tick(&self) -> Option<Millis> {
        (!self.searches.is_empty()).then_some(self.next_tick)
    }

    /// Begins the search for a flow that no candidate holds, unless it goes on already; returns whether
    /// a new search began.
    pub fn begin(
        &mut self,
        flow: QueriedFlow,
        lookup: OwnerLookup<'_>,
        now: Millis,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        if !self.is_enabled {
            return false;
        }
        if let Some(search) = self.find(flow.key) {
            let is_same = search.flow == flow;
            if search.has_ended(now) {
                let end = end_cause(search, lookup);
                self.end(flow.key, end, actions);
            } else if is_same {
                return false;
            } else {
                self.end(flow.key, SearchEnd::Continued, actions);
            }
        }
        if self.searches.len() >= MAX_SEARCHES {
            actions.push(SearchAction::End(flow.key, SearchEnd::Limit));
            return false;
        }
        let owners = lookup.owners(flow.key.service_address, now);
        if owners.len() > MAX_OWNERS || self.owner_count + owners.len() > MAX_ANSWERS {
            actions.push(SearchAction::End(flow.key, SearchEnd::Limit));
            return false;
        }
        if owners.is_empty() {
            actions.push(SearchAction::End(flow.key, SearchEnd::NoAgent));
            return false;
        }
        if self.searches.is_empty() {
            self.next_tick = self.next_tick.max(now);
        }
        let mut search = FlowSearch::new(self.next_serial, flow, now);
        search.set_owners(&owners);
        self.owner_count += search.owner_count();
        self.serials.insert(flow.key, self.next_serial);
        self.next_serial += 1;
        self.searches.push(search);
        true
    }

    /// Ends the search for a flow whose caller has opened it anew or has reset it.
    pub fn note_reopened(&mut self, key: FlowKey, actions: &mut Vec<SearchAction>) {
        self.end(key, SearchEnd::Reopened, actions);
    }

    /// Ends the search for a flow whose caller has sent a packet with another acknowledgement number, since
    /// it has heard of a server meanwhile.
    pub fn note_progress(&mut self, flow: QueriedFlow, actions: &mut Vec<SearchAction>) {
        let search = self.find(flow.key);
        if search.is_some_and(|search| search.flow != flow) {
            self.end(flow.key, SearchEnd::Continued, actions);
        }
    }

    /// Ends the search for a flow whose owner has announced itself.
    pub fn note_owner(&mut self, key: FlowKey, actions: &mut Vec<SearchAction>) {
        self.end(key, SearchEnd::Found, actions);
    }

    /// Applies the reply of an agent that was received from the address `from`. Only the first reply to
    /// an open query of this process counts, and only if its agent has read the flows that were asked for.
    pub fn handle_reply(
        &mut self,
        from: SocketAddrV4,
        reply: &QueryReply,
        lookup: OwnerLookup<'_>,
        now: Millis,
    ) {
        let Ok(index) = self
            .queries
            .binary_search_by_key(&reply.id, |query| query.id)
        else {
            return;
        };
        let query = &self.queries[index];
        if query.agent != reply.agent || from != reply.agent || query.digest != reply.digest {
            return;
        }
        let count = query.serials.len();
        let is_listed = |position: &u32| (*position as usize) < count;
        if !reply.absent.iter().all(is_listed) {
            return;
        }
        let Some(query) = self.queries.remove(index) else {
            return;
        };
        let is_outdated = lookup
            .config
            .is_none_or(|config| config.revision < reply.revision);
        if now.since(query.sent) >= SEARCH_TIMEOUT || is_outdated {
            return;
        }
        for (position, serial) in (0..).zip(query.serials) {
            let Ok(index) = self.index_of(serial) else {
                continue;
            };
            let search = &mut self.searches[index];
            if reply.absent.contains(&position) {
                search.note_absent(query.agent);
            } else {
                search.note_unsure(query.agent);
            }
        }
    }

    /// Resets the flows that no agent holds, ends the searches that have taken too long, and asks the
    /// agents that haven't answered.
    pub fn tick(&mut self, lookup: OwnerLookup<'_>, now: Millis, actions: &mut Vec<SearchAction>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now.plus(TICK_INTERVAL);
        let is_open = |query: &OpenQuery| now.since(query.sent) < SEARCH_TIMEOUT;
        while self.queries.front().is_some_and(|query| !is_open(query)) {
            self.queries.pop_front();
        }
        let mut owners = OwnersByAddress::new();
        let mut index = 0;
        // The oldest searches come first, since their callers have the least time left.
        while let Some(search) = self.searches.get(index) {
            if search.has_ended(now) {
                let end = end_cause(search, lookup);
                self.end(search.flow.key, end, actions);
            } else if !self.reset_if_lost(index, lookup, &mut owners, now, actions) {
                self.offer_packets(index, lookup, now, actions);
                index += 1;
            }
        }
        self.send_queries(now, actions);
    }

    /// Resets the flow of the search at `index`, if it is certainly lost; returns whether it did.
    fn reset_if_lost(
        &mut self,
        index: usize,
        lookup: OwnerLookup<'_>,
        owners: &mut OwnersByAddress,
        now: Millis,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let search = &mut self.searches[index];
        let address = search.flow.key.service_address;
        let owners = owners
            .entry(address)
            .or_insert_with(|| lookup.owners(address, now));
        self.owner_count -= search.owner_count();
        search.set_owners(owners);
        self.owner_count += search.owner_count();
        if search.has_ended(now) || search.owner_count() == 0 || !lookup.is_config_current() {
            return false;
        }
        // An agent without an entry counts as gone only by further listings.
        let needs_answer = |agent: SocketAddrV4| !lookup.agents.lacks_entry(agent);
        if search.pending_agents().any(needs_answer) {
            return false;
        }
        if lookup.agents.confirmed_since() < Some(search.began) {
            self.listing_wanted = self.listing_wanted.max(Some(search.began));
            return false;
        }
        if search.pending_agents().next().is_some() {
            return false;
        }
        let is_paced = now < self.next_reset && now.since(search.began) < MAX_RESET_DELAY;
        if is_paced {
            return false;
        }
        self.next_reset = now.plus(RESET_INTERVAL);
        actions.push(SearchAction::Reset {
            flow: search.flow,
            agents: search.owner_count(),
            time: now.since(search.began),
        });
        let key = search.flow.key;
        self.remove(key);
        true
    }

    fn find(&self, key: FlowKey) -> Option<&FlowSearch> {
        let index = self.index_of(*self.serials.get(&key)?).ok()?;
        Some(&self.searches[index])
    }

    fn index_of(&self, serial: u64) -> Result<usize, usize> {
        self.searches
            .binary_search_by_key(&serial, |search| search.serial)
    }

    fn end(&mut self, key: FlowKey, end: SearchEnd, actions: &mut Vec<SearchAction>) {
        if self.remove(key) {
            actions.push(SearchAction::End(key, end));
        }
    }

    fn remove(&mut self, key: FlowKey) -> bool {
        let Some(serial) = self.serials.remove(&key) else {
            return false;
        };
        if let Ok(index) = self.index_of(serial) {
            let search = self.searches.remove(index);
            self.owner_count -= search.owner_count();
            self.packet_count -= search.packets().len();
        }
        true
    }
}

/// Returns why a search that has taken too long didn't lead to a reset.
fn end_cause(search: &FlowSearch, lookup: OwnerLookup<'_>) -> SearchEnd {
    match search.pending_agents().next() {
        Some(agent) => SearchEnd::Unanswered(agent),
        None if search.owner_count() == 0 => SearchEnd::NoAgent,
        None if !lookup.is_config_current() => SearchEnd::Outdated,
        None => SearchEnd::Unlisted,
    }
}
