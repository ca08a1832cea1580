//! Arguments of `load`.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use clap::Args;

/// Arguments of `load`.
#[derive(Args, Debug)]
pub(crate) struct LoadArgs {
    /// Address of the service; a loopback address, because the load can't tell whose service it
    /// would overload.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Name that the certificate of the service carries.
    #[arg(long, value_name = "NAME")]
    pub(crate) server_name: String,
    /// File with the certificates to trust (PEM).
    #[arg(long, value_name = "FILE")]
    pub(crate) ca: PathBuf,
    /// Duration, in seconds; at most 3600.
    #[arg(long, default_value_t = 10, value_name = "N")]
    pub(crate) seconds: u64,
    /// Ends the load after this many requests.
    #[arg(long, value_name = "N")]
    pub(crate) requests: Option<u64>,
    /// Flows that are kept open; at most 20000.
    #[arg(long, default_value_t = 8, value_name = "N")]
    pub(crate) flows: usize,
    /// Local addresses that the flows share; at most 512.
    #[arg(long, default_value_t = 64, value_name = "N")]
    pub(crate) sockets: usize,
    /// Requests a second, at most 100000; without it, the next request follows an answer.
    #[arg(long, value_name = "R")]
    pub(crate) rate: Option<f64>,
    /// Requests that run at a time; at most 4096.
    #[arg(long, default_value_t = 16, value_name = "N")]
    pub(crate) concurrent: usize,
    /// Share of GET requests with a small answer.
    #[arg(long, default_value_t = 8, value_name = "SHARE")]
    pub(crate) small_share: u32,
    /// Share of GET requests with a large answer.
    #[arg(long, default_value_t = 1, value_name = "SHARE")]
    pub(crate) large_share: u32,
    /// Share of POST requests whose body comes back.
    #[arg(long, default_value_t = 1, value_name = "SHARE")]
    pub(crate) echo_share: u32,
    /// Share of POST requests that the server counts by their identity.
    #[arg(long, default_value_t = 0, value_name = "SHARE")]
    pub(crate) record_share: u32,
    /// Length of a small answer; at most 67108864.
    #[arg(long, default_value_t = 256, value_name = "BYTES")]
    pub(crate) small_bytes: usize,
    /// Length of a large answer; at most 67108864.
    #[arg(long, default_value_t = 1_048_576, value_name = "BYTES")]
    pub(crate) large_bytes: usize,
    /// Length of the body of a POST request; at most 67108864.
    #[arg(long, default_value_t = 4_096, value_name = "BYTES")]
    pub(crate) body_bytes: usize,
    /// Time limit of each attempt of a request, in milliseconds; at most 3600000.
    #[arg(long, default_value_t = 30_000, value_name = "MS")]
    pub(crate) timeout_ms: u64,
    /// Repeats of a request, at most 20; a POST is repeated only if it certainly didn't run.
    #[arg(long, default_value_t = 3, value_name = "N")]
    pub(crate) repeats: u32,
    /// Seed from which requests are drawn.
    #[arg(long, default_value_t = 1, value_name = "N")]
    pub(crate) seed: u64,
    /// Prints one JSON object.
    #[arg(long)]
    pub(crate) json: bool,
}
