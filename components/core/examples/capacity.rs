//! Measures how the costs of the control plane grow with the size of the fleet, with the real logic
//! in one process.
//!
//! Run it by `cargo run --release -p carobdrum-core --example capacity -- [--svg DIR] [--losses] [SIZE ...]`,
//! where each size is a number of balancers. It prints Markdown tables. With `--losses` it measures
//! large failures under 5% packet loss instead.

#[path = "../tests/support/fleet.rs"]
mod fleet;

use std::path::PathBuf;

use carobdrum_core::process::MemberState;
use fleet::{
    FleetConfig,
    FleetSim,
    NodeRole,
    RunState,
    TrafficCounts, //
};
use plotters::prelude::*;

const SIZES: [usize; 5] = [10, 50, 130, 265, 530];
const AGENTS_AT_TARGET: usize = 5_700;
const BALANCERS_AT_TARGET: usize = 530;
const WARM_UP_MS: u64 = 15_000;
const STEADY_MS: u64 = 20_000;
const PARTITION_MS: u64 = 60_000;
const DETECTION_LIMIT_MS: u64 = 240_000;
const VERSION_RUNS: u32 = 3;

/// Mean and maximum of a figure over nodes.
#[derive(Clone, Copy, Debug, Default)]
struct MeanMax {
    mean: f64,
    max: f64,
}

#[derive(Clone, Debug, Default)]
struct Row {
    balancers: usize,
    agents: usize,
    loss: f64,
    sent: MeanMax,
    received: MeanMax,
    messages: MeanMax,
    agent_sent: MeanMax,
    agent_received: MeanMax,
    cpu: f64,
    agent_cpu: f64,
    memory: f64,
    agent_memory: f64,
    version_median: u64,
    version_worst: u64,
    balancer_death: Option<u64>,
    agent_death: Option<u64>,
    false_deaths: usize,
    falsely_dead_members: usize,
    node_hours: f64,
    bulk: f64,
}

fn main() {
    let mut svg: Option<PathBuf> = None;
    let mut losses = false;
    let mut sizes = Vec::new();
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--svg" => svg = arguments.next().map(PathBuf::from),
            "--losses" => losses = true,
            size => sizes.extend(size.parse::<usize>()),
        }
    }
    if sizes.is_empty() {
        sizes = SIZES.to_vec();
    }
    if losses {
        print_loss_table(&sizes);
        return;
    }
    let mut rows = Vec::new();
    for &balancers in &sizes {
        for loss in [0.0, 0.05] {
            rows.push(measure(balancers, loss));
        }
    }
    print_tables(&rows);
    if let Some(dir) = svg {
        plot(&dir, &rows).expect("failed to write the plots");
    }
}

/// Measures how fast large failures are detected, and what that costs.
fn print_loss_table(sizes: &[usize]) {
    println!("| balancers / agents | failure | time, ms | most sent by a balancer, B/s | false death reports |");
    println!("|---|---|---|---|---|");
    for &balancers in sizes {
        let mut sim = warmed_fleet(balancers, 0.05);
        let mut rack: Vec<usize> = sim.members_in(2);
        rack.truncate(40);
        let elapsed = measure_loss(&mut sim, &rack);
        print_loss_row(
            &sim,
            "loss of 40 members of one data centre, detected by all",
            elapsed,
        );
        let mut sim = warmed_fleet(balancers, 0.05);
        let centre = sim.members_in(3);
        let elapsed = measure_loss(&mut sim, &centre);
        print_loss_row(&sim, "loss of a data centre, detected by all", elapsed);
        let mut sim = warmed_fleet(balancers, 0.05);
        sim.partitioned = true;
        sim.run_for(PARTITION_MS);
        sim.partitioned = false;
        sim.reset_counters();
        let elapsed = sim.run_until(DETECTION_LIMIT_MS, FleetSim::is_converged);
        print_loss_row(
            &sim,
            "regions partitioned for 60 s, member lists equal again",
            elapsed,
        );
    }
}

fn measure_loss(sim: &mut FleetSim, victims: &[usize]) -> Option<u64> {
    for &victim in victims {
        sim.stop(victim);
    }
    sim.reset_counters();
    sim.run_until(DETECTION_LIMIT_MS, |sim| sim.all_detected_dead(victims))
}

