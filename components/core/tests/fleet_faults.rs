//! Fleets under loss, delay, reordering and failures, on seeded schedules.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/fleet.rs"]
mod fleet;

use carobdrum_core::process::{
    GossipBody,
    MemberState,
    PeerMessage, //
};
use fleet::{
    FleetShape,
    FleetSim, //
};
use proptest::{
    prelude::*,
    test_runner::Config, //
};

const SETTLE: u64 = 10_000;

fn shape(balancers: usize, loss: f64, seed: u64) -> FleetShape {
    FleetShape {
        balancers,
        agents: balancers * 10,
        centres: 5,
        loss,
        jitter: 6,
        seed,
    }
}

fn settled(balancers: usize, loss: f64, seed: u64) -> FleetSim {
    let mut sim = FleetSim::warm(shape(balancers, loss, seed));
    sim.run_for(SETTLE);
    sim
}

fn assert_converges(sim: &mut FleetSim, limit: u64) {
    let took = sim.run_until(limit, FleetSim::is_converged);
    assert!(took.is_some(), "not converged after {limit} ms");
}

named_cases! {
    /// Guards against a version that stays away from some process for more than 3 s.
    version_is_everywhere_in_time(balancers: usize, loss: f64, seed: u64) {
        small(10, 0.0, 1);
        small_lossy(10, 0.05, 2);
        middle(50, 0.0, 3);
        middle_lossy(50, 0.05, 4);
    }
    {
        let mut sim = settled(balancers, loss, seed);
        for victim in [3, 4, balancers + 2] {
            sim.stop(victim);
        }
        sim.adopt(0, 7, true);
        let all = |sim: &FleetSim| {
            let mut running = (0..sim.nodes.len()).filter(|&id| sim.is_running(id));
            running.all(|id| sim.version(id) == 7)
        };
        let took = sim.run_until(3_000, all);
        assert!(took.is_some(), "some process lacks the version after 3 s");
    }
}

named_cases! {
    /// Guards against a stopped member that keeps getting new flows.
    death_is_noticed_in_time(victim: usize, limit: u64) {
        balancer(7, 12_000);
        agent(57, 14_000);
    }
    {
        let mut sim = settled(50, 0.05, 11);
        sim.stop(victim);
        let took = sim.run_until(limit, |sim| sim.all_noticed(&[victim]));
        assert!(took.is_some(), "not noticed after {limit} ms");
        assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
    }
}

/// Guards against a byte budget or queue that is too small for the loss of a rack.
#[test]
fn forty_lost_members_are_noticed() {
    let mut sim = settled(50, 0.05, 12);
    let victims: Vec<usize> = sim.in_centre(2).into_iter().skip(5).take(40).collect();
    for &victim in &victims {
        sim.stop(victim);
    }
    let took = sim.run_until(30_000, |sim| sim.all_noticed(&victims));
    assert!(took.is_some(), "not all noticed after 30 s");
    assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
}

/// Guards against agents that nobody watches after their whole data centre is lost.
#[test]
fn lost_data_centre_is_noticed() {
    let mut sim = settled(50, 0.05, 13);
    let victims = sim.in_centre(3);
    for &victim in &victims {
        sim.stop(victim);
    }
    let took = sim.run_until(60_000, |sim| sim.all_noticed(&victims));
    assert!(took.is_some(), "not all noticed after 60 s");
    assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
}

named_cases! {
    /// Guards against members taken for dead although they answer.
    answering_members_stay_alive(balancers: usize, seed: u64) {
        small(10, 21);
        middle(50, 22);
    }
    {
        let mut sim = settled(balancers, 0.05, seed);
        sim.run_for(120_000);
        assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
    }
}

/// Guards against a process that was paused, believes that it is alive and the others are dead.
#[test]
fn frozen_member_returns() {
    let mut sim = settled(20, 0.05, 31);
    for member in [4, 25] {
        sim.freeze(member);
        let noticed = sim.run_until(20_000, |sim| sim.all_noticed(&[member]));
        assert!(noticed.is_some(), "member {member} wasn't noticed");
    }
    sim.thaw(4);
    assert_converges(&mut sim, 30_000);
    let accused = sim.false_deaths.iter().find(|verdict| verdict.1 == 4);
    assert_eq!(accused, None, "the paused member accused others");
    sim.thaw(25);
    assert_converges(&mut sim, 30_000);
}

