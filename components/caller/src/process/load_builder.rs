//! Settings of a load run.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use snafu::{
    ensure,
    Snafu, //
};

use crate::{
    connection::{
        ClientBuilder,
        ClientError, //
    },
    process::{
        request_plan::{
            RequestPlan,
            StreamFn, //
        },
        LoadRun,
        RequestMix, //
    },
};

/// Longest run.
const MAX_DURATION: Duration = Duration::from_secs(3_600);
/// Most flows that a run may keep open.
const MAX_FLOWS: usize = 20_000;
/// Most local sockets of a run.
const MAX_SOCKETS: usize = 512;
/// Most concurrent requests.
const MAX_CONCURRENT: usize = 4_096;
/// Highest rate, in requests per second.
const MAX_RATE: f64 = 100_000.0;
/// Most bytes that the bodies of all concurrent requests may take together.
const MAX_TOTAL_LEN: usize = 4 << 30;
/// Longest body of a single request or response, in bytes.
const MAX_BODY_LEN: usize = 64 << 20;
/// Most retries of a request.
const MAX_RETRIES: u32 = 20;

/// Function that returns the name of the server that owns the latest flow of a local port.
pub(super) type OwnerFn = Arc<dyn Fn(u16) -> CompactString + Send + Sync>;

/// Reasons why a load run can't be started or completed.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// A setting is out of range.
    #[snafu(display("{name}: found {found}; allowed: {allowed}"))]
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// The given value.
        found: String,
        /// The allowed range.
        allowed: String,
    },
    /// A client can't be built, for instance because its address can't be bound.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// Error of the client.
        source: ClientError,
    },
    /// A worker task panicked.
    #[snafu(display("worker task failed: {source}"), context(false))]
    Worker {
        /// Error of the task.
        source: tokio::task::JoinError,
    },
}

/// Collects the settings of a [`LoadRun`].
#[derive(Clone)]
pub struct LoadBuilder {
    pub(super) client: ClientBuilder,
    pub(super) address: SocketAddr,
    pub(super) duration: Duration,
    pub(super) requests: Option<u64>,
    pub(super) flows: usize,
    pub(super) sockets: usize,
    pub(super) rate: Option<f64>,
    pub(super) max_concurrent: usize,
    pub(super) request_mix: RequestMix,
    pub(super) small_len: usize,
    pub(super) large_len: usize,
    pub(super) echo_len: usize,
    pub(super) timeout: Duration,
    pub(super) repeats: u32,
    pub(super) seed: u64,
    pub(super) stream: StreamFn,
    pub(super) owner: OwnerFn,
}

impl LoadBuilder {
    /// Creates the default settings of a run against the service at `address`.
    ///
    /// `stream(seed, offset, len)` returns `len` bytes at `offset` of the body that the server
    /// generates from `seed`.
    pub(super) fn new(
        client: ClientBuilder,
        address: SocketAddr,
        stream: impl Fn(u64, u64, usize) -> Bytes + Send + Sync + 'static,
    ) -> LoadBuilder {
        LoadBuilder {
            client,
            address,
            duration: Duration::from_secs(10),
            requests: None,
            flows: 8,
            sockets: 64,
            rate: None,
            max_concurrent: 16,
            request_mix: RequestMix::default(),
            small_len: 256,
            large_len: 1 << 20,
            echo_len: 4 << 10,
            timeout: Duration::from_secs(30),
            repeats: 3,
            seed: 1,
            stream: Arc::new(stream),
            owner: Arc::new(|_| CompactString::default()),
        }
    }

    /// Sets how long requests are sent; 10 s by default, at most an hour.
    pub fn duration(mut self, duration: Duration) -> LoadBuilder {
        self.duration = duration;
        self
    }

    /// Sets the number of requests after which the run ends; by default only its duration ends it.
    pub fn requests(mut self, requests: Option<u64>) -> LoadBuilder {
        self.requests = requests;
        self
    }

    /// Sets the number of flows that are kept open; 8 by default.
    pub fn flows(mut self, flows: usize) -> LoadBuilder {
        self.flows = flows;
        self
    }

    /// Sets the maximum number of local sockets that the flows share; 64 by default.
    pub fn sockets(mut self, sockets: usize) -> LoadBuilder {
        self.sockets = sockets;
        self
    }

    /// Sets the requests per second; by default, each worker sends its next request as soon as the
    /// previous one is completed.
    pub fn rate(mut self, rate: Option<f64>) -> LoadBuilder {
        self.rate = rate;
        self
    }

