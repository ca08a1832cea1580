//! Hashes that are equal in every process.

/// Mixes the bits of a number; the finalizer of SplitMix64.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hash of a name.
pub fn name_hash(name: &str) -> u32 {
    let mut hash = 0u64;
    for byte in name.bytes() {
        hash = mix(hash ^ u64::from(byte));
    }
    (hash >> 32) as u32
}
