//! Statistics and random distributions for the models.

use carobdrum_core::Millis;

/// Returns the percentile of `values` at `percent`, or zero without values.
pub(crate) fn percentile(values: &mut [u64], percent: usize) -> u64 {
    if values.is_empty() {
        return 0;
    }
    values.sort_unstable();
    values[(values.len() - 1) * percent / 100]
}

/// Returns the ratio of `part` to `whole`, taking a `whole` of zero as one.
pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Returns an exponentially distributed time with this mean, for a `uniform` from `0.0..1.0`.
pub(crate) fn exponential(uniform: f64, mean_ms: f64) -> Millis {
    Millis((-(1.0 - uniform).ln() * mean_ms).round() as u64)
}

/// Returns a service time with this mean, half of it constant and half exponentially distributed.
pub(crate) fn service_time(uniform: f64, mean_ms: f64) -> Millis {
    let variable = exponential(uniform, mean_ms / 2.0);
    Millis(variable.0 + (mean_ms / 2.0).round() as u64)
}
