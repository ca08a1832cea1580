//! Settings files of the daemons.

mod agent_settings;
mod balancer_settings;
mod process_settings;
mod settings_error;

pub use agent_settings::AgentSettings;
pub use balancer_settings::BalancerSettings;
pub use process_settings::{
    LogFormat,
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};
pub use settings_error::{
    read_secret,
    read_settings,
    SettingsError, //
};