named_cases! {
    /// Guards against sides of a split that stay apart or, when it ends, take their own members
    /// for dead.
    split_regions_find_each_other(span: u64, seed: u64) {
        short(4_000, 41);
        long(60_000, 42);
    }
    {
        let mut sim = settled(20, 0.02, seed);
        sim.split = true;
        sim.run_for(span);
        sim.split = false;
        let took = sim.run_until(240_000, FleetSim::is_converged);
        assert!(took.is_some(), "not healed after 240 s");
        let at_home = |&&(_, observer, member): &&(u64, usize, usize)| {
            sim.region(observer) == sim.region(member)
        };
        let wrong = sim.false_deaths.iter().find(at_home);
        assert_eq!(wrong, None, "a side took its own member for dead");
    }
}

/// Guards against a restart of many processes that starves the rest of the fleet.
#[test]
fn restarted_data_centre_joins() {
    let mut sim = settled(50, 0.05, 51);
    let victims = sim.in_centre(1);
    for &victim in &victims {
        sim.stop(victim);
    }
    sim.run_for(12_000);
    for &victim in &victims {
        sim.restart(victim);
    }
    assert_converges(&mut sim, 90_000);
}

/// Guards against groups that start together and never learn of each other.
#[test]
fn cold_fleet_converges() {
    let mut sim = FleetSim::cold(shape(20, 0.05, 52));
    assert_converges(&mut sim, 60_000);
}

/// Guards against late datagrams that revive a process that no longer exists.
#[test]
fn late_records_revive_nobody() {
    let mut sim = settled(10, 0.0, 61);
    let victim = 14;
    let late = sim.nodes[victim].record.clone();
    sim.stop(victim);
    sim.run_until(20_000, |sim| sim.all_noticed(&[victim]));
    let gossip = PeerMessage::Gossip(GossipBody {
        members: vec![late.clone()],
        digest: 1,
        key_version: 0,
    });
    sim.inject(1, 2, gossip.clone());
    sim.run_for(SETTLE);
    assert!(sim.all_noticed(&[victim]), "a late record revived a member");
    sim.restart(victim);
    assert_converges(&mut sim, 20_000);
    sim.inject(1, 2, gossip);
    let accusation = late.with_state(MemberState::Dead);
    let body = GossipBody {
        members: vec![accusation],
        digest: 1,
        key_version: 0,
    };
    sim.inject(1, 2, PeerMessage::Gossip(body));
    sim.run_for(1_000);
    let alive = sim.holders(victim, |state| state == MemberState::Warm);
    assert_eq!(
        alive, 10,
        "the late record of an old process replaced the new one"
    );
}

proptest! {
    #![proptest_config(Config { cases: 12, failure_persistence: None, ..Config::default() })]

    /// Guards against schedules of failures after which views differ for good, versions that go
    /// back, and oversized messages.
    #[test]
    fn any_schedule_converges(
        seed in any::<u64>(),
        steps in proptest::collection::vec((0u8..6, 0usize..66, 0u64..8_000), 1..8),
    ) {
        let mut sim = settled(6, 0.05, seed);
        let mut highest = vec![0; sim.nodes.len()];
        for (number, (kind, member, wait)) in steps.into_iter().enumerate() {
            match kind {
                0 => sim.stop(member),
                1 => sim.freeze_running(member),
                2 => sim.revive(member),
                3 => sim.split = !sim.split,
                _ => sim.adopt_running(member, number as u32 + 1),
            }
            sim.run_for(wait);
            for (id, known) in highest.iter_mut().enumerate() {
                if !sim.is_running(id) {
                    *known = 0;
                    continue;
                }
                prop_assert!(sim.version(id) >= *known, "a version went back");
                *known = sim.version(id);
            }
        }
        sim.split = false;
        for id in 0..sim.nodes.len() {
            sim.revive(id);
        }
        let took = sim.run_until(240_000, FleetSim::is_converged);
        prop_assert!(took.is_some(), "views differ for good");
    }
}
