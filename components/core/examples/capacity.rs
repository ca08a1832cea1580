//! Slopes of the control plane over the size of the fleet, from the real logic in one process.
//!
//! Run it by `cargo run --release -p carobdrum-core --example capacity -- [--svg DIR] [--losses] [SIZE ...]`,
//! where each size is a number of balancers. It prints Markdown tables. With `--losses` it measures
//! large failures under 5% loss instead.

#[path = "../tests/support/fleet.rs"]
mod fleet;

use std::path::PathBuf;

use carobdrum_core::process::MemberState;
use fleet::{
    FleetShape,
    FleetSim,
    Role,
    Run,
    Traffic, //
};
use plotters::prelude::*;

const SIZES: [usize; 5] = [10, 50, 130, 265, 530];
const AGENTS_AT_TARGET: usize = 5_700;
const BALANCERS_AT_TARGET: usize = 530;
const WARM_UP: u64 = 15_000;
const STEADY: u64 = 20_000;
const SPLIT: u64 = 60_000;
const LOSS_LIMIT: u64 = 240_000;
const VERSION_RUNS: u32 = 3;

/// Mean and largest of a figure over nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    mean: f64,
    most: f64,
}

#[derive(Clone, Debug, Default)]
struct Row {
    balancers: usize,
    agents: usize,
    loss: f64,
    sent: Spread,
    received: Spread,
    messages: Spread,
    agent_sent: Spread,
    agent_received: Spread,
    cpu: f64,
    agent_cpu: f64,
    memory: f64,
    agent_memory: f64,
    version_median: u64,
    version_worst: u64,
    balancer_death: Option<u64>,
    agent_death: Option<u64>,
    false_deaths: usize,
    falsely_dead: usize,
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
        print_losses(&sizes);
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
        plot(&dir, &rows).expect("the plots can be written");
    }
}

/// Measures how large failures are noticed, and what they cost.
fn print_losses(sizes: &[usize]) {
    println!("| balancers / agents | failure | done after, ms | most sent by a balancer, B/s | false verdicts |");
    println!("|---|---|---|---|---|");
    for &balancers in sizes {
        let mut sim = warmed(balancers, 0.05);
        let mut rack: Vec<usize> = sim.in_centre(2);
        rack.truncate(40);
        let took = lose(&mut sim, &rack);
        print_loss(&sim, "40 members of one data centre noticed by all", took);
        let mut sim = warmed(balancers, 0.05);
        let centre = sim.in_centre(3);
        let took = lose(&mut sim, &centre);
        print_loss(&sim, "a data centre noticed by all", took);
        let mut sim = warmed(balancers, 0.05);
        sim.split = true;
        sim.run_for(SPLIT);
        sim.split = false;
        sim.reset_counters();
        let took = sim.run_until(LOSS_LIMIT, FleetSim::is_converged);
        print_loss(&sim, "regions split for 60 s, views equal again", took);
    }
}

fn lose(sim: &mut FleetSim, victims: &[usize]) -> Option<u64> {
    for &victim in victims {
        sim.stop(victim);
    }
    sim.reset_counters();
    sim.run_until(LOSS_LIMIT, |sim| sim.all_noticed(victims))
}

fn print_loss(sim: &FleetSim, failure: &str, took: Option<u64>) {
    let span = took.unwrap_or(LOSS_LIMIT).max(1);
    let balancers = &sim.nodes[..sim.shape.balancers];
    let sent = balancers.iter().map(|node| node.traffic.sent_bytes).max();
    let took = took.map_or_else(|| format!("over {LOSS_LIMIT}"), |took| took.to_string());
    println!(
        "| {} / {} | {failure} | {took} | {} | {} |",
        sim.shape.balancers,
        sim.shape.agents,
        sent.unwrap_or(0) * 1_000 / span,
        sim.false_deaths.len(),
    );
}

fn warmed(balancers: usize, loss: f64) -> FleetSim {
    let shape = FleetShape {
        balancers,
        agents: (balancers * AGENTS_AT_TARGET + BALANCERS_AT_TARGET / 2) / BALANCERS_AT_TARGET,
        centres: 5,
        loss,
        jitter: 6,
        seed: 7,
    };
    let mut sim = FleetSim::warm(shape);
    sim.run_for(WARM_UP);
    sim
}

