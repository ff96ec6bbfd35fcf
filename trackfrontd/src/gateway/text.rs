//! Text requests, independent of HTTP: parsing, authorization, limits and start.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use trackfront_core::ids::{AccountName, RequestId};
use trackfront_core::outcome::{Outcome, RequestError};
use trackfront_core::ports::engine::GenerateKind;
use trackfront_core::ports::{GenerateRequest, StartFrom};
use trackfront_core::prefix::block_hashes;

use super::answer::{Answer, GenerateCall, Piece};
use super::{caller, too_large};
use crate::in_force::{ResolvedTarget, TreeInForce};
use crate::limits;
use crate::shared::Shared;

/// The approximate number of bytes per token of a prompt.
const BYTES_PER_TOKEN: f64 = 4.0;

/// The fields of a body that routing needs. The body is sent to the engine unchanged.
#[derive(Deserialize)]
struct RoutingFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

/// A text request with its caller.
#[derive(Clone, Debug)]
pub struct TextRequest {
    /// The request's identifier.
    pub id: RequestId,
    /// The caller.
    pub caller: AccountName,
    /// The kind of request.
    pub kind: GenerateKind,
    /// The unchanged body.
    pub body: Bytes,
    /// The deadline in the request, relative to its arrival.
    pub deadline: Option<Duration>,
    /// The idempotency key, if the request may run only once.
    pub key: Option<String>,
}

/// A parsed text request of an authorized caller.
pub struct ParsedRequest {
    /// The model or adapter.
    pub target: Arc<ResolvedTarget>,
    /// The call, independent of the engine.
    pub wanted: GenerateCall,
}

/// Parses a request and authorizes its caller.
pub fn parse(
    shared: &Shared,
    tree: &TreeInForce,
    request: &TextRequest,
) -> Result<ParsedRequest, RequestError> {
    let fields: RoutingFields<'_> = serde_json::from_slice(&request.body)
        .map_err(|error| RequestError::BadBody { detail: error.to_string() })?;
    let target = find_target(tree, &fields.model)?;
    caller::authorize(&request.caller, &target.limits, &target.name)?;
    if request.body.len() > target.limits.max_body {
        return Err(too_large(target.limits.max_body));
    }
    let time_limit = request
        .deadline
        .map_or(target.limits.deadline, |deadline| deadline.min(target.limits.deadline));
    let prompt = fields.prompt.or(fields.messages).map_or("", RawValue::get).as_bytes();
    let max_tokens = fields.max_tokens.or(fields.max_completion_tokens);
    let wanted = GenerateCall {
        request: GenerateRequest {
            id: request.id.clone(),
            kind: request.kind,
            item: target.item.clone(),
            priority: target.limits.priority,
            body: request.body.clone(),
            stream: fields.stream.unwrap_or(false),
            from: StartFrom::Start,
        },
        name: target.name.clone(),
        caller: request.caller.clone(),
        prompt_tokens: prompt.len() as f64 / BYTES_PER_TOKEN,
        output_tokens: shared.outputs.expect(&target.name, max_tokens),
        blocks: block_hashes(prompt),
        deadline_at: shared.outside.clock.now() + time_limit,
        time_limit,
        max_retries: target.limits.max_retries,
        repeatable: request.key.is_none(),
    };
    Ok(ParsedRequest { target: target.clone(), wanted })
}

/// Takes the units of a request from its caller's limits and starts it.
pub async fn start(
    shared: &Arc<Shared>,
    tree: &TreeInForce,
    wanted: GenerateCall,
) -> Result<(Answer, Piece), RequestError> {
    shared.demand.count_request(&wanted.name, shared.outside.clock.now());
    let tokens = wanted.prompt_tokens + wanted.output_tokens;
    let taken = limits::take(shared, tree, &wanted.caller, tokens).await?;
    let started = Answer::start(shared, tree, wanted).await;
    let not_run = started.as_ref().err().is_some_and(|e| e.outcome() == Outcome::NotRun);
    if not_run {
        taken.return_all(shared);
    }
    started
}

/// Reads the end of an answer that is a single body.
pub async fn read_to_end(
    shared: &Shared,
    tree: &TreeInForce,
    answer: &mut Answer,
    name: &str,
    first: Piece,
) -> Result<Bytes, RequestError> {
    let Piece::Data(data) = first else {
        return Err(not_a_single_body());
    };
    match answer.next(tree).await? {
        Piece::End => {
            if let Some(tokens) = completion_tokens(&data) {
                shared.outputs.add(name, tokens);
            }
            Ok(data)
        }
        Piece::Data(_) => Err(not_a_single_body()),
    }
}

/// The part of a complete answer with its length.
#[derive(Deserialize)]
struct WithUsage {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

fn completion_tokens(body: &[u8]) -> Option<u64> {
    let body: WithUsage = serde_json::from_slice(body).ok()?;
    Some(body.usage.completion_tokens)
}

fn not_a_single_body() -> RequestError {
    RequestError::BackendBroke {
        detail: "the engine's answer is not one whole body".into(),
        outcome: Outcome::Unknown,
    }
}

fn find_target<'a>(
    tree: &'a TreeInForce,
    name: &str,
) -> Result<&'a Arc<ResolvedTarget>, RequestError> {
    tree.target(name).ok_or_else(|| RequestError::UnknownModel {
        name: name.to_string(),
        nearest: tree.similar_names(name),
    })
}
