//! Weighted rendezvous hashing.

use carobdrum_core::process::splitmix64;
use carobdrum_flows::process::weighted_cost;

/// Guards against an order of equally weighted candidates that differs from that of the hash alone, at the
/// ends of the table's segments as well.
#[test]
fn the_cost_never_rises_with_the_hash() {
    let ends = (0..64).flat_map(|bits| {
        let power = 1u64 << bits;
        (0..512).map(move |step| power + (power / 512) * step)
    });
    let random = (0..100_000).map(splitmix64);
    let mut hashes: Vec<u64> = ends.chain(random).chain([0, u64::MAX]).collect();
    hashes.sort_unstable();
    for eighths in 1..=8 {
        let costs = hashes.iter().map(|hash| weighted_cost(*hash, eighths));
        assert!(costs.is_sorted_by(|left, right| left >= right));
    }
}

/// Guards against a table or a scale that gives other shares than the weights.
#[test]
fn the_cost_is_the_logarithm_divided_by_the_weight() {
    for seed in 0..10_000 {
        let hash = splitmix64(seed);
        let exact = 64.0 - (hash as f64).log2();
        let cost = weighted_cost(hash, 3) as f64 / 840.0 * 3.0 / (1u64 << 32) as f64;
        assert!((cost - exact).abs() < 1e-5, "{cost} {exact}");
    }
}

/// Guards against a processor or a compiler that computes other costs, so that balancers disagree.
#[test]
fn the_cost_is_the_same_everywhere() {
    let costs = [
        (1, 8),
        (u64::MAX, 1),
        (1 << 63, 3),
        (0x0123_4567_89ab_cdef, 5),
    ]
    .map(|(hash, eighths)| weighted_cost(hash, eighths));
    assert_eq!(
        costs,
        [
            28_862_180_229_120,
            840,
            1_202_590_842_880,
            5_638_070_236_512
        ]
    );
}
