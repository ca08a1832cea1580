//! What lives as long as a version of the configuration.

mod flow_route;
mod service_config;
mod site_config;

pub use flow_route::{
    FlowRoute,
    ServiceShare, //
};
pub use service_config::ServiceConfig;
pub use site_config::SiteConfig;
