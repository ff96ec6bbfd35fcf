//! Calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout;
use trackfront_adapters::http_server::{Body, full};
use trackfront_adapters::plain::passed_on;
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

/// When to come back if no server can be reached.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);

/// Answers a call to a plain service over HTTP.
pub async fn handle(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, RequestError> {
    let tree = tree(shared)?;
    let call = read_call(shared, &tree, id, request).await?;
    match call_service(shared, &tree, &call).await? {
        Answered::Now(reply) => plain_response(reply),
        Answered::Before(answer) => replay(answer),
    }
}

/// A call whose caller may make it.
#[derive(Clone, Debug)]
pub struct KnownCall {
    /// The service.
    pub service: ServiceName,
    /// Who calls.
    pub caller: AccountName,
    /// The call.
    pub call: PlainCall,
    /// The caller's key, if the call may run once only.
    pub key: Option<String>,
    /// When the answer has to be whole, by the clock that counts suspensions of the machine.
    pub until: Moment,
    /// The time that the caller allowed.
    pub allowed: Duration,
}

impl KnownCall {
    /// Returns how much of the caller's time is left.
    fn time_left(&self, shared: &Shared) -> Duration {
        self.until.since(shared.outside.clock.now())
    }
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Answered {
    /// The call was run now.
    Now(PlainReply),
    /// The call was run before under the same key.
    Before(RecordedAnswer),
}

/// Makes a call: claims it if it may run once, and sends it on.
pub async fn call_service(
    shared: &Arc<Shared>,
    tree: &TreeInForce,
    known: &KnownCall,
) -> Result<Answered, RequestError> {
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
    known: &KnownCall,
) -> Result<Answered, RequestError> {
    let target = tree.plain.get(&known.service).ok_or(RequestError::NoSuchPath)?;
    limits::take(shared, tree, &known.caller, 0.0).await?;
    shared.retries.count_request();
    let path = known.call.path_and_query.split('?').next().unwrap_or("/");
    let marked = target.service.is_repeatable(&known.call.method, path);
    // A caller that sends a key wants at most one run, whatever the tree says.
    if marked && known.key.is_none() {
        return send(shared, target, known, true).await.map(Answered::Now);
    }
    let claimed = claimed_call(target, known)?;
    let claim = timeout(known.time_left(shared), claimed.claim(shared)).await;
    match claim.unwrap_or(Err(not_sent(known)))? {
        Claimed::Run => {}
        Claimed::Answered(answer) => return Ok(Answered::Before(answer)),
    }
    let sent = send(shared, target, known, false).await;
    match &sent {
        Ok(reply) => claimed.answered(shared, recorded(reply)),
        Err(error) if error.outcome() == Outcome::NotRun => claimed.release(shared),
        Err(_) => {}
    }
    sent.map(Answered::Now)
}

/// The deadline passed before the call was sent.
fn not_sent(known: &KnownCall) -> RequestError {
    let deadline_ms = known.allowed.as_millis() as u64;
    RequestError::DeadlinePassed { deadline_ms, outcome: Outcome::NotRun }
}

/// Reads a call and checks that its caller may make it.
async fn read_call(
    shared: &Shared,
    tree: &TreeInForce,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<KnownCall, RequestError> {
    let caller = caller::identify(request.headers(), tree)?;
    let rest = request.uri().path().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::from(name);
    let target = tree.plain.get(&service).ok_or(RequestError::NoSuchPath)?;
    caller::authorize(&caller, &target.limits, name)?;
    let own = own_deadline(request.headers())?;
    let allowed = own.map_or(target.limits.deadline, |own| own.min(target.limits.deadline));
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let path_and_query = format!("/{path}{query}");
    let method = request.method().as_str().to_string();
    let headers = passed_on(request.headers());
    let key = idempotency_key(request.headers())?;
    let until = shared.outside.clock.now() + allowed;
    let body = body(request, target.limits.max_body).await?;
    let call = PlainCall { id: id.clone(), method, path_and_query, headers, body };
    Ok(KnownCall { service, caller, call, key, until, allowed })
}

/// Returns the claim that an unrepeatable call has to take.
fn claimed_call(target: &PlainTarget, known: &KnownCall) -> Result<ClaimedCall, RequestError> {
    let key = known.key.as_deref().ok_or(RequestError::KeyMissing)?;
    let call = &known.call;
    let asked = [call.method.as_bytes(), call.path_and_query.as_bytes(), &call.body];
    Ok(ClaimedCall::new(target.shard.clone(), &known.caller, key, &asked, &call.id))
}

/// Returns what is recorded of a reply, for repeats.
fn recorded(reply: &PlainReply) -> RecordedAnswer {
    let content_type = reply
        .headers
        .iter()
        .find(|header| header.name == "content-type")
        .map(|header| String::from_utf8_lossy(&header.value).into_owned());
    RecordedAnswer { status: reply.status, content_type, body: reply.body.clone() }
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
    target: &PlainTarget,
    known: &KnownCall,
    repeatable: bool,
) -> Result<PlainReply, RequestError> {
    let servers = order_servers(shared, target);
    let mut last = None;
    for server in servers.iter().take(1 + target.limits.max_retries) {
        // A timer lets what is ready through, also where its time is over; a server is not to run it then.
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
        let broke = RequestError::BackendBroke { detail: error.to_string(), outcome };
        last = Some(broke.after(last));
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
