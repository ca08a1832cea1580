//! Candidates of one service in one data centre.

use super::first_places::FirstPlaces;

/// Candidates of one service in one data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateGroup {
    /// Position of the service in the flow's list of services.
    pub(crate) service: u8,
    /// Hash of the data centre's name.
    pub(crate) centre: u32,
    /// The first candidates that may be taken.
    pub(crate) first: FirstPlaces,
    /// Number of the candidates taken.
    pub(crate) taken: usize,
}
