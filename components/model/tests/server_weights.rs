//! Placement by server weights, compared with placement without them under the same load.

use carobdrum_model::{
    Experiment,
    FaultEntry,
    FaultKind,
    FlowModel,
    ModelStats,
    PlacementPlan, //
};
use rstest::rstest;

const SECONDS: usize = 24;
const MEASURED_FROM_S: usize = 8;

/// The second customer's servers and requests, with as many servers in each data centre.
const AGENTS: u8 = 12;
const CENTRES: u8 = 3;
const SLOTS: u32 = 3;
const WORK_MS: f64 = 26.0;

/// Returns a load of long flows on servers of which every `slow_every`th takes 2.4 times as long, at
/// `utilisation` of their capacity.
fn long_flows(slow_every: u16, utilisation: f64) -> Experiment {
    let servers = f64::from(CENTRES) * f64::from(AGENTS);
    let slow_share = if slow_every > 0 {
        1.0 / f64::from(slow_every)
    } else {
        0.0
    };
    let speed = 1.0 - slow_share + slow_share / 2.4;
    let capacity = servers * f64::from(SLOTS) * speed * 1_000.0 / WORK_MS;
    Experiment {
        length_ms: SECONDS as u64 * 1_000,
        centres: CENTRES,
        balancers: 3,
        agents: AGENTS,
        slots: SLOTS,
        queue: 16,
        work_ms: WORK_MS,
        rate: capacity * utilisation,
        objective_ms: 250,
        deadline_ms: 3_000,
        loss: 0.0,
        faults: Vec::new(),
        placement: PlacementPlan {
            long_flows: 200,
            flow_requests: 30,
            slow_every,
            slow_factor: 2.4,
            measured_from_ms: MEASURED_FROM_S as u64 * 1_000,
            ..PlacementPlan::default()
        },
    }
}

/// Outcome of a run.
struct RunOutcome {
    /// Share of the responses within the objective.
    in_time: f64,
    /// Load of the busiest server as a multiple of the mean.
    imbalance: f64,
    stats: ModelStats,
}

/// Runs an experiment without and with weights, and prints the outcomes.
fn compare(experiment: &Experiment, seed: u64) -> [RunOutcome; 2] {
    [false, true].map(|weigh_servers| {
        let mut experiment = experiment.clone();
        experiment.placement.weigh_servers = weigh_servers;
        let stats = FlowModel::new(experiment, seed).run();
        let sum = stats.sum(MEASURED_FROM_S, SECONDS);
        let in_time = f64::from(sum.in_time) / f64::from(sum.started);
        let imbalance = stats.imbalance();
        assert_eq!(stats.wrong_resets, 0);
        println!(
            "weights {weigh_servers}: in time {in_time:.4}, busiest/mean {imbalance:.3}, unserved {}, \
             spilled {}, refused {}, changes {}, wrong resets {}, misdelivered {}",
            sum.unserved,
            stats.spilled,
            stats.refused,
            stats.weight_changes,
            stats.wrong_resets,
            stats.misdelivered,
        );
        RunOutcome {
            in_time,
            imbalance,
            stats,
        }
    })
}

/// Guards against slow servers that carry as many long flows as fast ones: at 60% of the capacity the busiest
/// server had 1.3 times the mean load. A single run varies by 0.05, so several count.
#[test]
fn slow_servers_get_fewer_long_flows() {
    let mut gain = 0.0;
    for seed in 1..=6 {
        let [without, with] = compare(&long_flows(3, 0.6), seed);
        assert!(with.imbalance < without.imbalance);
        assert!(with.in_time >= without.in_time - 0.001);
        gain += (without.imbalance - with.imbalance) / 6.0;
    }
    println!("gain {gain:.3}");
    assert!(gain > 0.05);
}

/// Guards against weights that cost responses when there is little room to move flows.
#[rstest]
fn weights_cost_nothing_at_high_load(#[values(1, 2)] seed: u64) {
    let [without, with] = compare(&long_flows(3, 0.9), seed);
    assert!(with.imbalance < without.imbalance + 0.02);
    assert!(with.in_time >= without.in_time - 0.001);
}

/// Guards against weights that unbalance servers of one speed.
#[rstest]
#[case::all_fast(0, 0.8)]
#[case::all_slow(1, 0.8)]
fn equal_servers_stay_balanced(
    #[case] slow_every: u16,
    #[case] utilisation: f64,
    #[values(1, 2)] seed: u64,
) {
    let [without, with] = compare(&long_flows(slow_every, utilisation), seed);
    assert!(with.imbalance < without.imbalance + 0.06);
    assert!(with.in_time >= without.in_time - 0.005);
}

/// Guards against a data centre that keeps all flows while its servers are full: 60% of the demand come from
/// it, more than its servers bear.
#[rstest]
fn moved_demand_spills(#[values(1, 2)] seed: u64) {
    let mut experiment = long_flows(0, 0.6);
    experiment.placement.first_centre_percent = 60;
    let [without, with] = compare(&experiment, seed);
    assert_eq!(without.stats.spilled, 0);
    assert!(with.stats.spilled > 0);
    assert!(with.imbalance < without.imbalance - 0.05);
    assert!(with.in_time >= without.in_time - 0.001);
}

/// Guards against servers that are flooded because they are empty: a sixth of them returns after 8 s.
#[rstest]
fn added_servers_are_filled_evenly(#[values(1, 2)] seed: u64) {
    let mut experiment = long_flows(0, 0.6);
    experiment.faults.push(FaultEntry {
        at_ms: 0,
        kind: FaultKind::Servers,
        for_ms: MEASURED_FROM_S as u64 * 1_000,
        count: 6,
    });
    let [without, with] = compare(&experiment, seed);
    assert!(with.imbalance < without.imbalance + 0.06);
    assert!(with.in_time >= without.in_time - 0.001);
}

/// Guards against a server that keeps a low weight although it has become as fast as the others.
#[rstest]
fn a_recovered_server_gets_its_share(#[values(1, 2)] seed: u64) {
    let mut experiment = long_flows(36, 0.6);
    experiment.placement.slow_until_ms = 6_000;
    experiment.placement.measured_from_ms = 14_000;
    let [_, with] = compare(&experiment, seed);
    let slot_ms = &with.stats.slot_ms;
    let share = slot_ms[0] as f64 * slot_ms.len() as f64 / slot_ms.iter().sum::<u64>() as f64;
    assert!(share > 0.8, "{share}");
}

/// Guards against early refusals that cost responses or reset open flows when a service is overloaded by
/// requests on long flows.
#[rstest]
fn refusals_cost_nothing_under_overload(#[values(1, 2)] seed: u64) {
    let mut experiment = long_flows(3, 1.5);
    experiment.agents = 3;
    experiment.rate /= 4.0;
    let [without, with] = compare(&experiment, seed);
    assert!(with.in_time >= without.in_time - 0.03);
}
