//! An answer of an engine: its start, its frames, and its recovery after a lost connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use tokio::time::{Instant, timeout};
use trackfront_core::answer::{AnswerCheck, FrameAction};
use trackfront_core::engine_load::RequestResult;
use trackfront_core::ids::{AccountName, BackendId, RequestId};
use trackfront_core::outcome::{Outcome, RequestError};
use trackfront_core::ports::{Engine, FrameStream, GenerateError, GenerateRequest, StartFrom};
use trackfront_core::routing::{Pick, Refusal, RouteQuery};
use trackfront_core::units::Moment;

use crate::in_force::TreeInForce;
use crate::shared::Shared;

/// The maximum number of recoveries of a stream.
const MAX_RESUMES: u32 = 3;

/// The maximum size in bytes of the delivered part of an answer that is kept for another engine to
/// continue. A longer answer whose stream cannot be resumed ends with an error.
const MAX_DELIVERED_BYTES: usize = 256 * 1024;

/// A request for an answer, independent of the engine.
#[derive(Clone, Debug)]
pub struct GenerateCall {
    /// The request for the engine.
    pub request: GenerateRequest,
    /// The name of the model or adapter in the request.
    pub name: String,
    /// The caller.
    pub caller: AccountName,
    /// The estimated number of tokens in the prompt.
    pub prompt_tokens: f64,
    /// The expected number of tokens in the answer.
    pub output_tokens: f64,
    /// The chained hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// The deadline for the complete answer, by a clock that includes suspensions of the machine. Timers do not, so a
    /// deadline by their clock would be extended by the time of a suspension.
    pub deadline_at: Moment,
    /// The time from the request to its deadline.
    pub time_limit: Duration,
    /// The maximum number of retries at further engines.
    pub max_retries: usize,
    /// Whether another engine may run the request after one may have started it.
    pub repeatable: bool,
}

impl GenerateCall {
    /// Returns the time until the deadline.
    fn time_left(&self, shared: &Shared) -> Duration {
        self.deadline_at.since(shared.outside.clock.now())
    }
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Data for the caller.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// An attempt at an engine. Its measurements update the engine's load when it is dropped.
struct EngineAttempt {
    shared: Arc<Shared>,
    pick: Pick,
    engine: Arc<dyn Engine>,
    began: Instant,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    pieces: u32,
    ended: RequestResult,
}

impl EngineAttempt {
    fn begin(shared: &Arc<Shared>, pick: Pick, engine: Arc<dyn Engine>) -> Self {
        pick.entry.begin(&pick.sent, shared.outside.clock.now());
        Self {
            shared: shared.clone(),
            pick,
            engine,
            began: Instant::now(),
            first_at: None,
            last_at: None,
            pieces: 0,
            ended: RequestResult::default(),
        }
    }

    /// Records the arrival of a piece.
    fn record_piece(&mut self) {
        let now = Instant::now();
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.pieces += 1;
    }

    /// Records that the answer is complete. The service time starts with the first token, so the time in
    /// the queue does not count as demand.
    fn record_end(&mut self, name: &str) {
        self.ended.whole = Some(self.began.elapsed());
        let service_time = self.first_at.map_or(Duration::ZERO, |first| first.elapsed());
        self.shared.demand.record_service_time(name, service_time);
    }
}

impl Drop for EngineAttempt {
    fn drop(&mut self) {
        self.ended.first = self.first_at.map(|first| first - self.began);
        if let (Some(first), Some(last)) = (self.first_at, self.last_at)
            && self.pieces > 1
        {
            self.ended.gap = Some((last - first) / (self.pieces - 1));
        }
        let now = self.shared.outside.clock.now();
        self.pick.entry.end(&self.pick.sent, &self.ended, now);
    }
}

/// An answer in progress. Dropping it cancels the request at the engine.
pub struct Answer {
    wanted: GenerateCall,
    check: AnswerCheck,
    frames: FrameStream,
    at: EngineAttempt,
    tried: Vec<BackendId>,
    resumes: u32,
    delivered: Vec<Bytes>,
    delivered_bytes: usize,
}

impl Answer {
    /// Starts the request on the best engine and waits for the first piece. After a failure before that,
    /// others are tried within the deadline and the retry budget.
    pub async fn start(
        shared: &Arc<Shared>,
        tree: &TreeInForce,
        mut wanted: GenerateCall,
    ) -> Result<(Answer, Piece), RequestError> {
        shared.retries.count_request();
        let mut tried: Vec<BackendId> = Vec::new();
        let mut last: Option<RequestError> = None;
        loop {
            let pick = match choose(shared, &mut wanted, &tried) {
                Ok(pick) => pick,
                // The error of an engine is more useful than that no other engine is available.
                Err(refused) => return Err(last.unwrap_or(refused)),
            };
            tried.push(pick.entry.id.clone());
            let failed = match Answer::start_on(shared, tree, &wanted, pick, &tried).await {
                Ok(started) => return Ok(started),
                Err(failed) => failed,
            };
            let may_have_run = failed.error.outcome() != Outcome::NotRun;
            let error = failed.error.after(last.take());
            let is_last = failed.is_final
                || tried.len() > wanted.max_retries
                || (may_have_run && !wanted.repeatable);
            if is_last || !shared.retries.try_take() {
                return Err(error);
            }
            last = Some(error);
            shared.metrics.retries.inc();
        }
    }

