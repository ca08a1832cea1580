//! Agents that may get new flows.

use carobdrum_core::Millis;

use super::AgentState;
use crate::version::SiteConfig;

impl AgentState {
    /// Returns whether the agent's data centre is evacuated.
    pub(crate) fn is_evacuated(&self, config: Option<&SiteConfig>) -> bool {
        config.is_some_and(|config| config.is_evacuated(&self.record.centre))
    }

    /// Returns whether the agent accepts flows, answers, and is in a data centre that isn't evacuated.
    pub(crate) fn is_usable(&self, config: Option<&SiteConfig>, now: Millis) -> bool {
        self.report.accepts && !self.is_suspect(now) && !self.is_evacuated(config)
    }
}
