//! Test deployment: a store, balancers, simulated agents and callers on loopback addresses.

mod fake_agent;
mod test_deployment;

pub(crate) use fake_agent::FakeAgent;
pub(crate) use test_deployment::{
    initial_packet,
    short_packet,
    wait_for,
    FakeCaller,
    TestBalancer,
    TestDeployment,
    KEY_SECRET,
    WAIT_TIMEOUT, //
};
