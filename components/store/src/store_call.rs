//! One HTTP call of the store.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use http::{
    header,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    body::Incoming,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use snafu::{
    ensure,
    ResultExt, //
};
use tokio::net::TcpStream;

use crate::{
    store_error::{
        BrokenSnafu,
        ConnectSnafu,
        InvalidKeySnafu,
        LongAnswerSnafu,
        MissingIndexSnafu,
        RejectedSnafu,
        SessionLostSnafu,
        TimeoutSnafu,
        UnavailableSnafu, //
    },
    StoreError, //
};

/// Largest response, in bytes: a value of 1 MB in base64 with room for what surrounds it, or a
/// list of the entry points.
const MAX_ANSWER: usize = 4 << 20;

/// Longest part of an error response that is kept, in characters.
const MAX_REASON: usize = 200;

/// What Consul says, with status 500, when a write names an unknown session.
const INVALID_SESSION: &str = "invalid session";

/// One HTTP call of the store.
pub(crate) struct StoreCall {
    pub(crate) method: Method,
    pub(crate) path: CompactString,
    pub(crate) body: Bytes,
    pub(crate) timeout: Duration,
}

/// Response of the store with a status that isn't an error.
pub(crate) struct StoreAnswer {
    pub(crate) found: bool,
    pub(crate) index: Option<u64>,
    pub(crate) body: Bytes,
}

impl StoreCall {
    /// Makes the call on a connection of its own.
    ///
    /// Calls are rare, and a fresh connection can't be one that a device between has forgotten.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the transport, or by the status of the response.
    pub(crate) async fn send(self, address: SocketAddr) -> Result<StoreAnswer, StoreError> {
        let timeout = self.timeout;
        let exchange = tokio::time::timeout(timeout, self.exchange(address)).await;
        let Ok(exchanged) = exchange else {
            return TimeoutSnafu { address, timeout }.fail();
        };
        let (status, index, body) = exchanged?;
        check_status(status, &body)?;
        Ok(StoreAnswer {
            found: status != StatusCode::NOT_FOUND,
            index,
            body,
        })
    }

    async fn exchange(
        self,
        address: SocketAddr,
    ) -> Result<(StatusCode, Option<u64>, Bytes), StoreError> {
        let request = self.request(address)?;
        let stream = TcpStream::connect(address).await;
        let stream = stream.context(ConnectSnafu { address })?;
        let connection = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = connection.context(BrokenSnafu { address })?;
        let exchange = async {
            let answer = sender.send_request(request).await;
            read_answer(answer.context(BrokenSnafu { address })?, address).await
        };
        let drive = async {
            // The exchange learns of a broken connection by itself.
            let _ = connection.await;
            std::future::pending().await
        };
        tokio::select! {
            answer = exchange => answer,
            answer = drive => answer,
        }
    }

    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, StoreError> {
        let request = Request::builder()
            .method(&self.method)
            .uri(self.path.as_str())
            .header(header::HOST, address.to_string())
            .header(header::CONNECTION, "close")
            .body(Full::new(self.body.clone()));
        request.map_err(|_| {
            let key = self.path.as_str();
            InvalidKeySnafu { key }.build()
        })
    }
}

impl StoreAnswer {
    /// Returns the index of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::MissingIndex`] if the answer has none.
    pub(crate) fn require_index(&self) -> Result<u64, StoreError> {
        match self.index {
            Some(index) => Ok(index),
            None => MissingIndexSnafu.fail(),
        }
    }
}

async fn read_answer(
    answer: Response<Incoming>,
    address: SocketAddr,
) -> Result<(StatusCode, Option<u64>, Bytes), StoreError> {
    let (parts, body) = answer.into_parts();
    let index = parts.headers.get("x-consul-index");
    let index = index.and_then(|index| index.to_str().ok()?.parse().ok());
    match Limited::new(body, MAX_ANSWER).collect().await {
        Ok(body) => Ok((parts.status, index, body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            LongAnswerSnafu { limit: MAX_ANSWER }.fail()
        }
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(source) => Err(*source).context(BrokenSnafu { address }),
            Err(_) => LongAnswerSnafu { limit: MAX_ANSWER }.fail(),
        },
    }
}

fn check_status(status: StatusCode, body: &[u8]) -> Result<(), StoreError> {
    let reason = || -> CompactString {
        let text = String::from_utf8_lossy(body);
        text.chars().take(MAX_REASON).collect()
    };
    let busy = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
    if busy {
        let reason = reason();
        ensure!(!reason.contains(INVALID_SESSION), SessionLostSnafu);
        return UnavailableSnafu { status, reason }.fail();
    }
    let accepted = status.is_success() || status == StatusCode::NOT_FOUND;
    ensure!(accepted, {
        let reason = reason();
        RejectedSnafu { status, reason }
    });
    Ok(())
}
