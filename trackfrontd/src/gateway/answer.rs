//! One answer of an engine: started, checked frame by frame, taken up again where it breaks off.

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

/// How often a stream is taken up again after it broke off.
const MAX_RESUMES: u32 = 3;

/// How much of an answer is kept so that another engine can continue it, in bytes. A longer
/// answer that breaks off for good ends with an error.
const MAX_DELIVERED_BYTES: usize = 256 * 1024;

/// What is asked, of whichever engine.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The request for the engine.
    pub request: GenerateRequest,
    /// The name that the caller used.
    pub name: String,
    /// Who calls.
    pub caller: AccountName,
    /// The tokens of the prompt.
    pub prompt_tokens: f64,
    /// The tokens that the answer should have.
    pub output_tokens: f64,
    /// The chained hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// When the answer has to be whole, by the clock that counts suspensions of the machine: a timer that is set to it
    /// would leave a request the time that its machine was suspended, and routing would believe that.
    pub until: Moment,
    /// The time that the caller allowed.
    pub allowed: Duration,
    /// How many further engines may be tried.
    pub max_retries: usize,
    /// Whether another engine may run the request if one may have started it.
    pub repeatable: bool,
}

impl Wanted {
    /// Returns how much of the caller's time is left.
    fn time_left(&self, shared: &Shared) -> Duration {
        self.until.since(shared.outside.clock.now())
    }
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Data for the caller.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// A request at an engine. What was measured is told to the engine's load when it ends.
struct AtEngine {
    shared: Arc<Shared>,
    pick: Pick,
    engine: Arc<dyn Engine>,
    began: Instant,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    pieces: u32,
    ended: RequestResult,
}

impl AtEngine {
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

    /// Notes that a piece has come.
    fn piece(&mut self) {
        let now = Instant::now();
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.pieces += 1;
    }

