//! The sending half of a request.

use bytes::Bytes;
use h3::{
    client::RequestStream,
    error::{
        Code,
        StreamError, //
    },
};

/// Longest piece of a body that is handed to the connection at once, in bytes.
const PIECE_LEN: usize = 64 << 10;

type SendHalf = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

/// Resets the sending half of a request unless its body was sent to the end.
///
/// Dropping an unfinished `quinn` stream finishes it, so that the server would take a part of a body
/// for the whole.
pub(crate) struct BodyGuard {
    stream: SendHalf,
    is_finished: bool,
}

impl BodyGuard {
    /// Wraps the sending half of a request.
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
    /// Returns what the stream reports, such as a peer that reads no further.
    pub(crate) async fn send(&mut self, mut body: Bytes) -> Result<(), StreamError> {
        while !body.is_empty() {
            let piece = body.split_to(body.len().min(PIECE_LEN));
            self.stream.send_data(piece).await?;
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
