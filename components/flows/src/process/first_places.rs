//! The first of a number of candidates.

/// Largest limit of the kept places.
const MAX_PLACES: usize = 8;

/// The first places of a number of candidates: their orders and indices, in ascending order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstPlaces {
    limit: usize,
    count: usize,
    /// The first `count` are in use.
    places: [(u128, u32); MAX_PLACES],
}

impl FirstPlaces {
    /// Creates the state without places, of which the first `limit` will be kept.
    pub(crate) fn new(limit: usize) -> FirstPlaces {
        FirstPlaces {
            limit: limit.min(MAX_PLACES),
            count: 0,
            places: [(u128::MAX, 0); MAX_PLACES],
        }
    }

    /// Removes all places, and keeps the first `limit` from now on.
    pub(crate) fn clear(&mut self, limit: usize) {
        self.limit = limit.min(MAX_PLACES);
        self.count = 0;
    }

    /// Adds a place if it is among the first ones.
    #[inline]
    pub(crate) fn insert(&mut self, place: (u128, u32)) {
        // Most places are behind the first ones, so this comparison is made inline.
        if self.count < self.limit || (self.limit > 0 && place < self.places[self.limit - 1]) {
            self.insert_sorted(place);
        }
    }

    /// Adds a place that is among the first ones, in place of the last one if all are in use.
    fn insert_sorted(&mut self, place: (u128, u32)) {
        let mut index = self.count.min(self.limit - 1);
        while index > 0 && self.places[index - 1] > place {
            self.places[index] = self.places[index - 1];
            index -= 1;
        }
        self.places[index] = place;
        self.count = self.limit.min(self.count + 1);
    }

    /// Returns the first places.
    pub(crate) fn as_slice(&self) -> &[(u128, u32)] {
        &self.places[..self.count]
    }
}
