//! HTTP requests to the store.

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
        MissingIndexSnafu,
        RejectedSnafu,
        ResponseTooLongSnafu,
        SessionLostSnafu,
        TimeoutSnafu,
        UnavailableSnafu, //
    },
    StoreError, //
};

/// Longest response body, in bytes. It fits a value of 1 MB in base64 with its JSON, and a list of
/// the entry points, which are the balancers with an entry in the store.
const MAX_RESPONSE_LEN: usize = 4 << 20;

/// Longest part of an error response that is kept, in characters.
const MAX_REASON_LEN: usize = 200;

/// Text of Consul's response, with status 500, to a write that names an unknown session.
const INVALID_SESSION: &str = "invalid session";

/// One HTTP request to the store.
pub(crate) struct StoreRequest {
    pub(crate) method: Method,
    pub(crate) path: CompactString,
    pub(crate) body: Bytes,
    pub(crate) timeout: Duration,
}

/// Response of the store with a success status or status 404.
pub(crate) struct StoreResponse {
    pub(crate) exists: bool,
    pub(crate) index: Option<u64>,
    pub(crate) body: Bytes,
}

impl StoreRequest {
    /// Sends the request on a new connection.
    ///
    /// Requests are rare, and a middlebox can't have dropped its state for a new connection, as it
    /// can for an idle one.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the connection fails or the status of the response is an error.
    pub(crate) async fn send(self, address: SocketAddr) -> Result<StoreResponse, StoreError> {
        let timeout = self.timeout;
        let exchange = tokio::time::timeout(timeout, self.exchange(address)).await;
        let Ok(exchanged) = exchange else {
            return TimeoutSnafu { address, timeout }.fail();
        };
        let (status, index, body) = exchanged?;
        check_status(status, &body)?;
        Ok(StoreResponse {
            exists: status != StatusCode::NOT_FOUND,
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
            let response = sender.send_request(request).await;
            read_response(response.context(BrokenSnafu { address })?, address).await
        };
        let drive = async {
            // If the connection breaks, the exchange fails by itself.
            let _ = connection.await;
            std::future::pending().await
        };
        tokio::select! {
            response = exchange => response,
            response = drive => response,
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

impl StoreResponse {
    /// Returns the index of the response's `X-Consul-Index` header.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::MissingIndex`] if the header is missing or invalid.
    pub(crate) fn require_index(&self) -> Result<u64, StoreError> {
        match self.index {
            Some(index) => Ok(index),
            None => MissingIndexSnafu.fail(),
        }
    }
}

async fn read_response(
    response: Response<Incoming>,
    address: SocketAddr,
) -> Result<(StatusCode, Option<u64>, Bytes), StoreError> {
    let (parts, body) = response.into_parts();
    let index = parts.headers.get("x-consul-index");
    let index = index.and_then(|index| index.to_str().ok()?.parse().ok());
    match Limited::new(body, MAX_RESPONSE_LEN).collect().await {
        Ok(body) => Ok((parts.status, index, body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => ResponseTooLongSnafu {
            limit: MAX_RESPONSE_LEN,
        }
        .fail(),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(source) => Err(*source).context(BrokenSnafu { address }),
            Err(_) => ResponseTooLongSnafu {
                limit: MAX_RESPONSE_LEN,
            }
            .fail(),
        },
    }
}

fn check_status(status: StatusCode, body: &[u8]) -> Result<(), StoreError> {
    let reason = || -> CompactString {
        let text = String::from_utf8_lossy(body);
        text.chars().take(MAX_REASON_LEN).collect()
    };
    let unavailable = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
    if unavailable {
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
