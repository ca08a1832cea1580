//! Runs an experiment in the simulation of the platform.
//!
//! Run as `cargo run --release -p carobdrum-model --example experiment -- FILE [--seed N] [--svg
//! PLOT]`. It prints a table with a row for each second; the plot shows the same numbers except for
//! late responses.

use std::path::{
    Path,
    PathBuf, //
};

use carobdrum_model::{
    Experiment,
    FlowModel,
    ModelStats,
    SecondStats, //
};
use clap::Parser;
use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 420);

/// Runs an experiment in the simulation of the platform.
#[derive(Parser)]
struct Options {
    /// The experiment (TOML).
    file: PathBuf,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for the plot (SVG).
    #[arg(long)]
    svg: Option<PathBuf>,
}

type Outcome = Result<(), Box<dyn std::error::Error>>;

fn main() -> Outcome {
    let options = Options::parse();
    let experiment = Experiment::read(&options.file)?;
    let seconds = usize::try_from(experiment.length_ms.div_ceil(1_000))?;
    let stats = FlowModel::new(experiment, options.seed).run();
    print_table(&stats, seconds);
    if let Some(path) = &options.svg {
        draw(path, &stats, seconds)?;
    }
    Ok(())
}

fn print_table(stats: &ModelStats, seconds: usize) {
    println!("second  asked in_time   late unserved");
    for (index, second) in stats.seconds.iter().enumerate() {
        print_row(&index.to_string(), *second);
    }
    print_row("all", stats.sum(0, seconds));
    println!("wrong resets {}", stats.wrong_resets);
    println!(
        "delivered {}, misdelivered {}",
        stats.delivered, stats.misdelivered
    );
    println!("failed responses {}", stats.failed_responses);
}

fn print_row(name: &str, second: SecondStats) {
    let SecondStats {
        started,
        in_time,
        late,
        unserved,
    } = second;
    println!("{name:>6} {started:>6} {in_time:>7} {late:>6} {unserved:>8}");
}

fn draw(path: &Path, stats: &ModelStats, seconds: usize) -> Outcome {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let most = stats.seconds.iter().map(|second| second.started).max();
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .set_label_area_size(LabelAreaPosition::Left, 48)
        .set_label_area_size(LabelAreaPosition::Bottom, 32)
        .build_cartesian_2d(0..seconds, 0..most.unwrap_or(1))?;
    chart.configure_mesh().draw()?;
    let line = |value: fn(&SecondStats) -> u32| {
        let seconds = stats.seconds.iter().take(seconds).enumerate();
        seconds.map(move |(index, second)| (index, value(second)))
    };
    chart.draw_series(LineSeries::new(line(|second| second.started), &BLACK))?;
    chart.draw_series(LineSeries::new(line(|second| second.in_time), &BLUE))?;
    chart.draw_series(LineSeries::new(line(|second| second.unserved), &RED))?;
    root.present()?;
    Ok(())
}
