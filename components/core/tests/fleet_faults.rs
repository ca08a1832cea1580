//! Fleets under packet loss, delay, reordering and failures, on seeded schedules.

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
    FleetConfig,
    FleetSim, //
};
use proptest::{
    prelude::*,
    test_runner::Config, //
};

const SETTLE_MS: u64 = 10_000;

fn config(balancers: usize, loss: f64, seed: u64) -> FleetConfig {
    FleetConfig {
        balancers,
        agents: balancers * 10,
        data_centres: 5,
        loss,
        jitter: 6,
        seed,
    }
}

fn settled_fleet(balancers: usize, loss: f64, seed: u64) -> FleetSim {
    let mut sim = FleetSim::with_full_lists(config(balancers, loss, seed));
    sim.run_for(SETTLE_MS);
    sim
}

fn assert_converges(sim: &mut FleetSim, limit: u64) {
    let elapsed = sim.run_until(limit, FleetSim::is_converged);
    assert!(elapsed.is_some(), "not converged after {limit} ms");
}

named_cases! {
    /// Guards against a version that doesn't reach some running process within 3 s.
    version_reaches_every_process_in_time(balancers: usize, loss: f64, seed: u64) {
        small(10, 0.0, 1);
        small_lossy(10, 0.05, 2);
        middle(50, 0.0, 3);
        middle_lossy(50, 0.05, 4);
    }
    {
        let mut sim = settled_fleet(balancers, loss, seed);
        for victim in [3, 4, balancers + 2] {
            sim.stop(victim);
        }
        sim.adopt(0, 7, true);
        let all = |sim: &FleetSim| {
            let mut running = (0..sim.nodes.len()).filter(|&id| sim.is_running(id));
            running.all(|id| sim.version(id) == 7)
        };
        let elapsed = sim.run_until(3_000, all);
        assert!(elapsed.is_some(), "some running process doesn't have the version after 3 s");
    }
}

named_cases! {
    /// Guards against a stopped member that isn't declared dead in time and keeps getting new
    /// flows.
    death_is_detected_in_time(victim: usize, limit: u64) {
        balancer(7, 12_000);
        agent(57, 14_000);
    }
    {
        let mut sim = settled_fleet(50, 0.05, 11);
        sim.stop(victim);
        let elapsed = sim.run_until(limit, |sim| sim.all_detected_dead(&[victim]));
        assert!(elapsed.is_some(), "not all balancers have detected the death after {limit} ms");
        assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
    }
}

/// Guards against a byte budget or gossip queue that is too small for the loss of a rack.
#[test]
fn forty_lost_members_are_detected() {
    let mut sim = settled_fleet(50, 0.05, 12);
    let victims: Vec<usize> = sim.members_in(2).into_iter().skip(5).take(40).collect();
    for &victim in &victims {
        sim.stop(victim);
    }
    let elapsed = sim.run_until(30_000, |sim| sim.all_detected_dead(&victims));
    assert!(elapsed.is_some(), "not all deaths are detected after 30 s");
    assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
}

/// Guards against agents whose heartbeats no balancer monitors after the loss of their whole data
/// centre.
#[test]
fn lost_data_centre_is_detected() {
    let mut sim = settled_fleet(50, 0.05, 13);
    let victims = sim.members_in(3);
    for &victim in &victims {
        sim.stop(victim);
    }
    let elapsed = sim.run_until(60_000, |sim| sim.all_detected_dead(&victims));
    assert!(elapsed.is_some(), "not all deaths are detected after 60 s");
    assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
}

named_cases! {
    /// Guards against members that are declared dead although they acknowledge probes.
    answering_members_stay_alive(balancers: usize, seed: u64) {
        small(10, 21);
        middle(50, 22);
    }
    {
        let mut sim = settled_fleet(balancers, 0.05, seed);
        sim.run_for(120_000);
        assert!(sim.false_deaths.is_empty(), "{:?}", sim.false_deaths);
    }
}

/// Guards against a process that was paused and then declares others dead, and against a paused
/// member that stays dead in the lists of others after it has resumed.
#[test]
fn paused_member_returns() {
    let mut sim = settled_fleet(20, 0.05, 31);
    for member in [4, 25] {
        sim.pause(member);
        let detected = sim.run_until(20_000, |sim| sim.all_detected_dead(&[member]));
        assert!(
            detected.is_some(),
            "the pause of member {member} wasn't detected after 20 s"
        );
    }
    sim.resume(4);
    assert_converges(&mut sim, 30_000);
    let false_report = sim.false_deaths.iter().find(|death| death.1 == 4);
    assert_eq!(
        false_report, None,
        "the paused member declared a running one dead"
    );
    sim.resume(25);
    assert_converges(&mut sim, 30_000);
}

