//! What lives as long as a version of the configuration.

mod flow_route;
mod service_rules;
mod site_rules;

pub use flow_route::{
    FlowRoute,
    ServiceShare, //
};
pub use service_rules::ServiceRules;
pub use site_rules::SiteRules;
