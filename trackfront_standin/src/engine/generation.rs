//! Text generation with the timing of continuous batching.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame as BodyFrame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use trackfront_adapters::http_server::{Abort, BodyError, json as json_response, response};
use trackfront_adapters::wire::engine::{
    ADAPTER_HEADER, DONE, FINAL_HEADER, MODEL_HEADER, REQUEST_ID_HEADER, RESUME_HEADER,
    VERSION_HEADER, event_id,
};
use trackfront_core::ids::{ItemKey, RequestId};
use trackfront_core::ports::engine::GenerateKind;

use super::EngineStandin;
use crate::server::{Answer, body};

/// How many tokens are generated when the body does not say.
const DEFAULT_TOKENS: u64 = 16;

/// How many bytes of a body make a token of the prompt.
const BYTES_PER_TOKEN: usize = 4;

/// How long a request goes on after its last reader has gone, so that it can be resumed.
const RESUME_TIME: Duration = Duration::from_secs(2);

/// The fields of a body that the engine reads.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Wanted {
    model: String,
    stream: bool,
    max_tokens: Option<u64>,
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
            progress: watch::channel(Progress::Tokens(exported.tokens)).0,
        })
    }

    /// Returns the text of a token. It names the request, so that a piece of another request's
    /// answer can be told.
    fn token(&self, offset: u64) -> String {
        format!(" {}:{offset}", self.id)
    }

    /// Returns the JSON of a token's event, in the shape that callers' libraries read.
    fn chunk(&self, offset: u64) -> String {
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
        chunk.to_string()
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

/// Reads the request's identifier and item from its headers.
fn named(headers: &HeaderMap) -> Option<(RequestId, ItemKey)> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let item = ItemKey {
        model: text(MODEL_HEADER)?.into(),
        adapter: text(ADAPTER_HEADER).map(Into::into),
        version: text(VERSION_HEADER)?.into(),
    };
    Some((text(REQUEST_ID_HEADER)?.into(), item))
}

/// Answers that the request itself is at fault.
fn final_refusal(status: StatusCode, detail: impl Into<String>) -> Answer {
    let mut refusal = response(status, "text/plain", detail.into());
    refusal.headers_mut().insert(FINAL_HEADER, http::HeaderValue::from_static("1"));
    Ok(refusal)
}

