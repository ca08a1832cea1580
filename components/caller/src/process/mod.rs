//! Types whose lifetime is one load run.

mod flow_log;
mod flow_slot;
mod load_builder;
mod load_canceller;
mod load_pacer;
mod load_progress;
mod load_report;
mod load_run;
mod load_tally;
mod named_count;
mod request_mix;
mod request_plan;

pub use flow_log::BrokenFlow;
pub use load_builder::{
    LoadBuilder,
    LoadError, //
};
pub use load_canceller::LoadCanceller;
pub use load_progress::LoadProgress;
pub use load_report::{
    LatencySummary,
    LoadReport, //
};
pub use load_run::LoadRun;
pub use named_count::NamedCount;
pub use request_mix::RequestMix;