    /// Starts the request on one engine and waits for the first piece.
    async fn start_on(
        shared: &Arc<Shared>,
        tree: &TreeInForce,
        wanted: &GenerateCall,
        pick: Pick,
        tried: &[BackendId],
    ) -> Result<(Answer, Piece), AttemptError> {
        let engine = engine_client(tree, wanted, &pick)?;
        let mut at = EngineAttempt::begin(shared, pick, engine);
        let frames = start_frames(&mut at, wanted, wanted.request.clone()).await?;
        let mut answer = Answer {
            check: AnswerCheck::new(wanted.request.id.clone()),
            wanted: wanted.clone(),
            frames,
            at,
            tried: tried.to_vec(),
            resumes: 0,
            delivered: Vec::new(),
            delivered_bytes: 0,
        };
        match answer.read().await {
            Ok(piece) => Ok((answer, piece)),
            Err(ReadError::DeadlinePassed) => {
                Err(AttemptError::last(deadline_passed(wanted, Outcome::Unknown)))
            }
            Err(ReadError::Disconnected(detail)) => {
                answer.at.ended.failed = true;
                let outcome = Outcome::Unknown;
                Err(AttemptError::retry(RequestError::BackendBroke { detail, outcome }))
            }
        }
    }

    /// Returns the request's identifier.
    pub fn id(&self) -> &RequestId {
        &self.wanted.request.id
    }

    /// Returns the number of pieces of data so far.
    pub fn pieces(&self) -> u64 {
        self.check.next_offset()
    }

    /// Waits for the next piece. A lost stream is resumed at the same engine, or continued by another one
    /// from the delivered text. Must not be called after an error or the end.
    pub async fn next(&mut self, tree: &TreeInForce) -> Result<Piece, RequestError> {
        loop {
            match self.read().await {
                Ok(piece) => return Ok(piece),
                Err(ReadError::DeadlinePassed) => {
                    return Err(deadline_passed(&self.wanted, Outcome::Ran));
                }
                Err(ReadError::Disconnected(detail)) => self.recover(tree, detail).await?,
            }
        }
    }

    /// Reads frames until one has to be delivered.
    async fn read(&mut self) -> Result<Piece, ReadError> {
        loop {
            let left = self.wanted.time_left(&self.at.shared);
            let frame = timeout(left, self.frames.next()).await;
            let frame = match frame.map_err(|_| ReadError::DeadlinePassed)? {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Err(ReadError::Disconnected(error.to_string())),
                None => {
                    return Err(ReadError::Disconnected(
                        "the stream ended without its end mark".into(),
                    ));
                }
            };
            match self.check.accept(frame) {
                FrameAction::Deliver(data) => {
                    self.at.record_piece();
                    self.record_delivered(&data);
                    return Ok(Piece::Data(data));
                }
                FrameAction::End => {
                    self.at.record_end(&self.wanted.name);
                    return Ok(Piece::End);
                }
                FrameAction::OtherRequest => self.at.shared.metrics.frame_dropped("other_request"),
                FrameAction::Repeated => self.at.shared.metrics.frame_dropped("repeated"),
                FrameAction::Gap => {
                    return Err(ReadError::Disconnected("frames are missing".into()));
                }
            }
        }
    }

    /// Keeps delivered data, for another engine to continue.
    fn record_delivered(&mut self, data: &Bytes) {
        self.delivered_bytes += data.len();
        if self.wanted.request.stream && self.delivered_bytes <= MAX_DELIVERED_BYTES {
            self.delivered.push(data.clone());
        }
    }

    /// Recovers a lost stream, at the same engine or at another one.
    async fn recover(&mut self, tree: &TreeInForce, detail: String) -> Result<(), RequestError> {
        let outcome = if self.pieces() == 0 { Outcome::Unknown } else { Outcome::Ran };
        let broken = RequestError::BackendBroke { detail, outcome };
        if !self.wanted.request.stream || self.pieces() == 0 || self.resumes == MAX_RESUMES {
            return Err(broken);
        }
        self.resumes += 1;
        if self.resume().await.is_err() {
            self.at.ended.failed = true;
            self.continue_elsewhere(tree).await.map_err(|_| broken)?;
        }
        self.at.shared.metrics.resumes.inc();
        Ok(())
    }

    /// Resumes the stream at the same engine.
    async fn resume(&mut self) -> Result<(), AttemptError> {
        let from = StartFrom::Resume { offset: self.check.next_offset() };
        let request = GenerateRequest { from, ..self.wanted.request.clone() };
        self.frames = start_frames(&mut self.at, &self.wanted, request).await?;
        Ok(())
    }

