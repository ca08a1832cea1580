//! The sending half of a request's stream.

use bytes::Bytes;
use h3::{
    client::RequestStream,
    error::{
        Code,
        StreamError, //
    },
};

/// Longest part of a body that is handed to the connection at once, in bytes.
const CHUNK_LEN: usize = 64 << 10;

type SendHalf = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

/// Resets the sending half of a request when dropped before the whole body was sent.
///
/// Dropping an unfinished `quinn` stream finishes it, so the server would take a truncated body for
/// a complete one.
pub(crate) struct BodyGuard {
    stream: SendHalf,
    is_finished: bool,
}

impl BodyGuard {
    /// Creates a guard for a stream on which the request head was already sent.
    pub(crate) fn new(stream: SendHalf) -> BodyGuard {
        BodyGuard {
            stream,
            is_finished: false,
        }
    }

    /// Sends the whole body and ends the stream.
    ///
    /// # Errors
    ///
    /// Returns the stream's error, for instance if the peer stopped reading.
    pub(crate) async fn send(&mut self, mut body: Bytes) -> Result<(), StreamError> {
        while !body.is_empty() {
            let chunk = body.split_to(body.len().min(CHUNK_LEN));
            self.stream.send_data(chunk).await?;
        }
        self.stream.finish().await?;
        self.is_finished = true;
        Ok(())
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
        }
    }
}
