//! The first candidates of one service in one data centre.

/// Largest limit of the candidates of one service in one data centre.
const MAX_GROUP_LIMIT: usize = 8;

/// The first candidates of one service in one data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateGroup {
    pub(crate) centre: u32,
    pub(crate) service: u8,
    limit: usize,
    count: usize,
    /// Orders and indices of the first candidates so far; the first `count` are in use, in ascending
    /// order.
    places: [(u128, u32); MAX_GROUP_LIMIT],
}

impl CandidateGroup {
    /// Creates a group without candidates, of which the first `limit` will be kept.
    pub(crate) fn new(centre: u32, service: u8, limit: usize) -> CandidateGroup {
        CandidateGroup {
            centre,
            service,
            limit: limit.min(MAX_GROUP_LIMIT),
            count: 0,
            places: [(u128::MAX, 0); MAX_GROUP_LIMIT],
        }
    }

    /// Adds a candidate, as its order and index, if it is among the first ones.
    pub(crate) fn insert(&mut self, place: (u128, u32)) {
        if self.count == self.limit {
            let is_first = self.count > 0 && place < self.places[self.count - 1];
            if !is_first {
                return;
            }
            self.count -= 1;
        }
        let mut index = self.count;
        while index > 0 && self.places[index - 1] > place {
            self.places[index] = self.places[index - 1];
            index -= 1;
        }
        self.places[index] = place;
        self.count += 1;
    }

    /// Returns the first candidates as their orders and indices.
    pub(crate) fn first(&self) -> &[(u128, u32)] {
        &self.places[..self.count]
    }
}