fn measure(balancers: usize, loss: f64) -> Row {
    let mut sim = warmed(balancers, loss);
    let mut row = steady(&mut sim);
    let mut times = Vec::new();
    for number in 1..=VERSION_RUNS {
        times.extend(spread_version(&mut sim, number));
    }
    times.sort_unstable();
    row.version_median = times[times.len() / 2];
    row.version_worst = times[times.len() - 1];
    row.balancer_death = notice(&mut sim, balancers - 1);
    row.agent_death = notice(&mut sim, balancers + 1);
    row.false_deaths = sim.false_deaths.len();
    row.falsely_dead = falsely_dead(&sim);
    row.node_hours = (sim.now * sim.nodes.len() as u64) as f64 / 3.6e6;
    row
}

/// Measures a fleet in which nothing changes.
fn steady(sim: &mut FleetSim) -> Row {
    sim.reset_counters();
    sim.run_for(STEADY);
    let seconds = STEADY as f64 / 1_000.0;
    let balancers = 0..sim.shape.balancers;
    let agents = sim.shape.balancers..sim.nodes.len();
    let rate = |range: std::ops::Range<usize>, value: fn(&Traffic) -> u64| {
        let nodes = sim.nodes[range].iter();
        spread(nodes.map(|node| value(&node.traffic) as f64 / seconds))
    };
    let cpu = |range: std::ops::Range<usize>| {
        let nodes = sim.nodes[range].iter();
        spread(nodes.map(|node| node.cpu.as_secs_f64() / seconds)).mean
    };
    let memory = |range: std::ops::Range<usize>| {
        let nodes = sim.nodes[range].iter();
        spread(nodes.map(|node| match &node.role {
            Role::Balancer(protocol) => protocol.memory() as f64,
            Role::Agent(announcer) => announcer.memory() as f64,
        }))
        .mean
    };
    Row {
        balancers: sim.shape.balancers,
        agents: sim.shape.agents,
        loss: sim.shape.loss,
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

/// Puts a version in force at one balancer and returns when each process had it.
fn spread_version(sim: &mut FleetSim, number: u32) -> Vec<u64> {
    let start = sim.now;
    let first = number as usize * 7 % sim.shape.balancers;
    sim.adopt(first, number, false);
    sim.run_until(30_000, |sim| {
        (0..sim.nodes.len()).all(|id| sim.version(id) == number)
    });
    let running = sim.nodes.iter().filter(|node| node.run == Run::Running);
    let times = running.map(|node| match node.tracker.number() == number {
        true => node.adopted_at - start,
        false => 30_000,
    });
    times.collect()
}

/// Stops a member and returns when the last balancer has noticed.
fn notice(sim: &mut FleetSim, victim: usize) -> Option<u64> {
    sim.stop(victim);
    let took = sim.run_until(60_000, |sim| {
        let dead = |state| state == MemberState::Dead;
        sim.holders(victim, dead) == sim.running_balancers().len()
    });
    sim.run_for(5_000);
    took
}

/// Returns how many members were falsely taken for dead by at least one balancer.
fn falsely_dead(sim: &FleetSim) -> usize {
    let mut members: Vec<usize> = sim.false_deaths.iter().map(|verdict| verdict.2).collect();
    members.sort_unstable();
    members.dedup();
    members.len()
}

fn spread(values: impl Iterator<Item = f64>) -> Spread {
    let values: Vec<f64> = values.collect();
    Spread {
        mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
        most: values.iter().copied().fold(0.0, f64::max),
    }
}

fn print_tables(rows: &[Row]) {
    println!("| balancers / agents | loss | balancer sent B/s, mean (most) | balancer received B/s, mean (most) | balancer messages/s, mean (most) | bulk B/s | agent sent B/s, mean (most) | agent received B/s, mean (most) |");
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
    println!("| balancers / agents | loss | balancer CPU, % of a core | agent CPU, % of a core | balancer memory, KiB | agent memory, KiB | version everywhere ms, median (worst) | balancer death noticed by all, ms | agent death noticed by all, ms | false verdicts / members concerned (node hours) |");
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
            shown(row.balancer_death),
            shown(row.agent_death),
            row.false_deaths,
            row.falsely_dead,
            row.node_hours,
        );
    }
}

fn shown(time: Option<u64>) -> String {
    time.map_or_else(|| "over 60000".to_owned(), |time| time.to_string())
}

impl std::fmt::Display for Spread {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.0} ({:.0})", self.mean, self.most)
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

/// Plots one figure of a balancer over the number of balancers, without and with loss.
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
