//! Hashes that give the same result in every process.

use std::net::SocketAddrV4;

use super::MemberRecord;

/// Returns the output of the SplitMix64 generator for the state `value`, as a hash of it.
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the number whose lowest 16 bits are the port and whose next 32 bits are the IP address.
/// The numbers sort like the addresses.
pub fn address_to_number(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

pub(super) fn address_hash(address: SocketAddrV4) -> u64 {
    splitmix64(address_to_number(address))
}

/// Returns a hash of the address, incarnation and sequence of a record.
///
/// These determine what the member announced. The state is excluded, because suspicions are
/// temporary and don't reach every member.
pub(super) fn record_hash(record: &MemberRecord) -> u64 {
    let hash = splitmix64(address_hash(record.address) ^ record.incarnation);
    splitmix64(hash ^ u64::from(record.sequence))
}
