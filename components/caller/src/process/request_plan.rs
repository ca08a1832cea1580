//! Generated requests of a load and their expected responses.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use http::{
    HeaderName,
    HeaderValue, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    RngCore, //
};

use crate::{
    process::request_mix::{
        RequestKind,
        RequestMix, //
    },
    request::{
        CallerRequest, //
        CallerResponse,
    },
};

/// Header with the identity under which the server counts a request.
const IDENTITY_HEADER: HeaderName = HeaderName::from_static("x-request-identity");
/// Length of the chunks in which a body is compared, in bytes.
const CHUNK_LEN: usize = 64 << 10;

/// Returns `len` bytes at `offset` of the byte stream that the server generates from a seed; called
/// as `stream(seed, offset, len)`.
pub(crate) type StreamFn = Arc<dyn Fn(u64, u64, usize) -> Bytes + Send + Sync>;

/// Expected body of a response.
#[derive(Clone, Debug)]
enum ExpectedBody {
    /// The first `len` bytes of the stream of a seed.
    Stream { seed: u64, len: usize },
    /// Exactly these bytes.
    Exact(Bytes),
    /// Any body; the server's count shows whether the request ran once.
    Any,
}

/// A request and its expected response.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) request: CallerRequest,
    expected: ExpectedBody,
}

impl PlannedRequest {
    /// Returns whether the server counts the runs of the request.
    pub(crate) fn is_recorded(&self) -> bool {
        matches!(self.expected, ExpectedBody::Any)
    }
}

/// Generates the requests of a load.
pub(crate) struct RequestPlan {
    /// Shares of the request kinds.
    pub(crate) request_mix: RequestMix,
    /// Length of a small response, in bytes.
    pub(crate) small_len: usize,
    /// Length of a large response, in bytes.
    pub(crate) large_len: usize,
    /// Length of the body of a POST request, in bytes.
    pub(crate) echo_len: usize,
    /// Timeout of each attempt of a request.
    pub(crate) timeout: Duration,
    /// Seed of the run; part of each identity, so that runs with different seeds don't share any.
    pub(crate) seed: u64,
    /// Expected bodies of responses to GET requests.
    pub(crate) stream: StreamFn,
    /// Counter for the identities of recorded requests.
    pub(crate) next_identity: AtomicU64,
}

impl RequestPlan {
    /// Draws a random request.
    pub(crate) fn draw(&self, rng: &mut SmallRng) -> PlannedRequest {
        let point = rng.random_range(0..self.request_mix.total());
        let mut planned = match self.request_mix.kind_at(point) {
            RequestKind::Small => self.get(rng, self.small_len),
            RequestKind::Large => self.get(rng, self.large_len),
            RequestKind::Echo => self.echo(rng),
            RequestKind::Record => self.record(rng),
        };
        planned.request.timeout = self.timeout;
        planned
    }

    /// Compares a response with the expected one; returns a description of the first difference, or
    /// `None` if they are equal.
    pub(crate) fn find_mismatch(
        &self,
        planned: &PlannedRequest,
        response: &CallerResponse,
    ) -> Option<CompactString> {
        let mismatch = match &planned.expected {
            ExpectedBody::Any => None,
            ExpectedBody::Exact(body) => first_difference(&response.body, body),
            ExpectedBody::Stream { seed, len } => {
                self.stream_difference(&response.body, *seed, *len)
            }
        };
        let position = mismatch?;
        let (method, path) = (&planned.request.method, &planned.request.path);
        let len = response.body.len();
        Some(format_compact!(
            "{method} {path}: differs at byte {position} of {len}"
        ))
    }

    fn get(&self, rng: &mut SmallRng, len: usize) -> PlannedRequest {
        let seed = rng.next_u64();
        PlannedRequest {
            request: CallerRequest::get(format_compact!("/bytes/{len}?seed={seed}")),
            expected: ExpectedBody::Stream { seed, len },
        }
    }

    fn echo(&self, rng: &mut SmallRng) -> PlannedRequest {
        let body = self.random_body(rng);
        PlannedRequest {
            request: CallerRequest::post("/echo", body.clone()),
            expected: ExpectedBody::Exact(body),
        }
    }

    fn record(&self, rng: &mut SmallRng) -> PlannedRequest {
        let number = self.next_identity.fetch_add(1, Ordering::Relaxed);
        let identity = format!("{:016x}-{number}", self.seed);
        let request = CallerRequest::post("/record", self.random_body(rng));
        let request = match HeaderValue::from_maybe_shared(Bytes::from(identity)) {
            Ok(value) => request.header(IDENTITY_HEADER, value),
            Err(_) => request,
        };
        PlannedRequest {
            request,
            expected: ExpectedBody::Any,
        }
    }

    fn random_body(&self, rng: &mut SmallRng) -> Bytes {
        let mut body = vec![0; self.echo_len];
        rng.fill_bytes(&mut body);
        Bytes::from(body)
    }

    fn stream_difference(&self, found: &[u8], seed: u64, len: usize) -> Option<usize> {
        for (index, chunk) in found.chunks(CHUNK_LEN).enumerate() {
            let offset = index * CHUNK_LEN;
            let expected = (self.stream)(seed, offset as u64, chunk.len());
            if let Some(position) = first_difference(chunk, &expected) {
                return Some(offset + position);
            }
        }
        (found.len() != len).then_some(found.len().min(len))
    }
}

/// Returns the index of the first difference, or `None` if both are equal.
fn first_difference(found: &[u8], expected: &[u8]) -> Option<usize> {
    if found == expected {
        return None;
    }
    let position = found.iter().zip(expected).position(|(a, b)| a != b);
    Some(position.unwrap_or_else(|| found.len().min(expected.len())))
}
