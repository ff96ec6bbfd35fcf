//! Answers callers.

pub mod answer;
mod caller;
mod claims;
mod generate;
mod models;
pub mod plain;
mod problem;
pub mod text;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use trackfront_adapters::http_server::{Abort, Body, ReadBodyError, read_body, response};
use trackfront_adapters::wire::engine::REQUEST_ID_HEADER;
use trackfront_core::ids::RequestId;
use trackfront_core::outcome::RequestError;
use trackfront_core::ports::engine::GenerateKind;
use trackfront_core::ports::peers::PeerState;

use crate::in_force::TreeInForce;
use crate::shared::Shared;

/// The maximum time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum size in bytes of a body that is read before its model is known.
const MAX_UNKNOWN_BODY: usize = 16 * 1024 * 1024;

/// The retry delay while the box has no tree, in which the head row is polled.
const NO_TREE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The path prefix of plain services, followed by the name of a service.
const SERVICES_PATH: &str = "/services/";

/// The header with the caller's deadline for the complete answer, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header with the idempotency key of a call that may run once.
const KEY_HEADER: &str = "idempotency-key";

/// Answers a request of a caller.
pub async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Abort> {
    let id = RequestId::from(shared.draw_id("req"));
    let answered = route(&shared, &id, request).await;
    let mut response = answered.unwrap_or_else(|error| problem::response(&error, &id));
    if let Ok(value) = id.as_str().parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}

/// Dispatches a request by its path.
async fn route(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, RequestError> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (_, "/healthz") => Ok(response(StatusCode::OK, "text/plain", "alive\n")),
        (_, "/readyz") => Ok(ready(shared)),
        (&Method::GET, "/v1/models") => models::list(shared, request.headers()),
        (&Method::POST, "/v1/completions") => {
            generate::handle(shared, id, request, GenerateKind::Completion).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            generate::handle(shared, id, request, GenerateKind::Chat).await
        }
        (_, "/v1/models") => Err(RequestError::MethodNotAllowed { allowed: "GET".into() }),
        (_, "/v1/completions" | "/v1/chat/completions") => {
            Err(RequestError::MethodNotAllowed { allowed: "POST".into() })
        }
        (_, path) if path.starts_with(SERVICES_PATH) => plain::handle(shared, id, request).await,
        _ => Err(RequestError::NoSuchPath),
    }
}

/// Returns the readiness of this box, for load balancers.
pub fn ready(shared: &Shared) -> Response<Body> {
    match shared.state() {
        PeerState::Serving => response(StatusCode::OK, "text/plain", "ready\n"),
        PeerState::Joining => {
            response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no tree yet\n")
        }
        PeerState::Leaving => response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving\n"),
    }
}

/// Returns the tree in force.
fn tree(shared: &Shared) -> Result<Arc<TreeInForce>, RequestError> {
    shared.in_force.current().ok_or(RequestError::NotReady { retry_after: NO_TREE_RETRY_DELAY })
}

/// Reads a request's body of at most `limit` bytes.
async fn body(request: Request<Incoming>, limit: usize) -> Result<Bytes, RequestError> {
    let read = read_body(request.into_body(), limit, BODY_TIMEOUT).await;
    read.map_err(|error| match error {
        ReadBodyError::TooLarge => too_large(limit),
        ReadBodyError::TooSlow => {
            RequestError::BodyTooSlow { limit_ms: BODY_TIMEOUT.as_millis() as u64 }
        }
        ReadBodyError::Broken(detail) => RequestError::BodyBroken { detail },
    })
}

fn too_large(limit: usize) -> RequestError {
    RequestError::BodyTooLarge { limit_kib: limit as u64 / 1024 }
}

/// Returns the caller's deadline for the complete answer, if the request has one.
fn own_deadline(headers: &HeaderMap) -> Result<Option<Duration>, RequestError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => Err(RequestError::BadHeader {
            header: DEADLINE_HEADER,
            detail: "it is a whole number of milliseconds above zero".into(),
        }),
    }
}

/// Returns the idempotency key, if the request has one.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.trim().is_empty() => Ok(Some(key.trim().to_string())),
        _ => Err(RequestError::BadHeader {
            header: KEY_HEADER,
            detail: "it is visible text that is not empty".into(),
        }),
    }
}
