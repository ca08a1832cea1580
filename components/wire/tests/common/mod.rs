//! Configuration that the property tests share.

use proptest::{
    prelude::ProptestConfig,
    test_runner::RngSeed, //
};

/// Returns the configuration of a run with a fixed seed.
pub(crate) fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
