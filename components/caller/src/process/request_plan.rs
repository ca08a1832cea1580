//! Requests of a load and what they must be answered with.

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

/// Header that identifies a recorded request.
const IDENTITY_HEADER: HeaderName = HeaderName::from_static("x-request-identity");
/// Length of the pieces in which a body is compared, in bytes.
const PIECE_LEN: usize = 64 << 10;

/// Returns `len` bytes at `offset` of the stream that the server defines by a seed.
pub(crate) type StreamFn = Arc<dyn Fn(u64, u64, usize) -> Bytes + Send + Sync>;

/// What a request must be answered with.
#[derive(Clone, Debug)]
enum ExpectedBody {
    /// The start of the stream of a seed.
    Stream { seed: u64, len: usize },
    /// These bytes.
    Exact(Bytes),
    /// Any body; the server's own count tells whether the request ran once.
    Any,
}

/// A request with what it must be answered with.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    /// The request.
    pub(crate) request: CallerRequest,
    expected: ExpectedBody,
}

/// Draws the requests of a load.
pub(crate) struct RequestPlan {
    /// Shares of the kinds.
    pub(crate) request_mix: RequestMix,
    /// Length of a small answer, in bytes.
    pub(crate) small_len: usize,
    /// Length of a large answer, in bytes.
    pub(crate) large_len: usize,
    /// Length of a request body, in bytes.
    pub(crate) echo_len: usize,
    /// Time limit of a request.
    pub(crate) timeout: Duration,
    /// Seed of the run, which makes identities distinct between runs.
    pub(crate) seed: u64,
    /// Bytes of the answers to GET requests.
    pub(crate) stream: StreamFn,
    /// Number of the next identity.
    pub(crate) identities: AtomicU64,
}

impl RequestPlan {
    /// Draws a request.
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

    /// Checks an answer; returns what is wrong with it, or `None`.
    pub(crate) fn fault_of(
        &self,
        planned: &PlannedRequest,
        answer: &CallerResponse,
    ) -> Option<CompactString> {
        let fault = match &planned.expected {
            ExpectedBody::Any => None,
            ExpectedBody::Exact(body) => first_difference(&answer.body, body),
            ExpectedBody::Stream { seed, len } => self.stream_difference(&answer.body, *seed, *len),
        };
        let place = fault?;
        let (method, path) = (&planned.request.method, &planned.request.path);
        let len = answer.body.len();
        Some(format_compact!(
            "{method} {path}: differs at byte {place} of {len}"
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
        let number = self.identities.fetch_add(1, Ordering::Relaxed);
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
        for (index, piece) in found.chunks(PIECE_LEN).enumerate() {
            let offset = index * PIECE_LEN;
            let wanted = (self.stream)(seed, offset as u64, piece.len());
            if let Some(place) = first_difference(piece, &wanted) {
                return Some(offset + place);
            }
        }
        (found.len() != len).then_some(found.len().min(len))
    }
}

/// Returns the first place where two texts differ, or `None` when they are equal.
fn first_difference(found: &[u8], wanted: &[u8]) -> Option<usize> {
    if found == wanted {
        return None;
    }
    let place = found.iter().zip(wanted).position(|(a, b)| a != b);
    Some(place.unwrap_or_else(|| found.len().min(wanted.len())))
}
