//! Flow tracking of an agent: decides about each packet to and from its backend server.

mod copies;
mod former;
mod heartbeats;
mod held;
mod later;
mod opening;
mod query;
mod report;
mod silence;

use std::{
    collections::VecDeque,
    net::SocketAddrV4,
    sync::Arc, //
};

use bytes::Bytes;
use carobdrum_core::Millis;
use compact_str::CompactString;
use hashbrown::HashMap;

pub use silence::ServerSilence;

use super::{
    FailureRate,
    FlowEntry,
    FlowStage,
    FormerFlows,
    LoadEstimate,
    RecentFlows,
    RedirectCause,
    RequestQueue,
    ResetCause,
    ReturnPause,
    TrackerAction,
    WorkTime, //
};
use crate::{
    process::{
        name_hash,
        BackendLiveness,
        ColdBudget,
        FlowCoverage,
        OwnerCache, //
    },
    request::{FlowKey, FlowPacket, ForwardHeader},
    version::SiteConfig, //
};

/// Time within which a server must answer an opening packet, and for which a flow that the caller
/// doesn't continue counts as load.
const ACCEPT_TIMEOUT: Millis = Millis(60);

/// Time after which a caller has abandoned a flow that didn't open.
const OPEN_TIMEOUT: Millis = Millis(1_600);

/// Time for which packets of a closed flow, or of one that the caller hasn't continued, are still delivered
/// to its server.
const CLOSED_RETENTION: Millis = Millis(5_000);

/// Time without a packet of the flow after which its request no longer counts as load.
const REQUEST_IDLE_TIMEOUT: Millis = Millis(3_000);

/// Queueing delay that a hop to another data centre is equated with, in microseconds.
const REMOTE_PENALTY_US: u32 = 20_000;

/// Limit of the agents that one packet passes; more are taken for a loop.
const MAX_HOPS: u8 = 32;

/// Slots of a server that has not sent a heartbeat yet.
const DEFAULT_SLOTS: u32 = 2;

/// Settings of a [`FlowTracker`].
#[derive(Clone, Debug)]
pub struct TrackerSettings {
    /// Address at which the agent receives forwarded packets.
    pub address: SocketAddrV4,
    /// Address of the backend server.
    pub server: SocketAddrV4,
    /// Data centre of the agent.
    pub centre: CompactString,
    /// Service of the backend server. Heartbeats of another one say nothing about the server.
    pub service: CompactString,
    /// Time without activity of the server after which it gets no new flows.
    pub activity_timeout: Millis,
    /// Factor of the configured rate for cold servers, up to which new flows are accepted.
    pub cold_factor: f64,
    /// Requests per second above the scaled rate for cold servers that are accepted as well.
    pub cold_slack: f64,
    /// Longest lifetime of a flow, for which the announcements of owners are kept.
    pub flow_lifetime: Millis,
    /// Whether open flows that no server holds are searched for and reset.
    pub reset_lost: bool,
    /// Whether requests on open flows wait while more urgent ones need the slots.
    pub schedule_requests: bool,
}

/// Flows of the backend server beside an agent, and the state of that server.
#[derive(Debug)]
pub struct FlowTracker {
    settings: TrackerSettings,
    /// Hash of the data centre's name.
    centre: u32,
    config: Option<Arc<SiteConfig>>,
    liveness: BackendLiveness,
    coverage: FlowCoverage,
    cold: ColdBudget,
    load: LoadEstimate,
    work: WorkTime,
    /// Number of open flows that have lasted for a second, counted by [`FlowTracker::expire`].
    long_flows: u32,
    flows: HashMap<FlowKey, FlowEntry>,
    /// Flows whose opening packet was delivered, with the time at which
    /// [`FlowTracker::check_openings`] looks at them.
    opening_deadlines: VecDeque<(Millis, FlowKey)>,
    failure_rate: FailureRate,
    /// Owners of flows for which this agent is an anchor.
    owners: OwnerCache,
    return_pause: ReturnPause,
    /// Flows that the server may hold although no entry shows it.
    recent_flows: RecentFlows,
    /// Flows of a server that has ended, which are to be reset.
    lost_flows: Vec<(FlowKey, ResetCause)>,
    /// Flows of a run of the server that ended before the agent started.
    former: FormerFlows,
    /// Requests that wait for a slot.
    requests: RequestQueue,
    /// Whether requests wait for a slot that they have to share with requests of another class.
    is_scheduling: bool,
    stopping: bool,
}