fn print_loss_row(sim: &FleetSim, failure: &str, elapsed: Option<u64>) {
    let span = elapsed.unwrap_or(DETECTION_LIMIT_MS).max(1);
    let balancers = &sim.nodes[..sim.config.balancers];
    let sent = balancers.iter().map(|node| node.traffic.sent_bytes).max();
    let elapsed = elapsed.map_or_else(
        || format!("over {DETECTION_LIMIT_MS}"),
        |elapsed| elapsed.to_string(),
    );
    println!(
        "| {} / {} | {failure} | {elapsed} | {} | {} |",
        sim.config.balancers,
        sim.config.agents,
        sent.unwrap_or(0) * 1_000 / span,
        sim.false_deaths.len(),
    );
}

fn warmed_fleet(balancers: usize, loss: f64) -> FleetSim {
    let config = FleetConfig {
        balancers,
        agents: (balancers * AGENTS_AT_TARGET + BALANCERS_AT_TARGET / 2) / BALANCERS_AT_TARGET,
        data_centres: 5,
        loss,
        jitter: 6,
        seed: 7,
    };
    let mut sim = FleetSim::with_full_lists(config);
    sim.run_for(WARM_UP_MS);
    sim
}

fn measure(balancers: usize, loss: f64) -> Row {
    let mut sim = warmed_fleet(balancers, loss);
    let mut row = measure_steady_state(&mut sim);
    let mut times = Vec::new();
    for number in 1..=VERSION_RUNS {
        times.extend(measure_version_times(&mut sim, number));
    }
    times.sort_unstable();
    row.version_median = times[times.len() / 2];
    row.version_worst = times[times.len() - 1];
    row.balancer_death = measure_detection(&mut sim, balancers - 1);
    row.agent_death = measure_detection(&mut sim, balancers + 1);
    row.false_deaths = sim.false_deaths.len();
    row.falsely_dead_members = falsely_dead_members(&sim);
    row.node_hours = (sim.now * sim.nodes.len() as u64) as f64 / 3.6e6;
    row
}

/// Measures a fleet without changes.
fn measure_steady_state(sim: &mut FleetSim) -> Row {
    sim.reset_counters();
    sim.run_for(STEADY_MS);
    let seconds = STEADY_MS as f64 / 1_000.0;
    let balancers = 0..sim.config.balancers;
    let agents = sim.config.balancers..sim.nodes.len();
    let rate = |range: std::ops::Range<usize>, value: fn(&TrafficCounts) -> u64| {
        let nodes = sim.nodes[range].iter();
        mean_and_max(nodes.map(|node| value(&node.traffic) as f64 / seconds))
    };
    let cpu = |range: std::ops::Range<usize>| {
        let nodes = sim.nodes[range].iter();
        mean_and_max(nodes.map(|node| node.cpu.as_secs_f64() / seconds)).mean
    };
    let memory = |range: std::ops::Range<usize>| {
        let nodes = sim.nodes[range].iter();
        mean_and_max(nodes.map(|node| match &node.role {
            NodeRole::Balancer(protocol) => protocol.memory() as f64,
            NodeRole::Agent(announcer) => announcer.memory() as f64,
        }))
        .mean
    };
    Row {
        balancers: sim.config.balancers,
        agents: sim.config.agents,
        loss: sim.config.loss,
        sent: rate(balancers.clone(), |traffic| traffic.sent_bytes),
        received: rate(balancers.clone(), |traffic| traffic.received_bytes),
        messages: rate(balancers.clone(), |traffic| traffic.sent + traffic.received),
        bulk: rate(balancers.clone(), |traffic| traffic.bulk_bytes).mean,
        agent_sent: rate(agents.clone(), |traffic| traffic.sent_bytes),
        agent_received: rate(agents.clone(), |traffic| traffic.received_bytes),
        cpu: cpu(balancers.clone()),
        agent_cpu: cpu(agents.clone()),
        memory: memory(balancers),
        agent_memory: memory(agents),
        ..Row::default()
    }
}

/// Puts a version in force at one balancer and returns after how many milliseconds each running
/// process had it, 30,000 if it didn't.
fn measure_version_times(sim: &mut FleetSim, number: u32) -> Vec<u64> {
    let start = sim.now;
    let first = number as usize * 7 % sim.config.balancers;
    sim.adopt(first, number, false);
    sim.run_until(30_000, |sim| {
        (0..sim.nodes.len()).all(|id| sim.version(id) == number)
    });
    let running = sim
        .nodes
        .iter()
        .filter(|node| node.run_state == RunState::Running);
    let times = running.map(|node| match node.tracker.number() == number {
        true => node.adopted_at - start,
        false => 30_000,
    });
    times.collect()
}

