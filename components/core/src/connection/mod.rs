//! Logic for single connections and flows: connection IDs, placement, path probes and replay
//! checks.

mod flow_codec;
mod flow_id;
mod path_health;
mod probe_budget;
mod redirect_cache;
mod redirect_decision;
mod replay_window;
mod target_pick;

pub use flow_codec::FlowCodec;
pub use flow_id::{
    FlowId,
    FlowOwner,
    FLOW_ID_LEN, //
};
pub use path_health::{
    PathAction,
    PathHealth, //
};
pub use probe_budget::ProbeBudget;
pub use redirect_cache::RedirectCache;
pub use redirect_decision::{
    decide_redirect,
    RedirectDecision,
    RedirectInput,
    REDIRECT_MARGIN, //
};
pub use replay_window::ReplayWindow;
pub use target_pick::{
    pick_targets,
    TargetWeight, //
};
