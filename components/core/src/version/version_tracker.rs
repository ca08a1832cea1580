//! The rule that versions only grow.

use super::ConfigVersion;

/// What became of a version that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version is newer and now in force.
    Adopted,
    /// The version is the one in force already.
    Unchanged,
    /// The version is older than the one in force.
    Older,
    /// The number is the one in force, but the edit is another; the one in force stays.
    Conflicting,
}

/// Keeps the newest version that the process has seen.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    current: Option<ConfigVersion>,
}

impl VersionTracker {
    /// Offers a version, which is adopted only if it is newer.
    pub fn offer(&mut self, version: ConfigVersion) -> OfferOutcome {
        let Some(current) = &self.current else {
            self.current = Some(version);
            return OfferOutcome::Adopted;
        };
        match version.number.cmp(&current.number) {
            std::cmp::Ordering::Less => OfferOutcome::Older,
            std::cmp::Ordering::Equal if version.edit_id != current.edit_id => {
                OfferOutcome::Conflicting
            }
            std::cmp::Ordering::Equal => OfferOutcome::Unchanged,
            std::cmp::Ordering::Greater => {
                self.current = Some(version);
                OfferOutcome::Adopted
            }
        }
    }

    /// Returns the version in force.
    pub fn current(&self) -> Option<&ConfigVersion> {
        self.current.as_ref()
    }

    /// Returns the number in force, or 0 before the first version.
    pub fn number(&self) -> u32 {
        self.current.as_ref().map_or(0, |version| version.number)
    }
}
