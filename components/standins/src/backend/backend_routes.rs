//! HTTP requests of a backend server.

use std::sync::Arc;

use bytes::Bytes;
use http::{
    header,
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::Incoming;
use serde_json::json;

use super::{
    backend_shared::{
        AdmissionOutcome,
        BackendShared, //
    },
    response_body::ResponseBody,
};

/// Largest request body, in bytes.
const MAX_REQUEST_LEN: usize = 16 << 20;

/// Largest response body of `/bytes`, in bytes.
const MAX_RESPONSE_LEN: u64 = 1 << 32;

/// Request header with which a caller identifies a request, to count its runs.
const IDENTITY_HEADER: &str = "x-request-identity";

/// Response header with the name of the server.
const TARGET_HEADER: &str = "x-target";

/// Response header with the number of the server's instance, which changes with each restart.
const INSTANCE_HEADER: &str = "x-server-instance";

type BackendResponse = Response<ResponseBody>;

/// Error that closes the connection without a response.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("server overloaded"))]
pub(crate) struct ServerOverloaded;

/// Runs one request and returns its response.
///
/// # Errors
///
/// Returns [`ServerOverloaded`] if the request exceeds the server's capacity.
pub(crate) async fn handle_request(
    shared: Arc<BackendShared>,
    request: Request<Incoming>,
) -> Result<BackendResponse, ServerOverloaded> {
    wait_while_frozen(&shared).await;
    if request.uri().path() == "/health" {
        return Ok(health_response(&shared));
    }
    shared.record_headers(request.headers());
    let (guard, time) = match shared.admit_request() {
        AdmissionOutcome::Run(guard, time) => (guard, time),
        AdmissionOutcome::Shed => return Ok(shed_response()),
        AdmissionOutcome::Overloaded => return ServerOverloadedSnafu.fail(),
    };
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_REQUEST_LEN).collect().await else {
        return Ok(text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "request body too large",
        ));
    };
    let runs = count_run(&shared, &parts.method, &parts.headers);
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    wait_while_frozen(&shared).await;
    let response = respond(&shared, &parts, body.to_bytes(), runs);
    let response = finish_response(&shared, response);
    if parts.method == Method::HEAD {
        // hyper doesn't send the body of a response to HEAD.
        guard.finish();
        return Ok(response);
    }
    Ok(response.map(|body| body.with_guard(guard)))
}

async fn wait_while_frozen(shared: &BackendShared) {
    let mut frozen = shared.frozen.subscribe();
    let _ = frozen.wait_for(|frozen| !*frozen).await;
}

/// Counts a run of a non-idempotent request and returns its runs so far.
fn count_run(shared: &BackendShared, method: &Method, headers: &HeaderMap) -> u32 {
    if method.is_idempotent() {
        return 0;
    }
    let identity = headers
        .get(IDENTITY_HEADER)
        .and_then(|value| value.to_str().ok());
    identity.map_or(0, |identity| shared.lock().run_counter.count_run(identity))
}

fn respond(
    shared: &BackendShared,
    parts: &http::request::Parts,
    body: Bytes,
    runs: u32,
) -> BackendResponse {
    let path = parts.uri.path();
    let reading = matches!(parts.method, Method::GET | Method::HEAD);
    match path {
        "/whoami" if reading => json_response(&whoami(shared)),
        "/echo" if parts.method == Method::POST => Response::new(ResponseBody::from_bytes(body)),
        "/record" if parts.method == Method::POST => json_response(&json!({ "runs": runs })),
        _ if reading => bytes_response(path, parts.uri.query().unwrap_or_default()),
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn whoami(shared: &BackendShared) -> serde_json::Value {
    json!({
        "server": shared.settings.name,
        "service": shared.settings.service,
        "instance": shared.lock().instance(),
    })
}

/// Returns the response to `/bytes/N?seed=S`.
fn bytes_response(path: &str, query: &str) -> BackendResponse {
    let len = path.strip_prefix("/bytes/").map(str::parse::<u64>);
    let seed = query.split('&').find_map(|pair| pair.strip_prefix("seed="));
    let seed = seed.map_or(Ok(0), str::parse::<u64>);
    match (len, seed) {
        (Some(Ok(len)), Ok(seed)) if len <= MAX_RESPONSE_LEN => {
            Response::new(ResponseBody::from_seed(seed, len))
        }
        (Some(_), _) => text_response(StatusCode::BAD_REQUEST, "bad length or seed"),
        (None, _) => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Adds the headers common to all responses, and truncates the body if that fault is pending.
fn finish_response(shared: &BackendShared, mut response: BackendResponse) -> BackendResponse {
    let mut state = shared.lock();
    let headers = response.headers_mut();
    headers.insert(INSTANCE_HEADER, state.instance().into());
    if let Ok(name) = HeaderValue::from_str(&shared.settings.name) {
        headers.insert(TARGET_HEADER, name);
    }
    if state.faults.draining {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    match state.take_truncation() {
        true => response.map(ResponseBody::truncated),
        false => response,
    }
}

fn health_response(shared: &BackendShared) -> BackendResponse {
    let mut response = Response::new(ResponseBody::from_bytes(shared.health()));
    set_json_type(&mut response);
    response
}

fn shed_response() -> BackendResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "too much load");
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn json_response(value: &serde_json::Value) -> BackendResponse {
    let mut response = Response::new(ResponseBody::from_bytes(value.to_string()));
    set_json_type(&mut response);
    response
}

fn set_json_type(response: &mut BackendResponse) {
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
}

fn text_response(status: StatusCode, text: &'static str) -> BackendResponse {
    let mut response = Response::new(ResponseBody::from_bytes(text));
    *response.status_mut() = status;
    response
}
