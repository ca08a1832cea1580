//! W3C trace context, which correlates the spans of one request.

use compact_str::{
    format_compact,
    CompactString, //
};
use ring::digest::{
    Context,
    SHA256, //
};

/// Label for domain separation, so that the trace id differs from other hashes of the same bytes.
const FLOW_LABEL: &[u8] = b"carobdrum trace 1";

/// Length of a version 00 `traceparent`, in bytes.
const TRACEPARENT_LEN: usize = 55;

/// Flag bit with which a caller asks that the trace be recorded.
const SAMPLED: u8 = 1;

/// Trace and parent span of a request, as in the header `traceparent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the whole trace; never all zero.
    pub trace_id: [u8; 16],
    /// Id of the parent span; never all zero.
    pub parent_id: [u8; 8],
    /// Trace flags; bit 0 is "sampled".
    pub flags: u8,
}

impl TraceContext {
    /// Starts a new trace with random ids.
    pub fn random() -> TraceContext {
        TraceContext {
            trace_id: nonzero(rand::random()),
            parent_id: nonzero(rand::random()),
            flags: SAMPLED,
        }
    }

    /// Derives the trace of a flow from bytes that identify it: its first connection ID, or the
    /// addresses of an opaque flow.
    ///
    /// Balancer and agent derive the same trace from the same bytes without exchanging anything.
    pub fn from_flow(bytes: &[u8]) -> TraceContext {
        let mut context = Context::new(&SHA256);
        context.update(FLOW_LABEL);
        context.update(bytes);
        let digest = context.finish();
        let mut trace_id = [0; 16];
        let mut parent_id = [0; 8];
        trace_id.copy_from_slice(&digest.as_ref()[..16]);
        parent_id.copy_from_slice(&digest.as_ref()[16..24]);
        TraceContext {
            trace_id: nonzero(trace_id),
            parent_id: nonzero(parent_id),
            flags: SAMPLED,
        }
    }

    /// Parses the value of a `traceparent` header.
    ///
    /// A later version of the format is parsed as version 00, as the W3C recommendation asks.
    /// Returns `None` if the value is malformed; the receiver then starts a new trace.
    pub fn parse(value: &str) -> Option<TraceContext> {
        let bytes = value.as_bytes();
        if bytes.len() < TRACEPARENT_LEN {
            return None;
        }
        let dashes = [2, 35, 52].iter().all(|&at| bytes[at] == b'-');
        let [version] = parse_hex(&bytes[..2])?;
        let rest = &bytes[TRACEPARENT_LEN..];
        let rest_fits = rest.is_empty() || (version != 0 && rest[0] == b'-');
        if !dashes || version == 0xff || !rest_fits {
            return None;
        }
        let trace_id = parse_hex(&bytes[3..35])?;
        let parent_id = parse_hex(&bytes[36..52])?;
        let [flags] = parse_hex(&bytes[53..TRACEPARENT_LEN])?;
        if trace_id == [0; 16] || parent_id == [0; 8] {
            return None;
        }
        Some(TraceContext {
            trace_id,
            parent_id,
            flags,
        })
    }

    /// Returns the value of a `traceparent` header in version 00, with no flag but "sampled".
    pub fn format(&self) -> CompactString {
        let trace_id = self.trace_id_hex();
        let parent_id = u64::from_be_bytes(self.parent_id);
        let flags = self.flags & SAMPLED;
        format_compact!("00-{trace_id}-{parent_id:016x}-{flags:02x}")
    }

    /// Returns the trace id in 32 hexadecimal digits.
    pub fn trace_id_hex(&self) -> CompactString {
        format_compact!("{:032x}", u128::from_be_bytes(self.trace_id))
    }

    /// Returns the context for a child span: the same trace with a new random parent id.
    pub fn child(&self) -> TraceContext {
        TraceContext {
            parent_id: nonzero(rand::random()),
            ..*self
        }
    }
}

/// Replaces an all-zero id, which the W3C recommendation forbids.
fn nonzero<const N: usize>(mut id: [u8; N]) -> [u8; N] {
    if id == [0; N] {
        id[N - 1] = 1;
    }
    id
}

/// Parses lower-case hexadecimal digits; the W3C recommendation forbids upper case.
fn parse_hex<const N: usize>(digits: &[u8]) -> Option<[u8; N]> {
    let mut parsed = [0; N];
    for (byte, pair) in parsed.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(parsed)
}

fn digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}
