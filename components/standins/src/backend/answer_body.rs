//! Body of a response.

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

/// Largest piece of a body that is computed at once, in bytes.
const PIECE_LEN: u64 = 16_384;

/// The body ends early on purpose: hyper closes the connection then.
#[derive(Debug, Snafu)]
#[snafu(display("the body ends early on purpose"))]
pub(crate) struct BodyCut;

enum BodySource {
    Given(Bytes),
    Computed(u64),
}

/// Body of a response: given bytes or the stream of a seed, which may end early.
///
/// It keeps the request in flight until it is sent or dropped.
pub(crate) struct AnswerBody {
    source: BodySource,
    offset: u64,
    len: u64,
    cut_at: Option<u64>,
    is_flushed: bool,
    guard: Option<LoadGuard>,
}

impl AnswerBody {
    /// Creates a body of given bytes.
    pub(crate) fn given(bytes: impl Into<Bytes>) -> AnswerBody {
        let bytes = bytes.into();
        let len = bytes.len() as u64;
        AnswerBody::new(BodySource::Given(bytes), len)
    }

    /// Creates a body of `len` bytes of the stream of `seed`.
    pub(crate) fn computed(seed: u64, len: u64) -> AnswerBody {
        AnswerBody::new(BodySource::Computed(seed), len)
    }

    fn new(source: BodySource, len: u64) -> AnswerBody {
        AnswerBody {
            source,
            offset: 0,
            len,
            cut_at: None,
            is_flushed: false,
            guard: None,
        }
    }

    /// Ends the body after half of its length, by an error.
    pub(crate) fn cut(mut self) -> AnswerBody {
        self.cut_at = Some(self.len / 2);
        self
    }

    /// Keeps the request in flight until the body is sent.
    pub(crate) fn guarded(mut self, guard: LoadGuard) -> AnswerBody {
        self.guard = Some(guard);
        if self.is_end_stream() {
            // hyper doesn't ask an empty body for its end.
            self.finish();
        }
        self
    }

    fn piece(&self, count: u64) -> Bytes {
        match &self.source {
            BodySource::Given(bytes) => {
                bytes.slice(self.offset as usize..(self.offset + count) as usize)
            }
            BodySource::Computed(seed) => body_chunk(*seed, self.offset, count as usize),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        let end = self.cut_at.unwrap_or(self.len);
        if self.offset < end {
            let count = PIECE_LEN.min(end - self.offset);
            let piece = self.piece(count);
            self.offset += count;
            if self.offset == self.len {
                self.finish();
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if self.cut_at.is_some() {
            return self.poll_cut(context);
        }
        self.finish();
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.cut_at.is_none() && self.offset == self.len
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len - self.offset)
    }
}

impl AnswerBody {
    /// Fails at the second poll. hyper sends what it has when a body is pending, and drops it when
    /// a body fails.
    fn poll_cut(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        if std::mem::replace(&mut self.is_flushed, true) {
            return Poll::Ready(Some(BodyCutSnafu.fail()));
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
