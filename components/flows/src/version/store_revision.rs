//! Order of the store's revisions across its eras.

/// Bits of an order number that hold the revision; the era is above them.
const REVISION_BITS: u32 = 44;

/// Highest revision that an order number holds.
const MAX_NUMBER: u64 = (1 << REVISION_BITS) - 1;

/// Revision of the store within its era.
///
/// The store begins an era when it comes back from an older copy of itself, and gives out revisions again. A revision
/// therefore counts only within its era, and every one of a later era is newer. Decisions compare order numbers, which
/// hold both; requests to the store, messages and logs name them apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision {
    /// One more than the number of the era that the store states; zero if it states none.
    pub era: u32,
    /// Revision that the store has given out.
    pub number: u64,
}

impl StoreRevision {
    /// Highest era that an order number holds.
    pub const MAX_ERA: u32 = (1 << (u64::BITS - REVISION_BITS)) - 1;

    /// Creates a revision of an era. Values that are too large are replaced by the maximum.
    pub fn new(era: u32, number: u64) -> StoreRevision {
        StoreRevision {
            era: era.min(StoreRevision::MAX_ERA),
            number: number.min(MAX_NUMBER),
        }
    }

    /// Creates a revision of the era that the store states, if it states one.
    pub fn stated(era: Option<u32>, number: u64) -> StoreRevision {
        StoreRevision::new(era.map_or(0, |era| era.saturating_add(1)), number)
    }

    /// Returns the number of the era as the store states it; `None` if it states none.
    pub fn stated_era(self) -> Option<u32> {
        self.era.checked_sub(1)
    }

    /// Returns the revision of an order number.
    pub fn from_order(order: u64) -> StoreRevision {
        StoreRevision {
            era: (order >> REVISION_BITS) as u32,
            number: order & MAX_NUMBER,
        }
    }

    /// Returns the order number, which is higher for a later revision, and without an era is the revision.
    pub fn order(self) -> u64 {
        u64::from(self.era) << REVISION_BITS | self.number
    }

    /// Returns whether an item with this revision is, by all that its revision shows, that of `earlier`, which the
    /// store's copy held.
    pub fn is_echo_of(self, earlier: StoreRevision) -> bool {
        self.era > earlier.era && self.number == earlier.number
    }
}
