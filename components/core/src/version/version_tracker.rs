//! Tracking of the configuration version in force, which never becomes older.

use super::ConfigVersion;

/// Result of offering a version to a [`VersionTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version is newer than the previous one and is now in force.
    Adopted,
    /// The version is already in force.
    Unchanged,
    /// The version is older than the one in force.
    Older,
    /// The version has the number of the one in force but is from another edit. It isn't adopted.
    Conflicting,
}

/// Keeps the newest configuration version that the process has received.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    current: Option<ConfigVersion>,
}

impl VersionTracker {
    /// Adopts `version` if it is newer than the one in force.
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

    /// Returns the version in force, or `None` before the first one.
    pub fn current(&self) -> Option<&ConfigVersion> {
        self.current.as_ref()
    }

    /// Returns the number of the version in force, or 0 before the first one.
    pub fn number(&self) -> u32 {
        self.current.as_ref().map_or(0, |version| version.number)
    }
}