impl FlowTracker {
    /// Creates a tracker without flows, which accepts none before the first heartbeat of its server.
    /// `started_unix_ms` is the start of the process as Unix time in milliseconds.
    pub fn new(settings: TrackerSettings, started_unix_ms: u64, now: Millis) -> FlowTracker {
        FlowTracker {
            centre: name_hash(&settings.centre),
            config: None,
            liveness: BackendLiveness::new(settings.activity_timeout),
            coverage: FlowCoverage::new(started_unix_ms, now),
            cold: ColdBudget::new(now),
            load: LoadEstimate::new(DEFAULT_SLOTS),
            work: WorkTime::default(),
            long_flows: 0,
            flows: HashMap::new(),
            opening_deadlines: VecDeque::new(),
            failure_rate: FailureRate::default(),
            owners: OwnerCache::default(),
            return_pause: ReturnPause::default(),
            recent_flows: RecentFlows::default(),
            lost_flows: Vec::new(),
            former: FormerFlows::default(),
            requests: RequestQueue::default(),
            is_scheduling: false,
            stopping: false,
            settings,
        }
    }

    /// Replaces the configuration in force. Servers of a data centre whose evacuation has ended may have
    /// turned cold.
    pub fn set_config(&mut self, config: Arc<SiteConfig>, now: Millis) {
        let was_evacuated = self.is_evacuated();
        self.config = Some(config);
        if was_evacuated && !self.is_evacuated() {
            self.cold.mark_unknown(now);
        }
        self.update_scheduling();
    }

    /// Applies changed settings. If they name another service, the server accepts no new flow until it has named that
    /// one too.
    pub fn set_settings(&mut self, settings: TrackerSettings, now: Millis) {
        if !self.settings.reset_lost {
            // Nothing has been recorded so far.
            self.recent_flows.note_gap(now);
        }
        self.centre = name_hash(&settings.centre);
        self.liveness
            .set_activity_timeout(settings.activity_timeout);
        self.settings = settings;
        self.update_scheduling();
    }

    /// Records that the server has sent a packet for a flow that it holds, at `sent` or later.
    pub fn note_activity(&mut self, sent: Millis) {
        self.liveness.note_activity(sent);
    }

    /// Marks the server as deregistered at `now`; returns false if its last heartbeat had another identity.
    pub fn deregister(&mut self, id: &str, now: Millis) -> bool {
        self.liveness.deregister(id, now)
    }

    /// Returns whether the server is shutting down or has deregistered.
    pub fn is_leaving(&self) -> bool {
        self.liveness.is_leaving()
    }

    /// Stops accepting new flows, for a graceful shutdown.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Records that the server has ended. A server that has only deregistered may still hold flows.
    pub fn note_server_ended(&mut self) {
        self.mark_flows_lost(ResetCause::Ended, Millis(u64::MAX));
    }

    /// Marks the flows that a server has served until `last`, and that has ended since, for
    /// [`FlowTracker::reset_lost_flows`].
    fn mark_flows_lost(&mut self, cause: ResetCause, last: Millis) {
        self.recent_flows.clear();
        let flows = self.flows.iter();
        let lost = flows.filter(|(_, entry)| {
            let is_served = entry.served_since.is_some_and(|since| since <= last);
            is_served && entry.is_certainly_open()
        });
        self.lost_flows.extend(lost.map(|(key, _)| (*key, cause)));
    }

