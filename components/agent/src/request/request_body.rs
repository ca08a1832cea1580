//! Body of a request on its way to the backend server.

use std::io;

use bytes::{
    Buf,
    Bytes, //
};
use futures_util::TryStreamExt;
use http::{
    header::CONTENT_LENGTH,
    Method,
    Request, //
};
use http_body_util::{
    BodyExt,
    Empty,
    StreamBody, //
};
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::connection::ServerBody;

/// Maximum number of queued parts of a request's body.
const BODY_QUEUE_LEN: usize = 4;

/// Half of a request's stream from which its body is read.
pub(super) type BodyStream = h3::server::RequestStream<h3_quinn::RecvStream, Bytes>;

/// Returns whether a request may have a body, which can be sent only once.
pub(super) fn may_have_body(request: &Request<()>) -> bool {
    let declared = request.headers().get(CONTENT_LENGTH);
    match declared {
        Some(length) => length != "0",
        None => !matches!(
            *request.method(),
            Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS
        ),
    }
}

/// Returns the body of a request that has none.
pub(super) fn empty_body() -> ServerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Converts the caller's body for the server. An incomplete body ends with an error, so that the
/// server doesn't take a part for the whole.
pub(super) fn stream_body(mut body: BodyStream) -> ServerBody {
    let (sender, receiver) = mpsc::channel::<io::Result<Bytes>>(BODY_QUEUE_LEN);
    tokio::task::spawn_local(async move {
        loop {
            let part = match body.recv_data().await {
                Ok(Some(mut data)) => Ok(data.copy_to_bytes(data.remaining())),
                Ok(None) => return,
                Err(error) => Err(io::Error::other(error)),
            };
            let last = part.is_err();
            if sender.send(part).await.is_err() || last {
                return;
            }
        }
    });
    let parts = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    });
    StreamBody::new(parts.map_ok(Frame::data)).boxed_unsync()
}
