//! State shared by the threads of an agent.

use std::sync::atomic::{
    AtomicBool,
    AtomicU16,
    AtomicU32,
    AtomicU8,
    Ordering, //
};

use carobdrum_control::{
    ProcessClock,
    PublishedState, //
};
use carobdrum_core::version::ServiceId;
use compact_str::CompactString;

/// State shared by the threads of an agent. Each value is read on its own, so the order in which
/// the values change doesn't matter.
pub(crate) struct AgentShared {
    pub(crate) clock: ProcessClock,
    pub(crate) control_port: u16,
    data_centre: CompactString,
    service: AtomicU16,
    config_number: AtomicU32,
    evacuated: AtomicBool,
    draining: AtomicBool,
    connections: AtomicU32,
    max_connections: AtomicU32,
    load: AtomicU8,
    warmup_level: AtomicU8,
}

impl AgentShared {
    /// Creates the state of an agent that serves no service yet.
    pub(crate) fn new(
        clock: ProcessClock,
        control_port: u16,
        data_centre: CompactString,
    ) -> AgentShared {
        AgentShared {
            clock,
            control_port,
            data_centre,
            service: AtomicU16::new(0),
            config_number: AtomicU32::new(0),
            evacuated: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            connections: AtomicU32::new(0),
            max_connections: AtomicU32::new(0),
            load: AtomicU8::new(0),
            warmup_level: AtomicU8::new(0),
        }
    }

    /// Sets the values that come from the version in force. `connections` is the maximum number of
    /// connections.
    pub(crate) fn set_version(
        &self,
        number: u32,
        service: ServiceId,
        evacuated: bool,
        connections: u32,
    ) {
        self.service.store(service.0, Ordering::Relaxed);
        self.evacuated.store(evacuated, Ordering::Relaxed);
        self.max_connections.store(connections, Ordering::Relaxed);
        self.config_number.store(number, Ordering::Relaxed);
    }

    /// Sets the load and the warm-up level of the server, both in 1/255.
    pub(crate) fn set_load(&self, load: u8, warmup_level: u8) {
        self.load.store(load, Ordering::Relaxed);
        self.warmup_level.store(warmup_level, Ordering::Relaxed);
    }

    /// Marks the agent as draining; the graceful shutdown starts with it.
    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Counts a new connection, unless the maximum is reached. Returns whether it was counted.
    pub(crate) fn add_connection(&self) -> bool {
        let max = self.max_connections.load(Ordering::Relaxed);
        let added = self
            .connections
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < max).then_some(count + 1)
            });
        added.is_ok()
    }

    /// Removes a connection that has ended from the count.
    pub(crate) fn remove_connection(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of counted connections.
    pub(crate) fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns whether the agent accepts new flows.
    pub(crate) fn has_room(&self) -> bool {
        let max = self.max_connections.load(Ordering::Relaxed);
        !self.is_draining() && !self.is_evacuated() && self.connections() < max
    }

    /// Returns the ID of the server's service, or 0 if the server is in no pool of the version in
    /// force.
    pub(crate) fn service(&self) -> ServiceId {
        ServiceId(self.service.load(Ordering::Relaxed))
    }

    /// Returns the number of the version in force, or 0 before the first.
    pub(crate) fn config_number(&self) -> u32 {
        self.config_number.load(Ordering::Relaxed)
    }

    /// Returns whether the agent's data centre is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Relaxed)
    }

    /// Returns whether the agent's data centre is evacuated in `state`.
    ///
    /// A task that waits for the evacuation must check `state`, because the values kept here are
    /// updated a moment later.
    pub(crate) fn is_evacuated_in(&self, state: &PublishedState) -> bool {
        let config = state.config.as_deref();
        config.is_some_and(|config| config.pools.is_evacuated(&self.data_centre))
    }

    /// Returns whether the graceful shutdown has started.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the load of the server in 1/255 of its limit.
    pub(crate) fn load(&self) -> u8 {
        self.load.load(Ordering::Relaxed)
    }

    /// Returns the share of the server's slots that its warm-up allows, in 1/255.
    pub(crate) fn warmup_level(&self) -> u8 {
        self.warmup_level.load(Ordering::Relaxed)
    }
}
