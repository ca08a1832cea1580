//! Hash of names, equal in every process.

use carobdrum_core::process::splitmix64;

/// Returns the hash of a name, which stands for the name in forwarded packets.
pub fn name_hash(name: &str) -> u32 {
    let mut hash = 0u64;
    for byte in name.bytes() {
        hash = splitmix64(hash ^ u64::from(byte));
    }
    (hash >> 32) as u32
}