    /// Continues the answer at another engine, from the delivered text.
    async fn continue_elsewhere(&mut self, tree: &TreeInForce) -> Result<(), AttemptError> {
        let offset = self.check.next_offset();
        let has_all = self.delivered.len() as u64 == offset;
        if !self.wanted.repeatable || !has_all || !self.at.shared.retries.try_take() {
            return Err(AttemptError::last(deadline_passed(&self.wanted, Outcome::Ran)));
        }
        let shared = self.at.shared.clone();
        let pick = choose(&shared, &mut self.wanted, &self.tried).map_err(AttemptError::last)?;
        self.tried.push(pick.entry.id.clone());
        let engine = engine_client(tree, &self.wanted, &pick)?;
        let from = StartFrom::Continue { offset, delivered: self.delivered.clone() };
        let request = GenerateRequest { from, ..self.wanted.request.clone() };
        let mut at = EngineAttempt::begin(&shared, pick, engine);
        self.frames = start_frames(&mut at, &self.wanted, request).await?;
        self.at = at;
        Ok(())
    }
}

/// Why no frame could be read.
enum ReadError {
    /// The deadline passed.
    DeadlinePassed,
    /// The stream was lost.
    Disconnected(String),
}

/// The failure of an attempt.
struct AttemptError {
    error: RequestError,
    /// Whether no other engine may be tried.
    is_final: bool,
}

impl AttemptError {
    fn last(error: RequestError) -> Self {
        Self { error, is_final: true }
    }

    fn retry(error: RequestError) -> Self {
        Self { error, is_final: false }
    }
}

/// Sends a request to an engine and waits for the start of the answer.
async fn start_frames(
    at: &mut EngineAttempt,
    wanted: &GenerateCall,
    request: GenerateRequest,
) -> Result<FrameStream, AttemptError> {
    let left = wanted.time_left(&at.shared);
    let started = timeout(left, at.engine.generate(request)).await;
    let Ok(started) = started else {
        return Err(AttemptError::last(deadline_passed(wanted, Outcome::Unknown)));
    };
    started.map_err(|error| {
        let outcome = error.outcome();
        match error {
            GenerateError::Refused { status, detail, final_refusal, back_off } => {
                at.ended.retry_after = back_off;
                AttemptError {
                    error: RequestError::BackendRefused { status, detail },
                    is_final: final_refusal,
                }
            }
            error => {
                at.ended.failed = true;
                let detail = error.to_string();
                AttemptError::retry(RequestError::BackendBroke { detail, outcome })
            }
        }
    })
}

/// Returns the client of the chosen engine.
fn engine_client(
    tree: &TreeInForce,
    wanted: &GenerateCall,
    pick: &Pick,
) -> Result<Arc<dyn Engine>, AttemptError> {
    let retry_after = Duration::from_secs(1);
    let missing = RequestError::NoBackend { name: wanted.name.clone(), retry_after };
    tree.engines.get(&pick.entry.id).cloned().ok_or_else(|| AttemptError::retry(missing))
}

/// Chooses an engine and records the choice. While the current version is ready on no engine, the one
/// before is used.
fn choose(
    shared: &Shared,
    wanted: &mut GenerateCall,
    tried: &[BackendId],
) -> Result<Pick, RequestError> {
    match choose_item(shared, wanted, tried) {
        Err(Refusal::NoEngine { .. }) if shared.fleet.ready_count(&wanted.request.item) == 0 => {
            if let Some(other) = shared.fleet.other_version(&wanted.request.item) {
                wanted.request.item = other;
            }
            choose_item(shared, wanted, tried)
        }
        chosen => chosen,
    }
    .map_err(|refusal| match refusal {
        Refusal::NoEngine { retry_after } => {
            RequestError::NoBackend { name: wanted.name.clone(), retry_after }
        }
        Refusal::TooLate { retry_after } => {
            RequestError::Overloaded { name: wanted.name.clone(), retry_after }
        }
    })
}

fn choose_item(
    shared: &Shared,
    wanted: &GenerateCall,
    tried: &[BackendId],
) -> Result<Pick, Refusal> {
    let query = RouteQuery {
        item: &wanted.request.item,
        prompt_tokens: wanted.prompt_tokens,
        output_tokens: wanted.output_tokens,
        blocks: &wanted.blocks,
        priority: wanted.request.priority,
        time_left: wanted.time_left(shared),
        tried,
        now: shared.outside.clock.now(),
    };
    let pick = shared.router.choose(&query)?;
    shared.router.record_send(&query, &pick);
    Ok(pick)
}

fn deadline_passed(wanted: &GenerateCall, outcome: Outcome) -> RequestError {
    RequestError::DeadlinePassed { deadline_ms: wanted.time_limit.as_millis() as u64, outcome }
}
