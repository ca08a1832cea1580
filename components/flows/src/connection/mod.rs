//! State with the lifetime of a flow: the flows of a backend server, tracked by its agent.

mod acknowledgement_delay;
mod copy_terms;
mod failure_rate;
mod flow_entry;
mod flow_saver;
mod flow_tracker;
mod former_flows;
mod late_share;
mod load_estimate;
mod packet_arena;
mod packet_resender;
mod recent_flows;
mod request_queue;
mod request_release;
mod resend_action;
mod resend_limits;
mod return_pause;
mod saved_flows;
mod sequence_window;
mod slot_policy;
mod tracker_action;
mod unacknowledged_flow;
mod unacknowledged_packet;
mod wait_limit;
mod work_time;

pub use copy_terms::CopyTerms;
pub use failure_rate::FailureRate;
pub use flow_entry::{
    FlowEntry,
    FlowStage, //
};
pub use flow_saver::FlowSaver;
pub use flow_tracker::{
    FlowTracker,
    ServerSilence,
    TrackerSettings, //
};
pub use former_flows::{
    FormerFlows,
    FormerOutcome,
    SettledList,
    RESET_WINDOW, //
};
pub use load_estimate::LoadEstimate;
pub use packet_resender::PacketResender;
pub use recent_flows::RecentFlows;
pub use request_queue::{
    RequestQueue,
    RequestTerms, //
};
pub use request_release::{
    ReleaseCause,
    RequestRelease, //
};
pub use resend_action::{
    ResendAction,
    ResendHold, //
};
pub use resend_limits::ResendLimits;
pub use return_pause::ReturnPause;
pub use saved_flows::{
    SavedFlow,
    SavedFlows,
    MAX_SAVED_FLOWS, //
};
pub use sequence_window::SequenceWindow;
pub use slot_policy::SlotPolicy;
pub use tracker_action::{
    RedirectCause,
    ResetCause, //
    TrackerAction,
};
pub use wait_limit::wait_limit_us;
pub use work_time::WorkTime;
