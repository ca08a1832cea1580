//! Requests that the store answers, and what its faults do to them.

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
    session_api::answer_session,
    store_answer::{
        text,
        StoreAnswer, //
    },
    store_faults::WriteFault,
    store_shared::StoreShared,
};
use crate::{
    port_switch::spawn_connection,
    PortMode, //
};

/// The response is lost on purpose: hyper closes the connection when the service fails.
#[derive(Debug, Snafu)]
#[snafu(display("the response is lost on purpose"))]
struct AnswerLost;

/// Starts the service of one connection.
pub(crate) fn serve_connection(
    stream: TcpStream,
    shared: Arc<StoreShared>,
    mode: watch::Receiver<PortMode>,
) {
    let service = service_fn(move |request| answer(Arc::clone(&shared), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    spawn_connection(connection, mode);
}

async fn answer(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<StoreAnswer, AnswerLost> {
    let (before, after) = {
        let state = shared.lock();
        (state.faults.delay_before, state.faults.delay_after)
    };
    pause(before).await;
    let answer = match *request.method() {
        Method::GET => read(&shared, request.uri()).await,
        Method::PUT | Method::DELETE => write(shared, request).await?,
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
    };
    pause(after).await;
    Ok(answer)
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

async fn read(shared: &StoreShared, uri: &Uri) -> StoreAnswer {
    match uri.path().strip_prefix("/v1/kv/") {
        Some(key) => read_kv(shared, key, uri.query().unwrap_or_default()).await,
        None => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Runs a write in a task of its own, so that it takes effect even if the client goes.
async fn write(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<StoreAnswer, AnswerLost> {
    let (fault, limit) = {
        let mut state = shared.lock();
        (state.faults.take_write_fault(), state.max_value)
    };
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return Ok(text(
                StatusCode::PAYLOAD_TOO_LARGE,
                "request body too large",
            ));
        }
        Err(_) => return AnswerLostSnafu.fail(),
    };
    let run = tokio::spawn(async move {
        if let WriteFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        run_write(&shared, &parts.method, &parts.uri, body)
    });
    match run.await {
        Ok(answer) if fault != WriteFault::DropResponse => Ok(answer),
        _ => AnswerLostSnafu.fail(),
    }
}

fn run_write(shared: &StoreShared, method: &Method, uri: &Uri, body: Bytes) -> StoreAnswer {
    let path = uri.path();
    let query = uri.query().unwrap_or_default();
    if let Some(call) = path.strip_prefix("/v1/session/") {
        return answer_session(shared, call, &body);
    }
    match path.strip_prefix("/v1/kv/") {
        Some(key) if *method == Method::PUT => write_kv(shared, key, query, body),
        Some(key) => delete_kv(shared, key, query),
        None => text(StatusCode::NOT_FOUND, "no such path"),
    }
}