/// Stops a member and returns after how many milliseconds the last balancer has recorded it as
/// dead.
fn measure_detection(sim: &mut FleetSim, victim: usize) -> Option<u64> {
    sim.stop(victim);
    let elapsed = sim.run_until(60_000, |sim| {
        let dead = |state| state == MemberState::Dead;
        sim.count_holders(victim, dead) == sim.running_balancers().len()
    });
    sim.run_for(5_000);
    elapsed
}

/// Returns how many members at least one balancer falsely recorded as dead.
fn falsely_dead_members(sim: &FleetSim) -> usize {
    let mut members: Vec<usize> = sim.false_deaths.iter().map(|death| death.2).collect();
    members.sort_unstable();
    members.dedup();
    members.len()
}

fn mean_and_max(values: impl Iterator<Item = f64>) -> MeanMax {
    let values: Vec<f64> = values.collect();
    MeanMax {
        mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
        max: values.iter().copied().fold(0.0, f64::max),
    }
}

fn print_tables(rows: &[Row]) {
    println!("| balancers / agents | loss | balancer sent B/s, mean (max) | balancer received B/s, mean (max) | balancer messages/s, mean (max) | bulk B/s | agent sent B/s, mean (max) | agent received B/s, mean (max) |");
    println!("|---|---|---|---|---|---|---|---|");
    for row in rows {
        println!(
            "| {} / {} | {:.0}% | {} | {} | {} | {:.0} | {} | {} |",
            row.balancers,
            row.agents,
            row.loss * 100.0,
            row.sent,
            row.received,
            row.messages,
            row.bulk,
            row.agent_sent,
            row.agent_received,
        );
    }
    println!();
    println!("| balancers / agents | loss | balancer CPU, % of a core | agent CPU, % of a core | balancer memory, KiB | agent memory, KiB | version everywhere ms, median (worst) | balancer death detected by all, ms | agent death detected by all, ms | false death reports / members concerned (node hours) |");
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        println!(
            "| {} / {} | {:.0}% | {:.4} | {:.5} | {:.0} | {:.2} | {} ({}) | {} | {} | {} / {} ({:.1}) |",
            row.balancers,
            row.agents,
            row.loss * 100.0,
            row.cpu * 100.0,
            row.agent_cpu * 100.0,
            row.memory / 1_024.0,
            row.agent_memory / 1_024.0,
            row.version_median,
            row.version_worst,
            format_ms(row.balancer_death),
            format_ms(row.agent_death),
            row.false_deaths,
            row.falsely_dead_members,
            row.node_hours,
        );
    }
}

fn format_ms(time: Option<u64>) -> String {
    time.map_or_else(|| "over 60000".to_owned(), |time| time.to_string())
}

impl std::fmt::Display for MeanMax {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.0} ({:.0})", self.mean, self.max)
    }
}

type PlotError = Box<dyn std::error::Error>;

fn plot(dir: &std::path::Path, rows: &[Row]) -> Result<(), PlotError> {
    std::fs::create_dir_all(dir)?;
    plot_one(dir, "control-bytes", "sent bytes per second", rows, |row| {
        row.sent.mean
    })?;
    plot_one(dir, "control-cpu", "% of a core", rows, |row| {
        row.cpu * 100.0
    })?;
    plot_one(dir, "control-memory", "KiB", rows, |row| {
        row.memory / 1_024.0
    })?;
    plot_one(dir, "version-worst", "ms", rows, |row| {
        row.version_worst as f64
    })
}

/// Plots one figure over the number of balancers, without and with packet loss.
fn plot_one(
    dir: &std::path::Path,
    name: &str,
    unit: &str,
    rows: &[Row],
    value: fn(&Row) -> f64,
) -> Result<(), PlotError> {
    let path = dir.join(format!("{name}.svg"));
    let area = SVGBackend::new(&path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let highest = rows.iter().map(value).fold(0.0, f64::max) * 1.1;
    let widest = rows.iter().map(|row| row.balancers).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..widest, 0.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("balancers")
        .y_desc(unit)
        .draw()?;
    for (loss, colour) in [(0.0, BLUE), (0.05, RED)] {
        let line = rows.iter().filter(|row| row.loss == loss);
        let points = line.map(|row| (row.balancers as f64, value(row)));
        chart.draw_series(LineSeries::new(points, &colour))?;
    }
    area.present()?;
    Ok(())
}
