//! Calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use trackfront_adapters::http_server::{Body, full};
use trackfront_adapters::plain::passed_on;
use trackfront_core::ids::{CallerName, HallName, RequestId, ServiceName};
use trackfront_core::outcome::{Outcome, RequestError};
use trackfront_core::ports::{PlainCall, PlainError, PlainReply};

use super::claims::Claim;
use super::{KEY_HEADER, SERVICES_PATH, body, caller, deadline, tree};
use crate::in_force::{PlainServer, PlainTarget, TreeInForce};
use crate::shared::Shared;

/// When to come back if no server can be reached.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);

/// Answers a call to a plain service.
pub async fn handle(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, RequestError> {
    shared.metrics.in_flight.inc();
    let answered = answer(shared, id, request).await;
    shared.metrics.in_flight.dec();
    let result = answered.as_ref().map_or_else(RequestError::kind, |_| "answered");
    shared.metrics.request_ended("plain", result);
    answered
}

/// A call whose caller and target are known.
struct KnownCall<'a> {
    target: &'a PlainTarget,
    service: ServiceName,
    caller: CallerName,
    call: PlainCall,
    key: Option<String>,
    until: Instant,
    allowed: Duration,
}

async fn answer(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, RequestError> {
    let tree = tree(shared)?;
    let known = read_call(&tree, id, request).await?;
    let path = known.call.path_and_query.split('?').next().unwrap_or("/");
    let marked = known.target.service.is_repeatable(&known.call.method, path);
    // A caller that sends a key wants at most one run, whatever the tree says.
    let repeatable = marked && known.key.is_none();
    if !repeatable {
        claim(&known)?.take(shared).await?;
    }
    let servers = order_servers(shared, known.target);
    let reply = send(shared, &known, &servers, repeatable).await?;
    plain_response(reply)
}

/// Reads a call and checks that its caller may make it.
async fn read_call<'a>(
    tree: &'a TreeInForce,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<KnownCall<'a>, RequestError> {
    let caller = caller::identify(request.headers(), tree)?;
    let rest = request.uri().path().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::from(name);
    let target = tree.plain.get(&service).ok_or(RequestError::NoSuchPath)?;
    caller::authorize(&caller, &target.limits, name)?;
    let allowed = deadline(request.headers(), &target.limits)?;
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let path_and_query = format!("/{path}{query}");
    let method = request.method().as_str().to_string();
    let headers = passed_on(request.headers());
    let key = idempotency_key(&request)?;
    let until = Instant::now() + allowed;
    let body = body(request, target.limits.max_body).await?;
    let call = PlainCall { id: id.clone(), method, path_and_query, headers, body };
    Ok(KnownCall { target, service, caller, call, key, until, allowed })
}

fn idempotency_key(request: &Request<Incoming>) -> Result<Option<String>, RequestError> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
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

/// Returns the claim that an unrepeatable call has to take.
fn claim(known: &KnownCall<'_>) -> Result<Claim, RequestError> {
    let key = known.key.clone().ok_or(RequestError::KeyMissing)?;
    let mut asked = blake3::Hasher::new();
    for part in [known.call.method.as_bytes(), known.call.path_and_query.as_bytes()] {
        asked.update(part);
        asked.update(&[0]);
    }
    asked.update(&known.call.body);
    Ok(Claim {
        caller: known.caller.clone(),
        service: known.service.clone(),
        key,
        asked: asked.finalize().to_hex().to_string(),
        request: known.call.id.clone(),
    })
}

/// Returns the servers in the order in which they are tried: those of this hall first, and
/// among them another one first for each call.
fn order_servers<'a>(shared: &Shared, target: &'a PlainTarget) -> Vec<&'a PlainServer> {
    let mut servers: Vec<&PlainServer> = target.servers.iter().collect();
    let count = servers.len().max(1);
    let turn = shared.with_rng(rand::Rng::next_u64) as usize % count;
    servers.rotate_left(turn);
    servers.sort_by_key(|server| !is_here(&server.hall, shared));
    servers
}

fn is_here(hall: &HallName, shared: &Shared) -> bool {
    *hall == shared.place.hall
}

/// Sends the call on. A further server is tried only if the call is known not to have been
/// sent, or may be repeated.
async fn send(
    shared: &Shared,
    known: &KnownCall<'_>,
    servers: &[&PlainServer],
    repeatable: bool,
) -> Result<PlainReply, RequestError> {
    let mut last = None;
    for server in servers.iter().take(1 + known.target.limits.max_retries) {
        if last.is_some() {
            shared.metrics.retries.inc();
        }
        let error = match timeout_at(known.until, server.link.call(known.call.clone())).await {
            Err(_) => {
                return Err(RequestError::DeadlinePassed {
                    deadline_ms: known.allowed.as_millis() as u64,
                    outcome: Outcome::Unknown,
                });
            }
            Ok(Ok(reply)) if answers(&reply, &known.call.id) => return Ok(reply),
            Ok(Ok(_)) => {
                shared.metrics.frame_dropped("other_request");
                PlainError::Broke("the answer names another request".into())
            }
            Ok(Err(error)) => error,
        };
        let outcome = error.outcome();
        log::debug!("{}: {error}", server.id);
        last = Some(RequestError::BackendBroke { detail: error.to_string(), outcome });
        if outcome != Outcome::NotRun && !repeatable {
            break;
        }
    }
    Err(last.unwrap_or_else(|| RequestError::NoBackend {
        name: known.service.to_string(),
        retry_after: NO_SERVER_RETRY,
    }))
}

/// Returns whether a reply answers the request, as far as it says.
fn answers(reply: &PlainReply, id: &RequestId) -> bool {
    reply.request.as_ref().is_none_or(|named| named == id)
}

fn plain_response(reply: PlainReply) -> Result<Response<Body>, RequestError> {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(full(reply.body));
    *response.status_mut() = status;
    for header in reply.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}
