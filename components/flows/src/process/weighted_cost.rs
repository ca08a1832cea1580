//! Weighted rendezvous hashing in integers, which give the same order on every processor.

/// Number of the segments in which the logarithm is interpolated.
const SEGMENTS: usize = 256;

/// Fraction bits of a logarithm.
const FRACTION_BITS: u32 = 32;

/// Binary logarithm of `1 + index / SEGMENTS`, with [`FRACTION_BITS`].
static LOGARITHMS: [u64; SEGMENTS + 1] = logarithms();

/// Least common multiple of the weights 1 to 8, so that the division by a weight is exact.
const WEIGHT_MULTIPLE: u64 = 840;

/// [`WEIGHT_MULTIPLE`] divided by each weight in eighths; weight zero counts as one. A division takes longer
/// than the rest of a cost.
static WEIGHT_FACTORS: [u64; 9] = weight_factors();

const fn weight_factors() -> [u64; 9] {
    let mut table = [WEIGHT_MULTIPLE; 9];
    let mut eighths = 1;
    while eighths < table.len() {
        table[eighths] = WEIGHT_MULTIPLE / eighths as u64;
        eighths += 1;
    }
    table
}

const fn logarithms() -> [u64; SEGMENTS + 1] {
    let mut table = [0; SEGMENTS + 1];
    let mut index = 0;
    while index < SEGMENTS {
        table[index] = logarithm((1 << 32) + ((index as u64) << 24));
        index += 1;
    }
    table[SEGMENTS] = 1 << FRACTION_BITS;
    table
}

/// Returns the binary logarithm of a number from 1 to 2 with 32 fraction bits, by repeated squaring.
const fn logarithm(mut number: u64) -> u64 {
    let mut result = 0;
    let mut bit = 0;
    while bit < FRACTION_BITS {
        let square = (number as u128 * number as u128) >> 32;
        result <<= 1;
        number = square as u64;
        if number >= 2 << 32 {
            number >>= 1;
            result |= 1;
        }
        bit += 1;
    }
    result
}

/// Returns the cost of a candidate, `-log2(u) / weight` in a fixed scale, where `u` is the hash as a
/// number from 0 to 1. The candidate of the least cost comes first; its chance is proportional to its
/// weight. With equal weights a higher hash never costs more than a lower one.
///
/// `eighths` is the weight in eighths, from 1 to 8.
pub fn weighted_cost(hash: u64, eighths: u8) -> u64 {
    let hash = hash | 1;
    let zeros = hash.leading_zeros();
    let mantissa = hash << zeros;
    let segment = (mantissa >> 55) as usize & (SEGMENTS - 1);
    let rest = (mantissa >> 23) & u64::from(u32::MAX);
    let (low, high) = (LOGARITHMS[segment], LOGARITHMS[segment + 1]);
    let fraction = low + (((high - low) * rest) >> 32);
    let whole = u64::from(zeros + 1) << FRACTION_BITS;
    (whole - fraction) * WEIGHT_FACTORS[usize::from(eighths.min(8))]
}
