//! HTTP server for metrics and the health check.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::CONTENT_TYPE,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use prometheus_client::{
    encoding::text::encode,
    registry::Registry, //
};
use snafu::ResultExt;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Semaphore,
    task::JoinHandle,
    time::{
        sleep,
        timeout, //
    }, //
};
use tracing::{
    debug,
    warn, //
};

use crate::{
    telemetry_error::BindSnafu,
    TelemetryError, //
};

const OPENMETRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const PLAIN_TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// Most connections served at once. A scraper needs one; the limit bounds the memory that others
/// can take.
const MAX_CONNECTIONS: usize = 16;

/// Longest time that a connection may stay open, so that idle peers don't use up the connections.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept. Without it, the accept would be repeated at once while file
/// descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves metrics over HTTP/1.1 until it is dropped.
#[derive(Debug)]
pub struct MetricsServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl MetricsServer {
    /// Binds `address` and serves `registry` there: GET /metrics returns OpenMetrics text, and
    /// GET /healthz returns 200 while the process runs its control thread.
    ///
    /// Port 0 selects a free port, which [`MetricsServer::address`] returns.
    ///
    /// # Errors
    ///
    /// Returns [`TelemetryError::Bind`] if the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn spawn(
        address: SocketAddr,
        registry: impl Into<Arc<Registry>>,
    ) -> Result<MetricsServer, TelemetryError> {
        let registry = registry.into();
        let listener = open(address).context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let task = tokio::spawn(accept_connections(listener, registry));
        Ok(MetricsServer { address, task })
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for MetricsServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn accept_connections(listener: TcpListener, registry: Arc<Registry>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let registry = registry.clone();
                tokio::spawn(async move {
                    serve(stream, registry).await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(%error, "accepting a connection to the metrics server failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, registry: Arc<Registry>) {
    let service = service_fn(move |request| {
        let response = respond(&request, &registry);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    match timeout(CONNECTION_TIMEOUT, connection).await {
        Ok(Ok(())) => (),
        Ok(Err(error)) => debug!(%error, "connection to the metrics server failed"),
        Err(_) => debug!("connection to the metrics server closed at its time limit"),
    }
}

fn respond(request: &Request<Incoming>, registry: &Registry) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if !["/metrics", "/healthz"].contains(&path) {
        return text_response(StatusCode::NOT_FOUND, PLAIN_TEXT_TYPE, "not found\n");
    }
    if request.method() != Method::GET {
        return text_response(
            StatusCode::METHOD_NOT_ALLOWED,
            PLAIN_TEXT_TYPE,
            "allowed: GET\n",
        );
    }
    if path == "/healthz" {
        return text_response(StatusCode::OK, PLAIN_TEXT_TYPE, "ok\n");
    }
    let mut body = String::new();
    match encode(&mut body, registry) {
        Ok(()) => text_response(StatusCode::OK, OPENMETRICS_TYPE, body),
        Err(_) => text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            PLAIN_TEXT_TYPE,
            "encoding failed\n",
        ),
    }
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    response
}
