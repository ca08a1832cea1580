//! Response that a request got from a server, or the reason why it got none.

use bytes::Bytes;
use carobdrum_core::{
    request::RequestOutcome,
    Millis, //
};
use http::Response;
use hyper::{
    body::Incoming,
    client::conn::http1::SendRequest, //
};

use crate::connection::ServerBody;

/// Reason why the server returned no response.
pub(super) enum RunFailure {
    /// No part of the request was sent to the server.
    NotSent(RequestOutcome),
    /// The request was sent to the server, but no response arrived.
    NoResponse(RequestOutcome),
}

/// A response of the server whose body hasn't been read yet.
pub(super) struct ServerResponse {
    pub(super) response: Response<Incoming>,
    /// Parts of the body that have been read already.
    pub(super) buffered: Vec<Bytes>,
    /// Whether the body has been read to its end.
    pub(super) is_whole: bool,
    /// Time at which the head of the response arrived.
    pub(super) received: Millis,
    /// Keeps the connection open until the body has been read.
    pub(super) sender: SendRequest<ServerBody>,
}

/// The response that a request got.
pub(super) enum RunResponse {
    /// The response of the own server.
    Own(ServerResponse),
    /// The whole response of another agent's server.
    Hedge(Response<Bytes>),
}
