//! What lives for one connection or flow.

mod flow_codec;
mod flow_id;
mod replay_window;
mod target_pick;

pub use flow_codec::FlowCodec;
pub use flow_id::{
    FlowId,
    FlowOwner,
    FLOW_ID_LEN, //
};
pub use replay_window::ReplayWindow;
pub use target_pick::{
    pick_targets,
    TargetWeight, //
};
