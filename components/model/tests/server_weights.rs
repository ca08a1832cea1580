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

#[rstest]
#[case(0.6)]
#[case(0.9)]
fn slow_third(#[case] utilisation: f64, #[values(1, 2)] seed: u64) {
    println!("slow third {utilisation}");
    compare(&long_flows(3, utilisation), seed);
}

#[rstest]
#[case(1)]
#[case(0)]
fn all_equal(#[case] every: u16, #[values(1, 2)] seed: u64) {
    println!("all {every}");
    let mut experiment = long_flows(every, 0.8);
    if every == 1 { experiment.rate = 0.8 * 36.0 * 3.0 * 1000.0 / 26.0 / 2.4; }
    compare(&experiment, seed);
}

#[rstest]
fn moved_demand(#[values(50, 60)] percent: u8, #[values(1, 2)] seed: u64) {
    println!("moved {percent}");
    let mut experiment = long_flows(0, 0.6);
    experiment.placement.first_centre_percent = percent;
    compare(&experiment, seed);
}

#[rstest]
fn added(#[values(1, 2)] seed: u64) {
    println!("added");
    let mut experiment = long_flows(0, 0.6);
    experiment.faults.push(FaultEntry {
        at_ms: 0,
        kind: FaultKind::Servers,
        for_ms: 8_000,
        count: 6,
    });
    compare(&experiment, seed);
}

#[rstest]
fn recovers(#[values(1, 2)] seed: u64) {
    println!("recovers");
    let mut experiment = long_flows(36, 0.6);
    experiment.placement.slow_until_ms = 6_000;
    experiment.placement.measured_from_ms = 16_000;
    let runs = compare(&experiment, seed);
    println!("{:?}", runs.map(|run| run.stats.slot_ms[0] as f64 * 36.0 / run.stats.slot_ms.iter().sum::<u64>() as f64));
}

#[rstest]
fn overload(#[values(1.5, 2.0, 3.0)] factor: f64, #[values(1, 2)] seed: u64) {
    println!("overload {factor}");
    let mut experiment = long_flows(3, factor);
    experiment.placement.long_flows = 0;
    experiment.placement.flow_requests = 0;
    compare(&experiment, seed);
}
