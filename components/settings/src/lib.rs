//! Reading and checking of the daemons' settings files.

mod agent_settings;
mod balancer_settings;
mod bounded_file;
mod file_check;
mod flow_options;
mod flow_settings;
mod hedge_settings;
mod process_settings;
mod secret_file;
mod settings_error;
mod settings_text;

pub use agent_settings::AgentSettings;
pub use balancer_settings::BalancerSettings;
pub use bounded_file::read_bounded;
pub use flow_options::FlowOptions;
pub use flow_settings::{
    BackendSettings,
    FlowSettings,
    LeaseStoreSettings,
    NodeSettings, //
};
pub use hedge_settings::HedgeSettings;
pub use process_settings::{
    LogFormat,
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};
pub use secret_file::read_secret;
pub use settings_error::SettingsError;
pub use settings_text::{
    parse_flow_settings,
    read_agent,
    read_balancer,
    read_flow_settings,
    MAX_SETTINGS_BYTES, //
};
