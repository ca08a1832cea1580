//! A store, balancers, fake agents and fake callers on loopback addresses.

mod fake_agent;
mod test_stand;

pub(crate) use fake_agent::FakeAgent;
pub(crate) use test_stand::{
    initial_packet,
    short_packet,
    wait_for,
    FakeCaller,
    TestBalancer,
    TestStand,
    KEY_SECRET,
    PATIENCE, //
};
