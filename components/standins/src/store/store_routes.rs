//! HTTP requests of the store and the effect of its faults on them.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode,
    Uri, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::{
    net::TcpStream,
    sync::watch, //
};

use super::{
    kv_api::{
        delete_kv,
        read_kv,
        write_kv, //
    },
    session_api::handle_session_request,
    store_faults::WriteFault,
    store_response::{
        text_response,
        StoreResponse, //
    },
    store_shared::StoreShared,
};
use crate::{
    port_switch::spawn_connection,
    PortMode, //
};

/// Error that drops a response: hyper closes the connection when the service fails.
#[derive(Debug, Snafu)]
#[snafu(display("response dropped"))]
struct ResponseDropped;

/// Serves one connection in a task of its own.
pub(crate) fn serve_connection(
    stream: TcpStream,
    shared: Arc<StoreShared>,
    mode: watch::Receiver<PortMode>,
) {
    let service = service_fn(move |request| handle_request(Arc::clone(&shared), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    spawn_connection(connection, mode);
}

async fn handle_request(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<StoreResponse, ResponseDropped> {
    let (before, after) = {
        let state = shared.lock();
        (state.faults.delay_before, state.faults.delay_after)
    };
    pause(before).await;
    let response = match *request.method() {
        Method::GET => read(&shared, request.uri()).await,
        Method::PUT | Method::DELETE => write(shared, request).await?,
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
    };
    pause(after).await;
    Ok(response)
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

async fn read(shared: &StoreShared, uri: &Uri) -> StoreResponse {
    match uri.path().strip_prefix("/v1/kv/") {
        Some(key) => read_kv(shared, key, uri.query().unwrap_or_default()).await,
        None => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Runs a write in a task of its own, so that it takes effect even if the client disconnects.
async fn write(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<StoreResponse, ResponseDropped> {
    let (fault, limit) = {
        let mut state = shared.lock();
        (state.faults.take_write_fault(), state.max_value)
    };
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return Ok(text_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "request body too large",
            ));
        }
        Err(_) => return ResponseDroppedSnafu.fail(),
    };
    let run = tokio::spawn(async move {
        if let WriteFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        run_write(&shared, &parts.method, &parts.uri, body)
    });
    match run.await {
        Ok(response) if fault != WriteFault::DropResponse => Ok(response),
        _ => ResponseDroppedSnafu.fail(),
    }
}

fn run_write(shared: &StoreShared, method: &Method, uri: &Uri, body: Bytes) -> StoreResponse {
    let path = uri.path();
    let query = uri.query().unwrap_or_default();
    if let Some(operation) = path.strip_prefix("/v1/session/") {
        return handle_session_request(shared, operation, &body);
    }
    match path.strip_prefix("/v1/kv/") {
        Some(key) if *method == Method::PUT => write_kv(shared, key, query, body),
        Some(key) => delete_kv(shared, key, query),
        None => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}
