//! Hashes that are equal in every process.

use std::net::SocketAddrV4;

use super::MemberRecord;

/// Mixes the bits of a number; the finalizer of SplitMix64.
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns an address as a number that sorts like the address.
pub fn address_to_number(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

/// Returns the hash of an address.
pub(super) fn address_hash(address: SocketAddrV4) -> u64 {
    splitmix64(address_to_number(address))
}

/// Returns the hash of the age of a record.
///
/// Incarnation and sequence determine what the member announced. Suspicions are left out, because
/// they pass and not every member hears of them.
pub(super) fn record_hash(record: &MemberRecord) -> u64 {
    let hash = splitmix64(address_hash(record.address) ^ record.incarnation);
    splitmix64(hash ^ u64::from(record.sequence))
}