    /// Notes that the answer is whole. What it waited for a place in the batch does not count as
    /// demand, as far as it can be told from the time of the tokens.
    fn whole(&mut self, name: &str) {
        self.ended.whole = Some(self.began.elapsed());
        let tokens_took = self.first_at.map_or(Duration::ZERO, |first| first.elapsed());
        self.shared.demand.record_service_time(name, tokens_took);
    }
}

impl Drop for AtEngine {
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
    wanted: Wanted,
    check: AnswerCheck,
    frames: FrameStream,
    at: AtEngine,
    tried: Vec<BackendId>,
    resumes: u32,
    delivered: Vec<Bytes>,
    delivered_bytes: usize,
}

impl Answer {
    /// Starts the request on the best engine and waits for the first piece. Engines that fail
    /// before that are left for others, as long as the deadline and the retries allow.
    pub async fn start(
        shared: &Arc<Shared>,
        tree: &TreeInForce,
        mut wanted: Wanted,
    ) -> Result<(Answer, Piece), RequestError> {
        shared.retries.count_request();
        let mut tried: Vec<BackendId> = Vec::new();
        let mut last: Option<RequestError> = None;
        loop {
            let pick = match choose(shared, &mut wanted, &tried) {
                Ok(pick) => pick,
                // What an engine said before tells more than that no other is left.
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
        wanted: &Wanted,
        pick: Pick,
        tried: &[BackendId],
    ) -> Result<(Answer, Piece), Failed> {
        let engine = link(tree, wanted, &pick)?;
        let mut at = AtEngine::begin(shared, pick, engine);
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
            Err(Broken::Late) => Err(Failed::last(passed(wanted, Outcome::Unknown))),
            Err(Broken::Off(detail)) => {
                answer.at.ended.failed = true;
                let outcome = Outcome::Unknown;
                Err(Failed::retry(RequestError::BackendBroke { detail, outcome }))
            }
        }
    }

    /// Returns the request's identifier.
    pub fn id(&self) -> &RequestId {
        &self.wanted.request.id
    }

    /// Returns how many pieces of data have come.
    pub fn pieces(&self) -> u64 {
        self.check.next_offset()
    }

    /// Waits for the next piece. A stream that breaks off is resumed where the engine can, and
    /// else continued by another engine from the text delivered. After an error or the end
    /// there is nothing more to read.
    pub async fn next(&mut self, tree: &TreeInForce) -> Result<Piece, RequestError> {
        loop {
            match self.read().await {
                Ok(piece) => return Ok(piece),
                Err(Broken::Late) => return Err(passed(&self.wanted, Outcome::Ran)),
                Err(Broken::Off(detail)) => self.take_up(tree, detail).await?,
            }
        }
    }

    /// Reads frames until one is for the caller.
    async fn read(&mut self) -> Result<Piece, Broken> {
        loop {
            let left = self.wanted.time_left(&self.at.shared);
            let frame = timeout(left, self.frames.next()).await;
            let frame = match frame.map_err(|_| Broken::Late)? {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Err(Broken::Off(error.to_string())),
                None => return Err(Broken::Off("the stream ended without its end mark".into())),
            };
            match self.check.accept(frame) {
                FrameAction::Deliver(data) => {
                    self.at.piece();
                    self.keep(&data);
                    return Ok(Piece::Data(data));
                }
                FrameAction::End => {
                    self.at.whole(&self.wanted.name);
                    return Ok(Piece::End);
                }
                FrameAction::OtherRequest => self.at.shared.metrics.frame_dropped("other_request"),
                FrameAction::Repeated => self.at.shared.metrics.frame_dropped("repeated"),
                FrameAction::Gap => return Err(Broken::Off("frames are missing".into())),
            }
        }
    }

    /// Keeps what was delivered, for another engine to continue.
    fn keep(&mut self, data: &Bytes) {
        self.delivered_bytes += data.len();
        if self.wanted.request.stream && self.delivered_bytes <= MAX_DELIVERED_BYTES {
            self.delivered.push(data.clone());
        }
    }

    /// Takes a stream up again that broke off: at the same engine, or at another.
    async fn take_up(&mut self, tree: &TreeInForce, detail: String) -> Result<(), RequestError> {
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

    /// Resumes at the same engine.
    async fn resume(&mut self) -> Result<(), Failed> {
        let from = StartFrom::Resume { offset: self.check.next_offset() };
        let request = GenerateRequest { from, ..self.wanted.request.clone() };
        self.frames = start_frames(&mut self.at, &self.wanted, request).await?;
        Ok(())
    }

    /// Lets another engine continue from the text delivered.
    async fn continue_elsewhere(&mut self, tree: &TreeInForce) -> Result<(), Failed> {
        let offset = self.check.next_offset();
        let has_all = self.delivered.len() as u64 == offset;
        if !self.wanted.repeatable || !has_all || !self.at.shared.retries.try_take() {
            return Err(Failed::last(passed(&self.wanted, Outcome::Ran)));
        }
        let shared = self.at.shared.clone();
        let pick = choose(&shared, &mut self.wanted, &self.tried).map_err(Failed::last)?;
        self.tried.push(pick.entry.id.clone());
        let engine = link(tree, &self.wanted, &pick)?;
        let from = StartFrom::Continue { offset, delivered: self.delivered.clone() };
        let request = GenerateRequest { from, ..self.wanted.request.clone() };
        let mut at = AtEngine::begin(&shared, pick, engine);
        self.frames = start_frames(&mut at, &self.wanted, request).await?;
        self.at = at;
        Ok(())
    }
}

/// Why the next frame did not come.
enum Broken {
    /// The deadline passed.
    Late,
    /// The stream broke off.
    Off(String),
}

/// A failure to start on an engine.
struct Failed {
    error: RequestError,
    /// Whether no other engine is to be tried.
    is_final: bool,
}

impl Failed {
    fn last(error: RequestError) -> Self {
        Self { error, is_final: true }
    }

    fn retry(error: RequestError) -> Self {
        Self { error, is_final: false }
    }
}

/// Sends a request to an engine and waits until it answers or refuses.
async fn start_frames(
    at: &mut AtEngine,
    wanted: &Wanted,
    request: GenerateRequest,
) -> Result<FrameStream, Failed> {
    let left = wanted.time_left(&at.shared);
    let started = timeout(left, at.engine.generate(request)).await;
    let Ok(started) = started else {
        return Err(Failed::last(passed(wanted, Outcome::Unknown)));
    };
    started.map_err(|error| {
        let outcome = error.outcome();
        match error {
            GenerateError::Refused { status, detail, final_refusal, back_off } => {
                at.ended.retry_after = back_off;
                Failed {
                    error: RequestError::BackendRefused { status, detail },
                    is_final: final_refusal,
                }
            }
            error => {
                at.ended.failed = true;
                let detail = error.to_string();
                Failed::retry(RequestError::BackendBroke { detail, outcome })
            }
        }
    })
}

/// Returns the link to the engine that was chosen.
fn link(tree: &TreeInForce, wanted: &Wanted, pick: &Pick) -> Result<Arc<dyn Engine>, Failed> {
    let retry_after = Duration::from_secs(1);
    let missing = RequestError::NoBackend { name: wanted.name.clone(), retry_after };
    tree.engines.get(&pick.entry.id).cloned().ok_or_else(|| Failed::retry(missing))
}

/// Chooses an engine and notes the choice. While no engine has the wanted version yet, the one
/// before goes on answering.
fn choose(shared: &Shared, wanted: &mut Wanted, tried: &[BackendId]) -> Result<Pick, RequestError> {
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

fn choose_item(shared: &Shared, wanted: &Wanted, tried: &[BackendId]) -> Result<Pick, Refusal> {
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

fn passed(wanted: &Wanted, outcome: Outcome) -> RequestError {
    RequestError::DeadlinePassed { deadline_ms: wanted.allowed.as_millis() as u64, outcome }
}
