//! Optional features of the roles that forward opaque flows.

use carobdrum_core::{
    FieldKind,
    FieldSchema,
    ParsedFile, //
};
use compact_str::ToCompactString;
use serde::Deserialize;

/// Default of the time for which the entry of an agent has to be missing before its registration is deleted:
/// one day. An agent that is cut off from the store may hold flows all the while.
const DEFAULT_RETENTION_S: u32 = 24 * 60 * 60;

/// Longest such time: 30 days.
const MAX_RETENTION_S: u32 = 30 * 24 * 60 * 60;

const RETENTION_S: FieldKind = FieldKind::Number {
    min: 1,
    max: MAX_RETENTION_S,
};

/// Longest interval at which an agent saves its long flows, in seconds.
const MAX_SAVE_FLOWS_S: u32 = 60;

const SAVE_FLOWS_S: FieldKind = FieldKind::Number {
    min: 0,
    max: MAX_SAVE_FLOWS_S,
};

/// Largest share of extra packets, in percent.
const MAX_RESEND_PERCENT: u32 = 20;

/// Default of the smallest delay before a copy of a packet, in milliseconds.
const DEFAULT_RESEND_DELAY_MS: u32 = 20;

/// Largest such delay, in milliseconds. The ends of a flow retransmit after 200 ms.
const MAX_RESEND_DELAY_MS: u32 = 150;

const RESEND_PERCENT: FieldKind = FieldKind::Number {
    min: 0,
    max: MAX_RESEND_PERCENT,
};

const RESEND_DELAY_MS: FieldKind = FieldKind::Number {
    min: 1,
    max: MAX_RESEND_DELAY_MS,
};

/// Schema of the section of the options.
pub(crate) const OPTIONS_SCHEMA: &[FieldSchema] = &[
    FieldSchema::optional("reset_lost", FieldKind::Boolean),
    FieldSchema::optional("registration_retention_s", RETENTION_S),
    FieldSchema::optional("schedule_requests", FieldKind::Boolean),
    FieldSchema::optional("weigh_servers", FieldKind::Boolean),
    FieldSchema::optional("save_flows_s", SAVE_FLOWS_S),
    FieldSchema::optional("resend_percent", RESEND_PERCENT),
    FieldSchema::optional("resend_min_delay_ms", RESEND_DELAY_MS),
];

/// Optional features of a process that forwards opaque flows; each is off if absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowOptions {
    /// Whether open flows that no live backend server holds are searched for and reset.
    pub reset_lost: bool,
    /// Time for which the entry of an agent has to be missing before a balancer deletes its registration, in
    /// seconds; one day if absent.
    pub registration_retention_s: u32,
    /// Whether an agent holds back requests on open flows while more urgent ones need the slots.
    pub schedule_requests: bool,
    /// Whether balancers place new flows by the speed and the open flows of the servers.
    pub weigh_servers: bool,
    /// Interval at which an agent saves its long flows in the store, in seconds; 0 if it saves none.
    pub save_flows_s: u32,
    /// Early copies of packets to callers, in percent of the server's data packets; 0, the default, turns
    /// them off.
    pub resend_percent: u32,
    /// Smallest delay before a copy, in milliseconds; 20 if absent.
    pub resend_min_delay_ms: u32,
}

impl FlowOptions {
    /// Checks that the options agree with each other, and adds each contradiction to `file`.
    pub(crate) fn check(&self, file: &mut ParsedFile) {
        if self.save_flows_s > 0 && !self.reset_lost {
            let allowed = "0, unless `reset_lost` is true";
            file.add(
                "flows.save_flows_s",
                self.save_flows_s.to_compact_string(),
                allowed,
            );
        }
    }
}

impl Default for FlowOptions {
    fn default() -> FlowOptions {
        FlowOptions {
            reset_lost: false,
            registration_retention_s: DEFAULT_RETENTION_S,
            schedule_requests: false,
            weigh_servers: false,
            save_flows_s: 0,
            resend_percent: 0,
            resend_min_delay_ms: DEFAULT_RESEND_DELAY_MS,
        }
    }
}
