//! Measures the request policy in small simulations with fixed seeds.
//!
//! Run as `cargo run --release -p carobdrum-core --example policy -- [--seed N] [--svg DIR]`. The
//! tables are written to standard output, and plots to `DIR` if it is given.

mod figures;
mod load_signal;
mod plots;
mod pool_case;
mod pool_model;
mod server_case;
mod server_model;
mod tables;

use std::path::PathBuf;

use snafu::{
    OptionExt,
    Snafu, //
};

/// Reason why the command line is rejected.
#[derive(Debug, Snafu)]
enum OptionError {
    #[snafu(display("option {name} needs a value"))]
    MissingValue { name: String },
    #[snafu(display("unknown option {name}; usage: policy [--seed N] [--svg DIR]"))]
    UnknownOption { name: String },
}

struct Options {
    seed: u64,
    svg: Option<PathBuf>,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = read_options()?;
    println!("Seed {}.\n", options.seed);
    tables::print_placements(options.seed);
    tables::print_variants(options.seed);
    tables::print_limits(options.seed);
    tables::print_ramps(options.seed);
    if let Some(directory) = options.svg {
        plots::draw_all(&directory, options.seed)?;
    }
    Ok(())
}

fn read_options() -> Result<Options, Box<dyn std::error::Error>> {
    let mut options = Options { seed: 1, svg: None };
    let mut arguments = std::env::args().skip(1);
    while let Some(name) = arguments.next() {
        let value = arguments
            .next()
            .context(MissingValueSnafu { name: &name })?;
        match name.as_str() {
            "--seed" => options.seed = value.parse()?,
            "--svg" => options.svg = Some(value.into()),
            _ => UnknownOptionSnafu { name }.fail()?,
        }
    }
    Ok(options)
}
