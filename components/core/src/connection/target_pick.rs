//! Choice of the candidates for a flow by rendezvous hashing.

/// A member that may be a candidate, with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetWeight<K> {
    /// Key by which the caller identifies the member.
    pub key: K,
    /// Hash of the member's identity, which must be the same at every balancer.
    pub hash: u64,
    /// Share of new flows, relative to the other members; zero excludes the member.
    pub weight: f32,
}

/// Picks the first and the second candidate by weighted rendezvous hashing of `flow_hash`.
///
/// Returns `None` if no weight is positive. Balancers with the same members and weights choose the
/// same candidates without communication, and a change of one member moves only the flows that it
/// gains or loses.
pub fn pick_targets<K: Copy>(
    weights: impl IntoIterator<Item = TargetWeight<K>>,
    flow_hash: u64,
) -> Option<(K, Option<K>)> {
    let mut first: Option<(f32, K)> = None;
    let mut second: Option<(f32, K)> = None;
    for target in weights {
        if target.weight <= 0.0 {
            continue;
        }
        let score = score_of(target.hash, flow_hash, target.weight);
        if first.is_none_or(|(best, _)| score > best) {
            second = first;
            first = Some((score, target.key));
        } else if second.is_none_or(|(best, _)| score > best) {
            second = Some((score, target.key));
        }
    }
    first.map(|(_, key)| (key, second.map(|(_, key)| key)))
}

/// Returns `-weight / ln(u)`, with `u` uniform in (0, 1). Each member has the highest score with a
/// probability proportional to its weight.
fn score_of(member_hash: u64, flow_hash: u64, weight: f32) -> f32 {
    let mixed = splitmix64(member_hash ^ flow_hash.rotate_left(32));
    let uniform = ((mixed >> 40) as f32 + 0.5) / (1u64 << 24) as f32;
    -weight / uniform.ln()
}

/// Applies the finalizer of SplitMix64. Unlike [`crate::process::splitmix64`] it doesn't add the
/// increment of the generator, so the results differ.
fn splitmix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
