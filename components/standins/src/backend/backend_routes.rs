//! Requests that a backend server answers.

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
    answer_body::AnswerBody,
    backend_shared::{
        Arrival,
        BackendShared, //
    },
};

/// Largest request body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Largest body of `/bytes`, in bytes.
const MAX_ANSWER: u64 = 1 << 32;

/// Header by which a caller names a request.
const IDENTITY: &str = "x-request-identity";

/// Header that names the server.
const TARGET: &str = "x-target";

/// Header that tells one instance of the server from the next.
const INSTANCE: &str = "x-server-instance";

type Answer = Response<AnswerBody>;

/// The connection is closed instead of an answer.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the server fell over"))]
pub(crate) struct ServerFallen;

/// Answers one request.
///
/// # Errors
///
/// Returns [`ServerFallen`] if the request was more than the server could bear.
pub(crate) async fn answer(
    shared: Arc<BackendShared>,
    request: Request<Incoming>,
) -> Result<Answer, ServerFallen> {
    thaw(&shared).await;
    if request.uri().path() == "/health" {
        return Ok(answer_health(&shared));
    }
    shared.note_headers(request.headers());
    let (guard, time) = match shared.arrive() {
        Arrival::Run(guard, time) => (guard, time),
        Arrival::Shed => return Ok(shed()),
        Arrival::Fallen => return ServerFallenSnafu.fail(),
    };
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY).collect().await else {
        return Ok(reason(
            StatusCode::PAYLOAD_TOO_LARGE,
            "request body too large",
        ));
    };
    let runs = count_run(&shared, &parts.method, &parts.headers);
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    thaw(&shared).await;
    let answer = respond(&shared, &parts, body.to_bytes(), runs);
    let answer = finish(&shared, answer);
    if parts.method == Method::HEAD {
        // hyper doesn't send the body of such an answer.
        guard.finish();
        return Ok(answer);
    }
    Ok(answer.map(|body| body.guarded(guard)))
}

async fn thaw(shared: &BackendShared) {
    let mut frozen = shared.frozen.subscribe();
    let _ = frozen.wait_for(|frozen| !*frozen).await;
}

/// Counts the run of a non-idempotent request, and returns how often it was run by now.
fn count_run(shared: &BackendShared, method: &Method, headers: &HeaderMap) -> u32 {
    if method.is_idempotent() {
        return 0;
    }
    let identity = headers.get(IDENTITY).and_then(|value| value.to_str().ok());
    identity.map_or(0, |identity| shared.lock().ledger.count_run(identity))
}

fn respond(shared: &BackendShared, parts: &http::request::Parts, body: Bytes, runs: u32) -> Answer {
    let path = parts.uri.path();
    let reading = matches!(parts.method, Method::GET | Method::HEAD);
    match path {
        "/whoami" if reading => json_answer(&whoami(shared)),
        "/echo" if parts.method == Method::POST => Response::new(AnswerBody::given(body)),
        "/record" if parts.method == Method::POST => json_answer(&json!({ "runs": runs })),
        _ if reading => answer_bytes(path, parts.uri.query().unwrap_or_default()),
        _ => reason(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn whoami(shared: &BackendShared) -> serde_json::Value {
    json!({
        "server": shared.settings.name,
        "service": shared.settings.service,
        "instance": shared.lock().instance(),
    })
}

/// Answers `/bytes/N?seed=S`.
fn answer_bytes(path: &str, query: &str) -> Answer {
    let len = path.strip_prefix("/bytes/").map(str::parse::<u64>);
    let seed = query.split('&').find_map(|pair| pair.strip_prefix("seed="));
    let seed = seed.map_or(Ok(0), str::parse::<u64>);
    match (len, seed) {
        (Some(Ok(len)), Ok(seed)) if len <= MAX_ANSWER => {
            Response::new(AnswerBody::computed(seed, len))
        }
        (Some(_), _) => reason(StatusCode::BAD_REQUEST, "bad length or seed"),
        (None, _) => reason(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Adds what all answers carry, and cuts the answer if that is asked for.
fn finish(shared: &BackendShared, mut answer: Answer) -> Answer {
    let mut state = shared.lock();
    let headers = answer.headers_mut();
    headers.insert(INSTANCE, state.instance().into());
    if let Ok(name) = HeaderValue::from_str(&shared.settings.name) {
        headers.insert(TARGET, name);
    }
    if state.faults.draining {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    match state.take_cut() {
        true => answer.map(AnswerBody::cut),
        false => answer,
    }
}

fn answer_health(shared: &BackendShared) -> Answer {
    let mut answer = Response::new(AnswerBody::given(shared.health()));
    set_json(&mut answer);
    answer
}

fn shed() -> Answer {
    let mut answer = reason(StatusCode::SERVICE_UNAVAILABLE, "too much load");
    let headers = answer.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}

fn json_answer(value: &serde_json::Value) -> Answer {
    let mut answer = Response::new(AnswerBody::given(value.to_string()));
    set_json(&mut answer);
    answer
}

fn set_json(answer: &mut Answer) {
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
}

fn reason(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(AnswerBody::given(text));
    *answer.status_mut() = status;
    answer
}
