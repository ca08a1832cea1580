//! Pseudo-random bodies that a caller can compute as well, to check them.

use bytes::Bytes;

/// Increment of the generator's state, from SplitMix64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bytes generated from one state.
const WORD_LEN: u64 = 8;

/// Returns `len` bytes of the pseudo-random stream of `seed`, starting at `offset`.
pub fn body_chunk(seed: u64, offset: u64, len: usize) -> Bytes {
    let mut chunk = vec![0; len];
    fill_body_chunk(seed, offset, &mut chunk);
    Bytes::from(chunk)
}

/// Fills `chunk` with the pseudo-random stream of `seed`, starting at `offset`.
pub fn fill_body_chunk(seed: u64, offset: u64, chunk: &mut [u8]) {
    let mut position = offset;
    let mut rest = chunk;
    while !rest.is_empty() {
        let word = word_at(seed, position / WORD_LEN).to_le_bytes();
        let word = &word[(position % WORD_LEN) as usize..];
        let count = word.len().min(rest.len());
        let (head, tail) = rest.split_at_mut(count);
        head.copy_from_slice(&word[..count]);
        position += count as u64;
        rest = tail;
    }
}

/// Returns word `index` of the stream: the SplitMix64 finalizer of the state at `index`.
fn word_at(seed: u64, index: u64) -> u64 {
    let value = seed.wrapping_add(STEP.wrapping_mul(index.wrapping_add(1)));
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
