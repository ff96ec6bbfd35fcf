//! Text generation with the timing of continuous batching.

mod http;
mod reader;

use std::sync::Arc;
use std::time::Duration;

use ::http::StatusCode;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::RawValue;
use tokio::sync::watch;
use trackfront_core::ids::{ItemKey, RequestId};
use trackfront_core::ports::engine::GenerateKind;
use trackfront_core::prefix::{BLOCK_BYTES, block_hashes};

use super::EngineStandin;

/// How many tokens are generated when the body does not say.
const DEFAULT_TOKENS: u64 = 16;

/// How many bytes of a body make a token of the prompt.
const BYTES_PER_TOKEN: usize = 4;

/// How long a request goes on after its last reader has gone, so that it can be resumed.
const RESUME_TIME: Duration = Duration::from_secs(2);

/// The request that a mixed-up frame names.
const OTHER_REQUEST: &str = "another-request";

/// The fields of a body that the engine reads.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Wanted {
    stream: bool,
    max_tokens: Option<u64>,
    continue_from: Option<String>,
}

/// The part of a body that the prefix cache works on.
#[derive(Deserialize)]
struct PromptPart<'a> {
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

/// A request as it comes in.
pub struct Start<'a> {
    /// Its identifier.
    pub id: RequestId,
    /// Which interface.
    pub kind: GenerateKind,
    /// The item to use.
    pub item: ItemKey,
    /// The priority.
    pub priority: u8,
    /// The offset from which a stream that is here is resumed.
    pub resume: Option<u64>,
    /// The offset from which another engine's answer is continued.
    pub continue_at: Option<u64>,
    /// The body.
    pub body: &'a [u8],
}

/// Why a request is not started.
pub enum StartError {
    /// The request itself is at fault.
    Bad(String),
    /// This engine cannot take it.
    NotHere {
        /// The HTTP status.
        status: StatusCode,
        /// Why.
        detail: String,
    },
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// So many tokens are there.
    Tokens(u64),
    /// All tokens are there.
    Done,
    /// The request was cancelled.
    Cancelled,
}

/// One request at the engine.
pub struct Generation {
    id: RequestId,
    kind: GenerateKind,
    wanted: Wanted,
    item_name: String,
    priority: u8,
    first: u64,
    progress: watch::Sender<Progress>,
}

/// What stands for an exported KV cache.
#[derive(Serialize, Deserialize)]
struct Exported {
    wanted: Wanted,
    chat: bool,
    item_name: String,
    tokens: u64,
}

impl Generation {
    fn max_tokens(&self) -> u64 {
        self.wanted.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Exports the request so that another engine can go on with it.
    pub fn export(&self) -> Bytes {
        let tokens = match *self.progress.borrow() {
            Progress::Tokens(tokens) => tokens,
            Progress::Done | Progress::Cancelled => self.max_tokens(),
        };
        let exported = Exported {
            wanted: self.wanted.clone(),
            chat: self.kind == GenerateKind::Chat,
            item_name: self.item_name.clone(),
            tokens,
        };
        serde_json::to_vec(&exported).expect("our own types always encode").into()
    }

    /// Takes an exported request.
    pub fn import(id: &RequestId, blob: &[u8]) -> Option<Generation> {
        let exported: Exported = serde_json::from_slice(blob).ok()?;
        let kind = if exported.chat { GenerateKind::Chat } else { GenerateKind::Completion };
        Some(Generation {
            id: id.clone(),
            kind,
            wanted: exported.wanted,
            item_name: exported.item_name,
            priority: 0,
            first: exported.tokens,
            progress: watch::channel(Progress::Tokens(exported.tokens)).0,
        })
    }

    /// Returns the text of a token. It names the request, so that a piece of another request's
    /// answer can be told.
    fn token(&self, offset: u64) -> String {
        format!(" {}:{offset}", self.id)
    }

    /// Returns the JSON of a token's event, in the shape that callers' libraries read.
    fn chunk(&self, offset: u64) -> Bytes {
        let last = offset + 1 == self.max_tokens();
        let finish = if last { json!("length") } else { json!(null) };
        let chunk = match self.kind {
            GenerateKind::Completion => json!({
                "id": self.id.as_str(), "object": "text_completion", "model": self.item_name,
                "choices": [{"index": 0, "text": self.token(offset), "finish_reason": finish}],
            }),
            GenerateKind::Chat => json!({
                "id": self.id.as_str(), "object": "chat.completion.chunk",
                "model": self.item_name,
                "choices": [{
                    "index": 0, "delta": {"content": self.token(offset)},
                    "finish_reason": finish,
                }],
            }),
        };
        chunk.to_string().into()
    }

    /// Returns the JSON of a whole answer.
    fn whole(&self) -> serde_json::Value {
        let text: String = (0..self.max_tokens()).map(|offset| self.token(offset)).collect();
        let usage = json!({"completion_tokens": self.max_tokens()});
        match self.kind {
            GenerateKind::Completion => json!({
                "id": self.id.as_str(), "object": "text_completion", "model": self.item_name,
                "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
                "usage": usage,
            }),
            GenerateKind::Chat => json!({
                "id": self.id.as_str(), "object": "chat.completion", "model": self.item_name,
                "choices": [{
                    "index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": "length",
                }],
                "usage": usage,
            }),
        }
    }
}

impl EngineStandin {
    /// Finds or starts a request and returns the offset of the first frame wanted.
    pub(super) fn begin(&self, start: Start<'_>) -> Result<(Arc<Generation>, u64), StartError> {
        let wanted: Wanted = serde_json::from_slice(start.body)
            .map_err(|error| StartError::Bad(error.to_string()))?;
        let known = self.inner.generations.lock().get(&start.id).cloned();
        if let Some(offset) = start.resume {
            let known = known.ok_or_else(|| StartError::NotHere {
                status: StatusCode::NOT_FOUND,
                detail: "nothing to resume".into(),
            })?;
            return Ok((known, offset));
        }
        if !self.inner.memory.lock().is_ready(&start.item) {
            return Err(StartError::NotHere {
                status: StatusCode::SERVICE_UNAVAILABLE,
                detail: format!("{} is not resident", start.item),
            });
        }
        let first = start.continue_at.unwrap_or(0);
        if let Some(detail) = bad_continuation(&wanted, first) {
            return Err(StartError::Bad(detail));
        }
        self.count_start(known.is_some());
        Ok((self.start_generation(start, wanted, first), first))
    }

