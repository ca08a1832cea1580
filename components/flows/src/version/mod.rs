//! Data with the lifetime of a configuration version.

mod flow_route;
mod former_services;
mod provisional_state;
mod service_config;
mod site_config;
mod store_revision;

pub use flow_route::{
    FlowRoute,
    ServiceShare, //
};
pub use former_services::{
    FormerService,
    FormerServices, //
};
pub use provisional_state::ProvisionalState;
pub use service_config::ServiceConfig;
pub use site_config::SiteConfig;
pub use store_revision::StoreRevision;