    /// Returns the number of flows that are open, or whose opening packet was delivered.
    pub fn open_flows(&self) -> usize {
        let open = |entry: &&FlowEntry| matches!(entry.stage, FlowStage::Open | FlowStage::Opening);
        self.flows.values().filter(open).count()
    }

    /// Returns how far a flow has come; `None` if the agent doesn't know it.
    pub fn stage(&self, key: FlowKey) -> Option<&FlowStage> {
        self.flows.get(&key).map(|entry| &entry.stage)
    }

    /// Returns the order number of the configuration in force; zero before the first one.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Returns the data centre of the agent.
    pub fn centre(&self) -> &CompactString {
        &self.settings.centre
    }

    /// Returns the service of the server.
    pub fn service(&self) -> &CompactString {
        &self.settings.service
    }

    /// Returns whether the server has named the service of the settings in a heartbeat to this agent.
    fn is_confirmed(&self) -> bool {
        self.liveness.service() == Some(&self.settings.service)
    }

    /// Decides about a packet of a caller and adds the resulting actions to `actions`.
    ///
    /// `bytes` is the packet itself, kept in case an opening packet has to be redirected later.
    pub fn handle_forwarded(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        header: ForwardHeader,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.handle_late_forwarded(packet, bytes, header, now, now, actions);
    }

    /// Decides about a packet of a caller that arrived at `arrived` or later and that may have waited
    /// since in a socket, as it does while the process is paused.
    pub fn handle_late_forwarded(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        mut header: ForwardHeader,
        arrived: Millis,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        header.delivered |= packet.may_have_other_copies(now.since(arrived));
        header.hops = header.hops.saturating_add(1);
        if header.hops > MAX_HOPS {
            actions.push(TrackerAction::Drop(packet.key, RedirectCause::NotHeld));
            return;
        }
        if packet.is_open() {
            self.handle_opening(packet, bytes, header, now, actions);
        } else {
            self.handle_later(packet, bytes, header, now, actions);
        }
    }

    /// Records the owner of a flow, which has announced itself to this agent.
    pub fn record_owner(&mut self, key: FlowKey, owner: SocketAddrV4, now: Millis) {
        self.owners.insert(key, owner, now);
    }

    /// Removes flows that have been idle longer than the configuration allows them to be, and the load of
    /// idle requests.
    pub fn expire(&mut self, now: Millis) {
        let idle_timeout = match &self.config {
            Some(config) => config.idle_timeout.plus(CLOSED_RETENTION),
            None => self.settings.flow_lifetime,
        };
        self.owners.expire(now, self.settings.flow_lifetime);
        self.recent_flows.expire(now, self.settings.flow_lifetime);
        let load = &mut self.load;
        let recent_flows = &mut self.recent_flows;
        let reset_lost = self.settings.reset_lost;
        let requests = &self.requests;
        let mut long_flows = 0;
        self.flows.retain(|key, entry| {
            let idle = now.since(entry.last_used);
            let timeout = match entry.stage {
                FlowStage::Opening if entry.server_window.is_none() => OPEN_TIMEOUT,
                FlowStage::Opening => CLOSED_RETENTION,
                FlowStage::Unverified | FlowStage::NotHeld | FlowStage::Closed => CLOSED_RETENTION,
                FlowStage::Open | FlowStage::Redirected(_) => idle_timeout,
            };
            let is_kept = idle < timeout || requests.holds(*key);
            long_flows += u32::from(is_kept && entry.is_long(now));
            if !is_kept || idle >= REQUEST_IDLE_TIMEOUT {
                entry.abandon_request(load);
            }
            if !is_kept && reset_lost && entry.may_be_held() {
                recent_flows.insert(*key, entry.last_used);
            }
            is_kept
        });
        self.long_flows = long_flows;
    }

    fn remove_flow(&mut self, key: FlowKey) {
        if let Some(mut entry) = self.flows.remove(&key) {
            entry.abandon_request(&mut self.load);
            self.note_removed(key, &entry);
        }
    }
}