    /// Sets the maximum number of concurrent requests; 16 by default.
    pub fn max_concurrent(mut self, max_concurrent: usize) -> LoadBuilder {
        self.max_concurrent = max_concurrent;
        self
    }

    /// Sets the relative shares of the request kinds; by default 8 small, 1 large, 1 echo and no
    /// record requests.
    pub fn request_mix(mut self, request_mix: RequestMix) -> LoadBuilder {
        self.request_mix = request_mix;
        self
    }

    /// Sets the length of a small response, in bytes; 256 by default.
    pub fn small_len(mut self, len: usize) -> LoadBuilder {
        self.small_len = len;
        self
    }

    /// Sets the length of a large response, in bytes; 1 MiB by default.
    pub fn large_len(mut self, len: usize) -> LoadBuilder {
        self.large_len = len;
        self
    }

    /// Sets the length of the body of a POST request, in bytes; 4 KiB by default.
    pub fn echo_len(mut self, len: usize) -> LoadBuilder {
        self.echo_len = len;
        self
    }

    /// Sets the timeout of each attempt; 30 s by default.
    pub fn timeout(mut self, timeout: Duration) -> LoadBuilder {
        self.timeout = timeout;
        self
    }

    /// Sets the maximum number of retries of a request; 3 by default.
    ///
    /// A POST request is retried only if it certainly didn't run.
    pub fn repeats(mut self, repeats: u32) -> LoadBuilder {
        self.repeats = repeats;
        self
    }

    /// Sets the seed of the random requests; 1 by default.
    pub fn seed(mut self, seed: u64) -> LoadBuilder {
        self.seed = seed;
        self
    }

    /// Sets how the server of a broken flow without a response is found: `owner` returns its name, or
    /// an empty text, for a local port on which the flow was the latest. By default it isn't found.
    /// With fewer sockets than flows, several flows have the same port.
    pub fn owner(
        mut self,
        owner: impl Fn(u16) -> CompactString + Send + Sync + 'static,
    ) -> LoadBuilder {
        self.owner = Arc::new(owner);
        self
    }

    /// Validates the settings and creates the run.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::OutOfRange`] for the first setting that is out of range.
    pub fn build(self) -> Result<LoadRun, LoadError> {
        self.check_numbers()?;
        self.check_lengths()?;
        Ok(LoadRun::new(self))
    }

    fn check_numbers(&self) -> Result<(), LoadError> {
        let millis = |duration: Duration| duration.as_millis() as usize;
        let limit = millis(MAX_DURATION);
        check("duration in ms", millis(self.duration), 1, limit)?;
        check("timeout in ms", millis(self.timeout), 1, limit)?;
        check("flows", self.flows, 1, MAX_FLOWS)?;
        check("sockets", self.sockets, 1, MAX_SOCKETS)?;
        check("concurrent", self.max_concurrent, 1, MAX_CONCURRENT)?;
        check("repeats", self.repeats as usize, 0, MAX_RETRIES as usize)?;
        let shares = self.request_mix.total() as usize;
        check("sum of shares", shares, 1, u32::MAX as usize - 1)?;
        let Some(rate) = self.rate else {
            return Ok(());
        };
        ensure!(
            rate > 0.0 && rate <= MAX_RATE,
            OutOfRangeSnafu {
                name: "rate",
                found: rate.to_string(),
                allowed: format!("more than 0, at most {MAX_RATE}"),
            }
        );
        Ok(())
    }

    fn check_lengths(&self) -> Result<(), LoadError> {
        check("small length", self.small_len, 0, MAX_BODY_LEN)?;
        check("large length", self.large_len, 0, MAX_BODY_LEN)?;
        check("echo length", self.echo_len, 0, MAX_BODY_LEN)?;
        let largest = self.small_len.max(self.large_len).max(self.echo_len);
        let total = largest * self.max_concurrent;
        check("concurrent times length", total, 0, MAX_TOTAL_LEN)
    }

    /// Creates the generator of the run's requests.
    pub(super) fn plan(&self) -> RequestPlan {
        RequestPlan {
            request_mix: self.request_mix,
            small_len: self.small_len,
            large_len: self.large_len,
            echo_len: self.echo_len,
            timeout: self.timeout,
            seed: self.seed,
            stream: self.stream.clone(),
            next_identity: Default::default(),
        }
    }
}

fn check(name: &'static str, found: usize, least: usize, most: usize) -> Result<(), LoadError> {
    ensure!(
        (least..=most).contains(&found),
        OutOfRangeSnafu {
            name,
            found: found.to_string(),
            allowed: format!("{least} to {most}"),
        }
    );
    Ok(())
}
