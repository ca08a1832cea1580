//! What lives for one connection or flow.

mod flow_codec;
mod flow_id;
mod pass_decision;
mod pass_ring;
mod path_health;
mod probe_budget;
mod replay_window;
mod target_pick;

pub use flow_codec::FlowCodec;
pub use flow_id::{
    FlowId,
    FlowOwner,
    FLOW_ID_LEN, //
};
pub use pass_decision::{
    pass_first_packet,
    PassQuestion,
    PassVerdict,
    PASS_MARGIN, //
};
pub use pass_ring::PassRing;
pub use path_health::{
    PathAction,
    PathHealth, //
};
pub use probe_budget::ProbeBudget;
pub use replay_window::ReplayWindow;
pub use target_pick::{
    pick_targets,
    TargetWeight, //
};
