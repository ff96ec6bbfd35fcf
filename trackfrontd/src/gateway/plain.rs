//! Calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout;
use trackfront_adapters::http_server::{Body, end_with_connection, full};
use trackfront_adapters::plain::forwarded_headers;
use trackfront_core::claims::RecordedAnswer;
use trackfront_core::ids::{AccountName, HallName, RequestId, ServiceName};
use trackfront_core::outcome::{Outcome, RequestError};
use trackfront_core::ports::{PlainCall, PlainError, PlainReply};
use trackfront_core::units::Moment;

use super::claims::{Claimed, ClaimedCall};
use super::generate::replay;
use super::{SERVICES_PATH, body, caller, idempotency_key, own_deadline, tree};
use crate::in_force::{PlainServer, PlainTarget, TreeInForce};
use crate::limits;
use crate::shared::Shared;

/// The retry delay if no server can be reached.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Answers a call to a plain service over HTTP.
pub async fn handle(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, RequestError> {
    let tree = tree(shared)?;
    let call = read_call(shared, &tree, id, request).await?;
    match call_service(shared, &tree, &call).await? {
        CallAnswer::New(reply) => plain_response(reply),
        CallAnswer::Replayed(answer) => replay(answer),
    }
}

/// A call that its caller is authorized to make.
#[derive(Clone, Debug)]
pub struct AuthorizedCall {
    /// The service.
    pub service: ServiceName,
    /// The caller.
    pub caller: AccountName,
    /// The call.
    pub call: PlainCall,
    /// The idempotency key, if the call may run only once.
    pub key: Option<String>,
    /// The deadline for the complete answer, by a clock that includes suspensions of the machine.
    pub deadline_at: Moment,
    /// The time from the call to its deadline.
    pub time_limit: Duration,
}

impl AuthorizedCall {
    /// Returns the time until the deadline.
    fn time_left(&self, shared: &Shared) -> Duration {
        self.deadline_at.since(shared.outside.clock.now())
    }
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum CallAnswer {
    /// The reply of a server.
    New(PlainReply),
    /// The recorded answer to an earlier call with the same key.
    Replayed(RecordedAnswer),
}

/// Makes a call: claims it if it may run once, and sends it to a server.
pub async fn call_service(
    shared: &Arc<Shared>,
    tree: &TreeInForce,
    known: &AuthorizedCall,
) -> Result<CallAnswer, RequestError> {
    shared.metrics.in_flight.inc();
    let answered = claim_and_send(shared, tree, known).await;
    shared.metrics.in_flight.dec();
    let result = answered.as_ref().map_or_else(RequestError::kind, |_| "answered");
    shared.metrics.request_ended("plain", result);
    answered
}

async fn claim_and_send(
    shared: &Arc<Shared>,
    tree: &TreeInForce,
    known: &AuthorizedCall,
) -> Result<CallAnswer, RequestError> {
    let target = tree.plain.get(&known.service).ok_or(RequestError::NoSuchPath)?;
    limits::take(shared, tree, &known.caller, 0.0).await?;
    shared.retries.count_request();
    let path = known.call.path_and_query.split('?').next().unwrap_or("/");
    let is_repeatable = target.service.is_repeatable(&known.call.method, path);
    // A call with a key runs at most once, even if its route is repeatable.
    if is_repeatable && known.key.is_none() {
        return send(shared, target, known, true).await.map(CallAnswer::New);
    }
    let claimed = claimed_call(target, known)?;
    let claim = timeout(known.time_left(shared), claimed.claim(shared)).await;
    match claim.unwrap_or(Err(not_sent(known)))? {
        Claimed::Run => {}
        Claimed::Answered(answer) => return Ok(CallAnswer::Replayed(answer)),
    }
    let sent = send(shared, target, known, false).await;
    match &sent {
        Ok(reply) if reply.is_end_stated => claimed.record_answer(shared, recorded(reply)),
        Err(error) if error.outcome() == Outcome::NotRun => claimed.release(shared),
        // It ran, but there is no answer that is known to be complete.
        Ok(_) | Err(_) => {}
    }
    sent.map(CallAnswer::New)
}

/// Returns the error of a call whose deadline passed before it was sent.
fn not_sent(known: &AuthorizedCall) -> RequestError {
    let deadline_ms = known.time_limit.as_millis() as u64;
    RequestError::DeadlinePassed { deadline_ms, outcome: Outcome::NotRun }
}

/// Reads a call and authorizes its caller.
async fn read_call(
    shared: &Shared,
    tree: &TreeInForce,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<AuthorizedCall, RequestError> {
    let caller = caller::identify(request.headers(), tree)?;
    let rest = request.uri().path().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::from(name);
    let target = tree.plain.get(&service).ok_or(RequestError::NoSuchPath)?;
    caller::authorize(&caller, &target.limits, name)?;
    let own = own_deadline(request.headers())?;
    let time_limit = own.map_or(target.limits.deadline, |own| own.min(target.limits.deadline));
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let path_and_query = format!("/{path}{query}");
    let method = request.method().as_str().to_string();
    let headers = forwarded_headers(request.headers());
    let key = idempotency_key(request.headers())?;
    let deadline_at = shared.outside.clock.now() + time_limit;
    let body = body(request, target.limits.max_body).await?;
    let call = PlainCall { id: id.clone(), method, path_and_query, headers, body };
    Ok(AuthorizedCall { service, caller, call, key, deadline_at, time_limit })
}

/// Returns the claim of a call that may run once.
fn claimed_call(target: &PlainTarget, known: &AuthorizedCall) -> Result<ClaimedCall, RequestError> {
    let key = known.key.as_deref().ok_or(RequestError::KeyMissing)?;
    let call = &known.call;
    let asked = [call.method.as_bytes(), call.path_and_query.as_bytes(), &call.body];
    Ok(ClaimedCall::new(target.shard.clone(), &known.caller, key, &asked, &call.id))
}

/// Returns the part of a reply that is recorded for repeated calls.
fn recorded(reply: &PlainReply) -> RecordedAnswer {
    let content_type = reply
        .headers
        .iter()
        .find(|header| header.name == "content-type")
        .map(|header| String::from_utf8_lossy(&header.value).into_owned());
    RecordedAnswer { status: reply.status, content_type, body: reply.body.clone() }
}

/// Returns the servers in the order of attempts: those of this hall first, in a rotation that is random
/// for each call.
fn order_servers<'a>(shared: &Shared, target: &'a PlainTarget) -> Vec<&'a PlainServer> {
    let mut servers: Vec<&PlainServer> = target.servers.iter().collect();
    let count = servers.len().max(1);
    let offset = shared.with_rng(rand::Rng::next_u64) as usize % count;
    servers.rotate_left(offset);
    servers.sort_by_key(|server| !is_local(&server.hall, shared));
    servers
}

fn is_local(hall: &HallName, shared: &Shared) -> bool {
    *hall == shared.place.hall
}

/// Sends the call. After a failure another server is only tried if the call did not run or may be
/// repeated.
async fn send(
    shared: &Shared,
    target: &PlainTarget,
    known: &AuthorizedCall,
    repeatable: bool,
) -> Result<PlainReply, RequestError> {
    let servers = order_servers(shared, target);
    let mut last = None;
    for server in servers.iter().take(1 + target.limits.max_retries) {
        // A timeout of zero would still let a call start that is ready at once.
        let left = known.time_left(shared);
        if left.is_zero() {
            return Err(last.unwrap_or_else(|| not_sent(known)));
        }
        if last.is_some() {
            if !shared.retries.try_take() {
                break;
            }
            shared.metrics.retries.inc();
        }
        let error = match timeout(left, server.link.call(known.call.clone())).await {
            Err(_) => {
                return Err(RequestError::DeadlinePassed {
                    deadline_ms: known.time_limit.as_millis() as u64,
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
        let broke = RequestError::BackendBroke { detail: error.to_string(), outcome };
        last = Some(broke.after(last));
        if outcome != Outcome::NotRun && !repeatable {
            break;
        }
    }
    Err(last.unwrap_or_else(|| RequestError::NoBackend {
        name: known.service.to_string(),
        retry_after: NO_SERVER_RETRY_DELAY,
    }))
}

/// Returns whether a reply belongs to the request. One that names no request is accepted.
fn answers(reply: &PlainReply, id: &RequestId) -> bool {
    reply.request.as_ref().is_none_or(|named| named == id)
}

fn plain_response(reply: PlainReply) -> Result<Response<Body>, RequestError> {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let is_end_stated = reply.is_end_stated;
    let mut response = Response::new(full(reply.body));
    *response.status_mut() = status;
    for header in reply.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    Ok(match is_end_stated {
        true => response,
        false => end_with_connection(response),
    })
}
