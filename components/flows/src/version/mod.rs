//! Data with the lifetime of a configuration version.

mod flow_route;
mod former_services;
mod service_config;
mod site_config;

pub use flow_route::{
    FlowRoute,
    ServiceShare, //
};
pub use former_services::{
    FormerService,
    FormerServices, //
};
pub use service_config::ServiceConfig;
pub use site_config::SiteConfig;