impl EngineStandin {
    /// Starts or resumes a request.
    pub(super) async fn generate(&self, request: Request<Incoming>, kind: GenerateKind) -> Answer {
        if self.take_drop_fault() {
            return Err(Abort);
        }
        let Some((id, item)) = named(request.headers()) else {
            return final_refusal(StatusCode::BAD_REQUEST, "the request names no item");
        };
        let resume: Option<u64> = request
            .headers()
            .get(RESUME_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let bytes = body(request).await?;
        let wanted: Wanted = match serde_json::from_slice(&bytes) {
            Ok(wanted) => wanted,
            Err(error) => return final_refusal(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let known = self.inner.generations.lock().get(&id).cloned();
        let generation = match (resume, known) {
            (Some(_), Some(known)) => known,
            (Some(_), None) => {
                return Ok(response(StatusCode::NOT_FOUND, "text/plain", "nothing to resume"));
            }
            (None, _) if !self.inner.memory.lock().is_ready(&item) => {
                let detail = format!("{item} is not resident");
                return Ok(response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", detail));
            }
            (None, known) => {
                self.count_start(known.is_some());
                self.start_generation(id, kind, wanted, item, bytes.len())
            }
        };
        if generation.wanted.stream {
            Ok(self.stream(generation, resume.unwrap_or(0)))
        } else {
            self.whole(generation).await
        }
    }

    fn take_drop_fault(&self) -> bool {
        let mut faults = self.inner.faults.lock();
        let drop = faults.drop_requests > 0;
        faults.drop_requests = faults.drop_requests.saturating_sub(1);
        drop
    }

    fn count_start(&self, again: bool) {
        let mut counts = self.inner.counts.lock();
        counts.started += 1;
        counts.started_again += u64::from(again);
    }

    fn start_generation(
        &self,
        id: RequestId,
        kind: GenerateKind,
        wanted: Wanted,
        item: ItemKey,
        body_bytes: usize,
    ) -> Arc<Generation> {
        let item_name = item.adapter.as_ref().map_or(item.model.as_str(), |name| name.as_str());
        let generation = Arc::new(Generation {
            id: id.clone(),
            kind,
            item_name: item_name.to_string(),
            wanted,
            progress: watch::channel(Progress::Tokens(0)).0,
        });
        self.inner.generations.lock().insert(id, generation.clone());
        let engine = self.clone();
        let prompt_tokens = (body_bytes / BYTES_PER_TOKEN) as u64;
        let running = generation.clone();
        tokio::spawn(async move { engine.run(running, prompt_tokens).await });
        generation
    }

    /// Runs a request in the batch to its end, or until nobody wants it any more.
    async fn run(&self, generation: Arc<Generation>, prompt_tokens: u64) {
        let inner = &self.inner;
        inner.queued.fetch_add(1, Ordering::SeqCst);
        let slot = inner.batch.clone().acquire_owned().await;
        inner.queued.fetch_sub(1, Ordering::SeqCst);
        inner.running.fetch_add(1, Ordering::SeqCst);
        let finished = self.run_tokens(&generation, prompt_tokens).await;
        inner.running.fetch_sub(1, Ordering::SeqCst);
        drop(slot);
        {
            let mut counts = inner.counts.lock();
            if finished {
                counts.finished += 1;
            } else {
                counts.cancelled += 1;
            }
        }
        // The answer is kept for a while, for a caller whose connection broke.
        tokio::time::sleep(RESUME_TIME).await;
        inner.generations.lock().remove(&generation.id);
    }

    /// Makes the tokens one by one. Returns whether all were made.
    async fn run_tokens(&self, generation: &Generation, prompt_tokens: u64) -> bool {
        let config = &self.inner.config;
        tokio::time::sleep(Duration::from_micros(prompt_tokens * config.prompt_token_us)).await;
        let mut unread = Duration::ZERO;
        for made in 1..=generation.max_tokens() {
            if *generation.progress.borrow() == Progress::Cancelled || unread > RESUME_TIME {
                generation.progress.send_replace(Progress::Cancelled);
                return false;
            }
            let beside = self.inner.running.load(Ordering::SeqCst).saturating_sub(1);
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

    /// Answers with the whole text once it is there.
    async fn whole(&self, generation: Arc<Generation>) -> Answer {
        let mut progress = generation.progress.subscribe();
        let ended = progress.wait_for(|progress| !matches!(progress, Progress::Tokens(_))).await;
        if ended.is_ok_and(|progress| *progress == Progress::Cancelled) {
            return Err(Abort);
        }
        let mut answer = json_response(StatusCode::OK, &generation.whole());
        let id = if self.take_wrong_id() { "another-request" } else { generation.id.as_str() };
        if let Ok(value) = id.parse() {
            answer.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        Ok(answer)
    }

    /// Answers with a stream of events from `offset` on.
    fn stream(
        &self,
        generation: Arc<Generation>,
        offset: u64,
    ) -> Response<trackfront_adapters::http_server::Body> {
        let events = self.events(generation, offset).map(|event| event.map(BodyFrame::data));
        Response::builder()
            .header(http::header::CONTENT_TYPE, "text/event-stream")
            .body(BodyExt::boxed_unsync(StreamBody::new(events)))
            .expect("the header is valid")
    }

    fn events(
        &self,
        generation: Arc<Generation>,
        offset: u64,
    ) -> impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static {
        let progress = generation.progress.subscribe();
        let engine = self.clone();
        let reader = Reader { engine, generation, progress, offset, sent: 0, over: false };
        futures::stream::unfold(reader, |mut reader| async move {
            let event = reader.next_event().await?;
            Some((event, reader))
        })
    }

    fn take_wrong_id(&self) -> bool {
        let mut faults = self.inner.faults.lock();
        let wrong = faults.wrong_ids > 0;
        faults.wrong_ids = faults.wrong_ids.saturating_sub(1);
        wrong
    }
}

/// One connection that reads a request's stream.
struct Reader {
    engine: EngineStandin,
    generation: Arc<Generation>,
    progress: watch::Receiver<Progress>,
    offset: u64,
    sent: u64,
    over: bool,
}

impl Reader {
    /// Returns the next events to send, or `None` at the end.
    async fn next_event(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.over {
            return None;
        }
        if self.takes_break_fault() {
            self.over = true;
            return Some(Err("the stream breaks on command".into()));
        }
        let offset = self.offset;
        let reached = self
            .progress
            .wait_for(|progress| !matches!(progress, Progress::Tokens(made) if *made <= offset))
            .await
            .map(|progress| *progress);
        let data = match reached {
            Ok(Progress::Tokens(_)) => self.generation.chunk(offset),
            Ok(Progress::Done) if offset < self.generation.max_tokens() => {
                self.generation.chunk(offset)
            }
            Ok(Progress::Done) => {
                self.over = true;
                DONE.to_string()
            }
            _ => {
                self.over = true;
                return Some(Err("the request was cancelled".into()));
            }
        };
        self.offset += 1;
        self.sent += 1;
        Some(Ok(self.encode(offset, &data)))
    }

    /// Encodes an event, with the faults that are set for frames.
    fn encode(&self, offset: u64, data: &str) -> Bytes {
        let id = &self.generation.id;
        let event = format!("id: {}\ndata: {data}\n\n", event_id(id, offset));
        let mut faults = self.engine.inner.faults.lock();
        if faults.wrong_ids > 0 {
            faults.wrong_ids -= 1;
            // Another request's frame comes before ours, as a mix-up in the engine would send.
            let other = event_id(&"another-request".into(), offset);
            return format!("id: {other}\ndata: {{\"choices\":[]}}\n\n{event}").into();
        }
        if faults.repeat_frames > 0 {
            faults.repeat_frames -= 1;
            return format!("{event}{event}").into();
        }
        event.into()
    }

    fn takes_break_fault(&self) -> bool {
        let mut faults = self.engine.inner.faults.lock();
        let breaks = faults.break_streams > 0 && self.sent == faults.break_after;
        if breaks {
            faults.break_streams -= 1;
        }
        breaks
    }
}
