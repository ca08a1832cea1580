//! Arguments of `demo`.

use clap::Args;

/// Arguments of `demo`.
#[derive(Args, Debug)]
pub(crate) struct DemoArgs {
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 8, value_name = "N",
          value_parser = clap::value_parser!(u64).range(4..=120))]
    pub(crate) seconds: u64,
    /// Seed of the random requests and of the fabric's choices.
    #[arg(long, default_value_t = 1, value_name = "N")]
    pub(crate) seed: u64,
    /// Prints the result as one JSON object.
    #[arg(long)]
    pub(crate) json: bool,
}
