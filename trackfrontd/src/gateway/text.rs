//! Text requests, without HTTP: who may ask what, with which limits, of which engine.

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

use super::answer::{Answer, Piece, Wanted};
use super::{caller, too_large};
use crate::in_force::{ResolvedTarget, TreeInForce};
use crate::limits;
use crate::shared::Shared;

/// How many bytes of a prompt make a token, about.
const BYTES_PER_TOKEN: f64 = 4.0;

/// The fields of a body that routing needs. All others pass through to the engine untouched.
#[derive(Deserialize)]
struct Peek<'a> {
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

/// A text request whose caller is known.
#[derive(Clone, Debug)]
pub struct TextRequest {
    /// The request's identifier.
    pub id: RequestId,
    /// Who calls.
    pub caller: AccountName,
    /// Which interface.
    pub kind: GenerateKind,
    /// The body as it came.
    pub body: Bytes,
    /// The caller's own deadline.
    pub deadline: Option<Duration>,
    /// The caller's key, if the request may run once only.
    pub key: Option<String>,
}

/// A text request that was read and may be sent.
pub struct ReadRequest {
    /// What is asked.
    pub target: Arc<ResolvedTarget>,
    /// What is asked, of whichever engine.
    pub wanted: Wanted,
}

/// Reads a request and checks that its caller may ask it.
pub fn read(
    shared: &Shared,
    tree: &TreeInForce,
    request: &TextRequest,
) -> Result<ReadRequest, RequestError> {
    let peek: Peek<'_> = serde_json::from_slice(&request.body)
        .map_err(|error| RequestError::BadBody { detail: error.to_string() })?;
    let target = find_target(tree, &peek.model)?;
    caller::authorize(&request.caller, &target.limits, &target.name)?;
    if request.body.len() > target.limits.max_body {
        return Err(too_large(target.limits.max_body));
    }
    let allowed = request
        .deadline
        .map_or(target.limits.deadline, |deadline| deadline.min(target.limits.deadline));
    let prompt = peek.prompt.or(peek.messages).map_or("", RawValue::get).as_bytes();
    let asked = peek.max_tokens.or(peek.max_completion_tokens);
    let wanted = Wanted {
        request: GenerateRequest {
            id: request.id.clone(),
            kind: request.kind,
            item: target.item.clone(),
            priority: target.limits.priority,
            body: request.body.clone(),
            stream: peek.stream.unwrap_or(false),
            from: StartFrom::Start,
        },
        name: target.name.clone(),
        caller: request.caller.clone(),
        prompt_tokens: prompt.len() as f64 / BYTES_PER_TOKEN,
        output_tokens: shared.outputs.expect(&target.name, asked),
        blocks: block_hashes(prompt),
        until: shared.outside.clock.now() + allowed,
        allowed,
        max_retries: target.limits.max_retries,
        repeatable: request.key.is_none(),
    };
    Ok(ReadRequest { target: target.clone(), wanted })
}

/// Takes a request's share of its caller's limits and starts it.
pub async fn start(
    shared: &Arc<Shared>,
    tree: &TreeInForce,
    wanted: Wanted,
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

/// Reads the rest of an answer that is one body.
pub async fn finish_whole(
    shared: &Shared,
    tree: &TreeInForce,
    answer: &mut Answer,
    name: &str,
    first: Piece,
) -> Result<Bytes, RequestError> {
    let Piece::Data(data) = first else {
        return Err(not_one_body());
    };
    match answer.next(tree).await? {
        Piece::End => {
            if let Some(tokens) = completion_tokens(&data) {
                shared.outputs.add(name, tokens);
            }
            Ok(data)
        }
        Piece::Data(_) => Err(not_one_body()),
    }
}

/// The part of a whole answer that says how long it is.
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

fn not_one_body() -> RequestError {
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
        nearest: tree.near_names(name),
    })
}
