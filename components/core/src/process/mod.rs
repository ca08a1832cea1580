//! What lives for the whole process: members, their failure and the spread of versions.

mod agent_announcer;
mod byte_budget;
mod failure_detector;
mod gossip_queue;
mod heartbeat_plan;
mod heartbeat_watch;
mod member_event;
mod member_list;
mod member_protocol;
mod member_record;
mod member_state;
mod peer_choice;
mod peer_message;
mod stable_hash;
mod version_pull;
mod wire_len;

pub use agent_announcer::AgentAnnouncer;
pub use byte_budget::{
    ByteBudget,
    ByteClass, //
};
pub use failure_detector::{
    FailureDetector,
    ProbeRelay,
    DIRECT_TIMEOUT,
    HEARD_SUSPICION_TIMEOUT,
    PROBE_TIMEOUT,
    SUSPICION_TIMEOUT, //
};
pub use gossip_queue::GossipQueue;
pub use heartbeat_plan::{
    plan_digest,
    HeartbeatPlan,
    HEARTBEAT_BALANCERS, //
};
pub use heartbeat_watch::{
    HeartbeatWatch,
    HEARTBEAT_PATIENCE, //
};
pub use member_event::{
    MemberAction,
    MemberEvent, //
};
pub use member_list::{
    MemberKey,
    MemberList,
    MergeVerdict,
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
pub use version_pull::VersionPull;
