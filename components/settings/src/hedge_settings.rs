//! Settings of hedged requests.

use carobdrum_core::{
    FieldKind,
    FieldSchema, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Largest percentage of extra requests: each one is run twice.
const MAX_PERCENT: u32 = 100;

/// Longest smallest delay, in milliseconds: one minute.
const MAX_MIN_DELAY_MS: u32 = 60_000;

/// Schema of the section of hedged requests.
pub(crate) const HEDGING_SCHEMA: &[FieldSchema] = &[
    FieldSchema::optional(
        "percent",
        FieldKind::Number {
            min: 0,
            max: MAX_PERCENT,
        },
    ),
    FieldSchema::optional(
        "min_delay_ms",
        FieldKind::Number {
            min: 1,
            max: MAX_MIN_DELAY_MS,
        },
    ),
    FieldSchema::optional("cross_centre", FieldKind::Boolean),
];

/// Settings of hedged requests: copies of slow requests that are sent to another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeSettings {
    /// Extra requests in percent of the requests that may be repeated; 0, the default, turns
    /// hedging off.
    pub percent: u32,
    /// Shortest time without a response after which a request is hedged, in milliseconds; 20 if
    /// absent.
    pub min_delay_ms: u32,
    /// Whether hedges may go to other data centres; false if absent.
    pub cross_centre: bool,
}

impl Default for HedgeSettings {
    fn default() -> HedgeSettings {
        HedgeSettings {
            percent: 0,
            min_delay_ms: 20,
            cross_centre: false,
        }
    }
}
