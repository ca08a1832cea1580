//! Body of a backend server's response.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use snafu::Snafu;

use super::{
    backend_shared::LoadGuard,
    body_chunk, //
};

/// Largest part of a body that is generated at once, in bytes.
const MAX_FRAME_LEN: u64 = 16_384;

/// Error that truncates a body: hyper closes the connection when a body fails.
#[derive(Debug, Snafu)]
#[snafu(display("response body truncated by an injected fault"))]
pub(crate) struct BodyTruncated;

enum BodySource {
    Fixed(Bytes),
    Generated(u64),
}

/// Body of a response: fixed bytes or the stream of a seed, possibly truncated.
///
/// The request counts as in flight until the body is sent or dropped.
pub(crate) struct ResponseBody {
    source: BodySource,
    offset: u64,
    len: u64,
    truncate_at: Option<u64>,
    is_flushed: bool,
    guard: Option<LoadGuard>,
}

impl ResponseBody {
    /// Creates a body with fixed content.
    pub(crate) fn from_bytes(bytes: impl Into<Bytes>) -> ResponseBody {
        let bytes = bytes.into();
        let len = bytes.len() as u64;
        ResponseBody::new(BodySource::Fixed(bytes), len)
    }

    /// Creates a body of the first `len` bytes of the stream of `seed`.
    pub(crate) fn from_seed(seed: u64, len: u64) -> ResponseBody {
        ResponseBody::new(BodySource::Generated(seed), len)
    }

    fn new(source: BodySource, len: u64) -> ResponseBody {
        ResponseBody {
            source,
            offset: 0,
            len,
            truncate_at: None,
            is_flushed: false,
            guard: None,
        }
    }

    /// Lets the body fail after half of its length.
    pub(crate) fn truncated(mut self) -> ResponseBody {
        self.truncate_at = Some(self.len / 2);
        self
    }

    /// Counts the request as in flight until the body is sent.
    pub(crate) fn with_guard(mut self, guard: LoadGuard) -> ResponseBody {
        self.guard = Some(guard);
        if self.is_end_stream() {
            // hyper doesn't poll an empty body.
            self.finish();
        }
        self
    }

    fn chunk(&self, count: u64) -> Bytes {
        match &self.source {
            BodySource::Fixed(bytes) => {
                bytes.slice(self.offset as usize..(self.offset + count) as usize)
            }
            BodySource::Generated(seed) => body_chunk(*seed, self.offset, count as usize),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        let end = self.truncate_at.unwrap_or(self.len);
        if self.offset < end {
            let count = MAX_FRAME_LEN.min(end - self.offset);
            let chunk = self.chunk(count);
            self.offset += count;
            if self.offset == self.len {
                self.finish();
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.truncate_at.is_some() {
            return self.poll_truncation(context);
        }
        self.finish();
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.truncate_at.is_none() && self.offset == self.len
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len - self.offset)
    }
}

impl ResponseBody {
    /// Returns pending at the first poll, which makes hyper send the data it has buffered, and an
    /// error at the second. hyper drops its buffered data when a body fails.
    fn poll_truncation(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        if std::mem::replace(&mut self.is_flushed, true) {
            return Poll::Ready(Some(BodyTruncatedSnafu.fail()));
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.finish();
        }
    }
}
