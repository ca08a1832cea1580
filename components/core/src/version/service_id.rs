//! Numbers that represent names in packets.

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of a service, from 1, assigned once and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServiceId(pub u16);

/// Number of a data centre, from 1, assigned once and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CentreId(pub u8);
