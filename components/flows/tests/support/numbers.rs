//! Numbers of random sites.

use carobdrum_core::process::splitmix64;

/// Numbers from a seed.
pub(crate) struct Numbers(pub(crate) u64);

impl Numbers {
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = splitmix64(self.0);
        self.0 % limit
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
