//! The local address at which metrics are served.

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

const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const PLAIN: &str = "text/plain; charset=utf-8";

/// Connections served at once; a scraper needs one, and more must not take the daemon's memory.
const MAX_CONNECTIONS: usize = 16;

/// Longest time that a connection may stay open, so that idle peers free their place.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, which otherwise repeats at once when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves metrics over HTTP/1.1 until it is dropped.
#[derive(Debug)]
pub struct MetricsServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl MetricsServer {
    /// Opens `address` and serves `registry` there: GET /metrics returns OpenMetrics text, and
    /// GET /healthz returns 200 while the process runs its control thread.
    ///
    /// Port 0 takes a free port, which [`MetricsServer::address`] returns.
    ///
    /// # Errors
    ///
    /// Returns [`TelemetryError::Bind`] if the address can't be opened.
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
        let task = tokio::spawn(accept_all(listener, registry));
        Ok(MetricsServer { address, task })
    }

    /// Returns the address that is served.
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

async fn accept_all(listener: TcpListener, registry: Arc<Registry>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let registry = registry.clone();
                tokio::spawn(async move {
                    serve(stream, registry).await;
                    drop(place);
                });
            }
            Err(error) => {
                warn!(%error, "metrics connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, registry: Arc<Registry>) {
    let answer = service_fn(move |request| {
        let response = respond(&request, &registry);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), answer);
    match timeout(CONNECTION_TIMEOUT, connection).await {
        Ok(Ok(())) => (),
        Ok(Err(error)) => debug!(%error, "metrics connection failed"),
        Err(_) => debug!("metrics connection closed after its longest time"),
    }
}

fn respond(request: &Request<Incoming>, registry: &Registry) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if !["/metrics", "/healthz"].contains(&path) {
        return text(StatusCode::NOT_FOUND, PLAIN, "not found\n");
    }
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, PLAIN, "allowed: GET\n");
    }
    if path == "/healthz" {
        return text(StatusCode::OK, PLAIN, "ok\n");
    }
    let mut body = String::new();
    match encode(&mut body, registry) {
        Ok(()) => text(StatusCode::OK, OPENMETRICS, body),
        Err(_) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            PLAIN,
            "encoding failed\n",
        ),
    }
}

fn text(
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
