//! HTTP servers for requests of the platform and of backend servers.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddrV4,
    time::Duration, //
};

use bytes::Bytes;
use carobdrum_platform::{
    parse_request,
    NodeRequest, //
    RequestError,
};
use http::{
    header::CONTENT_TYPE,
    HeaderValue,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use snafu::ResultExt;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::sleep, //
};
use tracing::{
    debug,
    warn, //
};

use super::{
    node_error::BindSnafu,
    NodeError, //
};

/// Largest body of a request, in bytes.
const MAX_BODY_LEN: usize = 16 << 10;

/// Time limit for the header of a request on an open connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, which would otherwise fail again at once while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listens at `address` and responds to each request with the status that `answer` returns.
pub(crate) async fn serve_requests<A, F>(address: SocketAddrV4, answer: A) -> Result<(), NodeError>
where
    A: Fn(Result<NodeRequest, RequestError>) -> F + Clone + 'static,
    F: Future<Output = StatusCode> + 'static,
{
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(BindSnafu { address })?;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve(stream, answer.clone()));
                }
                Err(error) => {
                    warn!(%error, %address, "connection not accepted");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve<A, F>(stream: TcpStream, answer: A)
where
    A: Fn(Result<NodeRequest, RequestError>) -> F + Clone + 'static,
    F: Future<Output = StatusCode> + 'static,
{
    let service = service_fn(move |request: http::Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let (parts, body) = request.into_parts();
            let Ok(body) = Limited::new(body, MAX_BODY_LEN).collect().await else {
                return Ok::<_, Infallible>(respond(StatusCode::PAYLOAD_TOO_LARGE));
            };
            let call = parse_request(&parts.method, parts.uri.path(), &body.to_bytes());
            Ok(respond(answer(call).await))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!(%error, "connection ended with an error");
    }
}

fn respond(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(b"{}")));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