    fn count_start(&self, again: bool) {
        let mut counts = self.inner.counts.lock();
        counts.started += 1;
        counts.started_again += u64::from(again);
    }

    fn start_generation(&self, start: Start<'_>, wanted: Wanted, first: u64) -> Arc<Generation> {
        let item = &start.item;
        let item_name = item.adapter.as_ref().map_or(item.model.as_str(), |name| name.as_str());
        let generation = Arc::new(Generation {
            id: start.id.clone(),
            kind: start.kind,
            item_name: item_name.to_string(),
            wanted,
            priority: start.priority,
            first,
            progress: watch::channel(Progress::Tokens(first)).0,
        });
        self.inner.generations.lock().insert(start.id, generation.clone());
        let prompt = prompt_of(start.body).to_vec();
        let engine = self.clone();
        let running = generation.clone();
        tokio::spawn(async move { engine.run(running, prompt).await });
        generation
    }

    /// Runs a request in the batch to its end, or until nobody wants it any more.
    async fn run(&self, generation: Arc<Generation>, prompt: Vec<u8>) {
        let place = self.inner.batch.place(generation.priority).await;
        let finished = self.run_tokens(&generation, &prompt).await;
        drop(place);
        {
            let mut counts = self.inner.counts.lock();
            if finished {
                counts.finished += 1;
            } else {
                counts.cancelled += 1;
            }
        }
        // The answer is kept for a while, for a caller whose connection broke.
        tokio::time::sleep(RESUME_TIME).await;
        self.inner.generations.lock().remove(&generation.id);
    }

    /// Reads the prompt, as far as it is not cached.
    async fn read_prompt(&self, prompt: &[u8]) {
        let blocks = block_hashes(prompt);
        let cached = self.inner.cache.lock().read(&blocks) * BLOCK_BYTES;
        let tokens = (prompt.len().saturating_sub(cached) / BYTES_PER_TOKEN) as u64;
        tokio::time::sleep(Duration::from_micros(tokens * self.inner.config.prompt_token_us)).await;
    }

    /// Makes the tokens one by one. Returns whether all were made.
    async fn run_tokens(&self, generation: &Generation, prompt: &[u8]) -> bool {
        let config = &self.inner.config;
        if *generation.progress.borrow() == Progress::Cancelled {
            return false;
        }
        self.read_prompt(prompt).await;
        let mut unread = Duration::ZERO;
        for made in generation.first + 1..=generation.max_tokens() {
            if *generation.progress.borrow() == Progress::Cancelled || unread > RESUME_TIME {
                generation.progress.send_replace(Progress::Cancelled);
                return false;
            }
            let beside = self.inner.batch.running().saturating_sub(1) as u64;
            let gap = Duration::from_micros(config.token_us + config.token_us_per_request * beside);
            tokio::time::sleep(gap).await;
            let has_reader = generation.progress.receiver_count() > 0;
            unread = if has_reader { Duration::ZERO } else { unread + gap };
            generation.progress.send_if_modified(|progress| {
                let goes_on = *progress != Progress::Cancelled;
                if goes_on {
                    *progress = Progress::Tokens(made);
                }
                goes_on
            });
        }
        generation.progress.send_if_modified(|progress| {
            let goes_on = *progress != Progress::Cancelled;
            if goes_on {
                *progress = Progress::Done;
            }
            goes_on
        });
        *generation.progress.borrow() == Progress::Done
    }

    /// Cancels a request.
    pub(super) fn cancel(&self, id: &RequestId) {
        if let Some(generation) = self.inner.generations.lock().get(id) {
            generation.progress.send_if_modified(|progress| {
                let goes_on = matches!(progress, Progress::Tokens(_));
                if goes_on {
                    *progress = Progress::Cancelled;
                }
                goes_on
            });
        }
    }
}

/// Returns what is wrong with a request to continue, if anything: the text has to have as many
/// tokens as the offset says.
fn bad_continuation(wanted: &Wanted, first: u64) -> Option<String> {
    let delivered = wanted.continue_from.as_deref().unwrap_or_default();
    let tokens = delivered.split_whitespace().count() as u64;
    (tokens != first).then(|| format!("the text has {tokens} tokens and the offset is {first}"))
}

/// Returns the part of a body that is read as the prompt.
fn prompt_of(body: &[u8]) -> &[u8] {
    let part: Option<PromptPart<'_>> = serde_json::from_slice(body).ok();
    let raw = part.and_then(|part| part.prompt.or(part.messages));
    raw.map_or(body, |raw| raw.get().as_bytes())
}
