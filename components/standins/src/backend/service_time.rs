//! Distribution of the time that the server works on a request.

use std::time::Duration;

use rand::Rng;

/// Distribution of the time that the server works on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// The same time for each request.
    Fixed(Duration),
    /// Uniformly distributed between a minimum and a maximum.
    Uniform(Duration, Duration),
    /// Exponentially distributed with this mean, but at most ten times the mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// Draws the service time of one request.
    pub(crate) fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            ServiceTime::Fixed(time) => time,
            ServiceTime::Uniform(low, high) => low + high.saturating_sub(low).mul_f64(rng.random()),
            ServiceTime::Exponential(mean) => {
                let uniform: f64 = rng.random();
                mean.mul_f64((-(1.0 - uniform).ln()).min(10.0))
            }
        }
    }
}
