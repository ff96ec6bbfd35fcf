//! Answers requests of the command-line tool and for metrics.

pub mod apply;
mod audit;
mod status;

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use trackfront_adapters::http_server::{Abort, Body, json, read_body, response};
use trackfront_adapters::key::DeploymentKey;
use trackfront_adapters::metrics::CONTENT_TYPE;
use trackfront_adapters::wire::operator::{
    APPLY_PATH, AUDIT_PATH, ApplyRequest, METRICS_PATH, OperatorError, STATUS_PATH, TREE_PATH,
};
use trackfront_core::tree::files::MAX_TREE_BYTES;

use crate::gateway;
use crate::shared::Shared;

/// The maximum size of a body in bytes: a tree as JSON.
const MAX_BODY_BYTES: usize = 2 * MAX_TREE_BYTES;

/// The maximum time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers a request. All paths except health and readiness need the deployment's key.
pub async fn handle(
    shared: Arc<Shared>,
    key: DeploymentKey,
    request: Request<Incoming>,
) -> Result<Response<Body>, Abort> {
    match request.uri().path() {
        "/healthz" => return Ok(response(StatusCode::OK, "text/plain", "alive\n")),
        "/readyz" => return Ok(gateway::ready(&shared)),
        _ => {}
    }
    if !key.authenticates(request.headers()) {
        log::warn!("an operator showed a wrong key or none and was refused");
        return Ok(error(StatusCode::UNAUTHORIZED, "show the deployment's key with --key-file"));
    }
    let path = request.uri().path().to_string();
    let answer = match (request.method(), path.as_str()) {
        (&Method::GET, STATUS_PATH) => json(StatusCode::OK, &status::status(&shared)),
        (&Method::GET, TREE_PATH) => tree(&shared),
        (&Method::GET, METRICS_PATH) => {
            response(StatusCode::OK, CONTENT_TYPE, shared.metrics.encode())
        }
        (&Method::GET, AUDIT_PATH) => audit::read(&shared, request.uri().query()).await,
        (&Method::POST, APPLY_PATH) => apply(&shared, request).await,
        _ => error(StatusCode::NOT_FOUND, "there is nothing at this path; use `trackfront`"),
    };
    Ok(answer)
}

/// Returns an error response with a message that names the remedy.
fn error(status: StatusCode, message: impl Into<String>) -> Response<Body> {
    json(status, &OperatorError { error: message.into() })
}

fn tree(shared: &Shared) -> Response<Body> {
    match shared.in_force.current() {
        Some(current) => json(StatusCode::OK, &current.snapshot),
        None => error(StatusCode::NOT_FOUND, "no tree is in force yet; apply one"),
    }
}

async fn apply(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let body = match read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(problem) => return error(StatusCode::BAD_REQUEST, problem.to_string()),
    };
    match serde_json::from_slice::<ApplyRequest>(&body) {
        Ok(wanted) => json(StatusCode::OK, &apply::apply(shared, wanted).await),
        Err(problem) => error(StatusCode::BAD_REQUEST, format!("not an apply: {problem}")),
    }
}
