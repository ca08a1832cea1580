//! Membership: member records, failure detection and the distribution of configuration versions.
//!
//! This state lives as long as the process.

mod agent_announcer;
mod byte_budget;
mod failure_detector;
mod fetch_schedule;
mod gossip_queue;
mod heartbeat_assignment;
mod heartbeat_monitor;
mod member_event;
mod member_list;
mod member_protocol;
mod member_record;
mod member_state;
mod peer_choice;
mod peer_message;
mod stable_hash;
mod wire_len;

pub use agent_announcer::AgentAnnouncer;
pub use byte_budget::{
    ByteBudget,
    ByteClass, //
};
pub use failure_detector::{
    FailureDetector,
    ProbeRelay,
    DIRECT_PROBE_TIMEOUT,
    PROBE_TIMEOUT,
    REMOTE_SUSPICION_TIMEOUT,
    SUSPICION_TIMEOUT, //
};
pub use fetch_schedule::FetchSchedule;
pub use gossip_queue::GossipQueue;
pub use heartbeat_assignment::{
    balancers_digest,
    HeartbeatAssignment,
    HEARTBEAT_BALANCERS, //
};
pub use heartbeat_monitor::{
    HeartbeatMonitor,
    HEARTBEAT_TIMEOUT, //
};
pub use member_event::{
    MemberAction,
    MemberEvent, //
};
pub use member_list::{
    MemberKey,
    MemberList,
    MergeOutcome,
    BUCKETS,
    DEAD_RETENTION, //
};
pub use member_protocol::{
    MemberProtocol,
    ProtocolBuilder,
    DATAGRAM_OVERHEAD, //
};
pub use member_record::{
    MemberBuilder,
    MemberRecord,
    FULL_WARMUP_LEVEL, //
};
pub use member_state::{
    MemberRole,
    MemberState, //
};
pub use peer_choice::PeerChoice;
pub use peer_message::{
    GossipBody,
    Heartbeat,
    HeartbeatAck,
    PeerMessage,
    ProbeBody,
    MAX_MESSAGE_LEN, //
};
pub use stable_hash::{
    address_to_number,
    splitmix64, //
};
