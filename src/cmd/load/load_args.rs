//! Arguments of `load`.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use clap::Args;

/// Arguments of `load`.
#[derive(Args, Debug)]
pub(crate) struct LoadArgs {
    /// Address of the service; must be a loopback address, so that the load can't overload a
    /// service on another machine.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Server name in the certificate of the service.
    #[arg(long, value_name = "NAME")]
    pub(crate) server_name: String,
    /// File with the root certificates to trust (PEM).
    #[arg(long, value_name = "FILE")]
    pub(crate) ca: PathBuf,
    /// Duration of the load, in seconds; at most 3600.
    #[arg(long, default_value_t = 10, value_name = "N")]
    pub(crate) seconds: u64,
    /// Ends the load after this many requests.
    #[arg(long, value_name = "N")]
    pub(crate) requests: Option<u64>,
    /// Number of flows that are kept open; at most 20000.
    #[arg(long, default_value_t = 8, value_name = "N")]
    pub(crate) flows: usize,
    /// Number of local sockets that the flows share; at most 512.
    #[arg(long, default_value_t = 64, value_name = "N")]
    pub(crate) sockets: usize,
    /// Requests per second, at most 100000; by default, each request is followed by the next one
    /// as soon as it is completed.
    #[arg(long, value_name = "R")]
    pub(crate) rate: Option<f64>,
    /// Number of concurrent requests; at most 4096.
    #[arg(long, default_value_t = 16, value_name = "N")]
    pub(crate) concurrent: usize,
    /// Relative share of GET requests with a small response.
    #[arg(long, default_value_t = 8, value_name = "SHARE")]
    pub(crate) small_share: u32,
    /// Relative share of GET requests with a large response.
    #[arg(long, default_value_t = 1, value_name = "SHARE")]
    pub(crate) large_share: u32,
    /// Relative share of POST requests whose response repeats their body.
    #[arg(long, default_value_t = 1, value_name = "SHARE")]
    pub(crate) echo_share: u32,
    /// Relative share of POST requests with a unique identity, by which the server counts how often
    /// each ran.
    #[arg(long, default_value_t = 0, value_name = "SHARE")]
    pub(crate) record_share: u32,
    /// Length of a small response, in bytes; at most 67108864.
    #[arg(long, default_value_t = 256, value_name = "BYTES")]
    pub(crate) small_bytes: usize,
    /// Length of a large response, in bytes; at most 67108864.
    #[arg(long, default_value_t = 1_048_576, value_name = "BYTES")]
    pub(crate) large_bytes: usize,
    /// Length of the body of a POST request, in bytes; at most 67108864.
    #[arg(long, default_value_t = 4_096, value_name = "BYTES")]
    pub(crate) body_bytes: usize,
    /// Timeout of each attempt of a request, in milliseconds; at most 3600000.
    #[arg(long, default_value_t = 30_000, value_name = "MS")]
    pub(crate) timeout_ms: u64,
    /// Maximum number of retries of a request, at most 20; a POST request is retried only if it
    /// certainly didn't run.
    #[arg(long, default_value_t = 3, value_name = "N")]
    pub(crate) repeats: u32,
    /// Seed of the random requests.
    #[arg(long, default_value_t = 1, value_name = "N")]
    pub(crate) seed: u64,
    /// Prints the result as one JSON object.
    #[arg(long)]
    pub(crate) json: bool,
}
