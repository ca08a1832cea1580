//! Limits that operators set for early copies of packets.

use carobdrum_core::Millis;

/// Limits of the copies that an agent sends before the server retransmits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendLimits {
    /// Copies in percent of the server's data packets; zero for none.
    pub percent: u32,
    /// Smallest delay before a copy.
    pub min_delay: Millis,
}