named_cases! {
    /// Guards against regions that stay apart after a network partition, and against members that
    /// their own region declares dead when the partition ends.
    partitioned_regions_reconnect(span: u64, seed: u64) {
        short(4_000, 41);
        long(60_000, 42);
    }
    {
        let mut sim = settled_fleet(20, 0.02, seed);
        sim.partitioned = true;
        sim.run_for(span);
        sim.partitioned = false;
        let elapsed = sim.run_until(240_000, FleetSim::is_converged);
        assert!(elapsed.is_some(), "not converged 240 s after the end of the partition");
        let same_region = |&&(_, observer, member): &&(u64, usize, usize)| {
            sim.region(observer) == sim.region(member)
        };
        let false_report = sim.false_deaths.iter().find(same_region);
        assert_eq!(false_report, None, "a region declared a member of its own dead");
    }
}

/// Guards against the restart of many processes at once that starves the rest of the fleet.
#[test]
fn restarted_data_centre_joins() {
    let mut sim = settled_fleet(50, 0.05, 51);
    let victims = sim.members_in(1);
    for &victim in &victims {
        sim.stop(victim);
    }
    sim.run_for(12_000);
    for &victim in &victims {
        sim.restart(victim);
    }
    assert_converges(&mut sim, 90_000);
}

/// Guards against processes that start together, form groups and never learn of other groups.
#[test]
fn fleet_converges_from_bootstrap() {
    let mut sim = FleetSim::with_bootstrap_only(config(20, 0.05, 52));
    assert_converges(&mut sim, 60_000);
}

/// Guards against stale records in late datagrams that revive a process that no longer exists, or
/// replace the record of its successor.
#[test]
fn stale_records_revive_no_member() {
    let mut sim = settled_fleet(10, 0.0, 61);
    let victim = 14;
    let stale_record = sim.nodes[victim].record.clone();
    sim.stop(victim);
    sim.run_until(20_000, |sim| sim.all_detected_dead(&[victim]));
    let gossip = PeerMessage::Gossip(GossipBody {
        members: vec![stale_record.clone()],
        digest: 1,
        key_version: 0,
    });
    sim.inject(1, 2, gossip.clone());
    sim.run_for(SETTLE_MS);
    assert!(
        sim.all_detected_dead(&[victim]),
        "a stale record revived a dead member"
    );
    sim.restart(victim);
    assert_converges(&mut sim, 20_000);
    sim.inject(1, 2, gossip);
    let report = stale_record.with_state(MemberState::Dead);
    let body = GossipBody {
        members: vec![report],
        digest: 1,
        key_version: 0,
    };
    sim.inject(1, 2, PeerMessage::Gossip(body));
    sim.run_for(1_000);
    let alive = sim.count_holders(victim, |state| state == MemberState::Warm);
    assert_eq!(
        alive, 10,
        "the stale record of an old process replaced that of the new one"
    );
}

proptest! {
    #![proptest_config(Config { cases: 12, failure_persistence: None, ..Config::default() })]

    /// Guards against schedules of failures after which the member lists don't converge, against
    /// versions that go back, and against messages above the size limit.
    #[test]
    fn any_failure_schedule_converges(
        seed in any::<u64>(),
        steps in proptest::collection::vec((0u8..6, 0usize..66, 0u64..8_000), 1..8),
    ) {
        let mut sim = settled_fleet(6, 0.05, seed);
        let mut highest_versions = vec![0; sim.nodes.len()];
        for (number, (kind, member, wait)) in steps.into_iter().enumerate() {
            match kind {
                0 => sim.stop(member),
                1 => sim.pause_if_running(member),
                2 => sim.resume_or_restart(member),
                3 => sim.partitioned = !sim.partitioned,
                _ => sim.adopt_if_running(member, number as u32 + 1),
            }
            sim.run_for(wait);
            for (id, known) in highest_versions.iter_mut().enumerate() {
                if !sim.is_running(id) {
                    *known = 0;
                    continue;
                }
                prop_assert!(sim.version(id) >= *known, "a running process's version decreased");
                *known = sim.version(id);
            }
        }
        sim.partitioned = false;
        for id in 0..sim.nodes.len() {
            sim.resume_or_restart(id);
        }
        let elapsed = sim.run_until(240_000, FleetSim::is_converged);
        prop_assert!(elapsed.is_some(), "member lists differ after 240 s without failures");
    }
}
