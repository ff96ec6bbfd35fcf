//! One answer of an engine: started, checked frame by frame, resumed where it breaks off.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use tokio::time::{Instant, timeout_at};
use trackfront_core::answer::{AnswerCheck, Verdict};
use trackfront_core::fleet::EngineEntry;
use trackfront_core::ids::{BackendId, ItemKey, RequestId};
use trackfront_core::outcome::{Outcome, RequestError};
use trackfront_core::ports::{Engine, FrameStream, GenerateError, GenerateRequest};

use crate::in_force::TreeInForce;
use crate::shared::Shared;

/// How often a stream is taken up again after it broke off.
const MAX_RESUMES: u32 = 2;

/// When to come back if no engine can take the request: after the next load reports.
const NO_ENGINE_RETRY: Duration = Duration::from_secs(1);

/// What is asked, of whichever engine.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The request for the engine.
    pub request: GenerateRequest,
    /// The name that the caller used.
    pub name: String,
    /// When the answer has to be whole.
    pub until: Instant,
    /// The time that the caller allowed.
    pub allowed: Duration,
    /// How many further engines may be tried.
    pub max_retries: usize,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Data for the caller.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// Counts a request at an engine while it is there.
struct InFlight {
    entry: Arc<EngineEntry>,
}

impl InFlight {
    fn new(entry: Arc<EngineEntry>) -> Self {
        entry.begin();
        Self { entry }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.end();
    }
}

/// An answer in progress. Dropping it cancels the request at the engine.
pub struct Answer {
    shared: Arc<Shared>,
    wanted: Wanted,
    check: AnswerCheck,
    engine: Arc<dyn Engine>,
    frames: FrameStream,
    resumes: u32,
    _in_flight: InFlight,
}

impl Answer {
    /// Starts the request on the best engine and waits for the first piece. Engines that fail
    /// before that are left for others, as long as the deadline and the retries allow.
    pub async fn start(
        shared: &Arc<Shared>,
        tree: &TreeInForce,
        wanted: Wanted,
    ) -> Result<(Answer, Piece), RequestError> {
        let mut tried: Vec<BackendId> = Vec::new();
        loop {
            let Some(entry) = choose(shared, &wanted.request.item, &tried) else {
                return Err(no_engine(&wanted));
            };
            tried.push(entry.id.clone());
            let failed = match Answer::start_on(shared, tree, &wanted, entry).await {
                Ok(started) => return Ok(started),
                Err(failed) => failed,
            };
            if failed.is_final || tried.len() > wanted.max_retries {
                return Err(failed.error);
            }
            shared.metrics.retries.inc();
        }
    }

    /// Starts the request on one engine and waits for the first piece.
    async fn start_on(
        shared: &Arc<Shared>,
        tree: &TreeInForce,
        wanted: &Wanted,
        entry: Arc<EngineEntry>,
    ) -> Result<(Answer, Piece), Failed> {
        let Some(engine) = tree.engines.get(&entry.id).cloned() else {
            return Err(Failed::retry(no_engine(wanted)));
        };
        let in_flight = InFlight::new(entry.clone());
        let started = timeout_at(wanted.until, engine.generate(wanted.request.clone())).await;
        let frames = match started {
            Err(_) => return Err(Failed::last(passed(wanted, Outcome::Unknown))),
            Ok(Ok(frames)) => frames,
            Ok(Err(error)) => {
                if !matches!(error, GenerateError::Refused { final_refusal: true, .. }) {
                    entry.suspect(shared.outside.clock.now());
                }
                return Err(Failed::of(error));
            }
        };
        let mut answer = Answer {
            shared: shared.clone(),
            check: AnswerCheck::new(wanted.request.id.clone()),
            wanted: wanted.clone(),
            engine,
            frames,
            resumes: 0,
            _in_flight: in_flight,
        };
        match answer.next().await {
            Ok(piece) => Ok((answer, piece)),
            Err(error @ RequestError::DeadlinePassed { .. }) => Err(Failed::last(error)),
            Err(error) => {
                entry.suspect(shared.outside.clock.now());
                Err(Failed::retry(error))
            }
        }
    }

    /// Returns the request's identifier.
    pub fn id(&self) -> &RequestId {
        &self.wanted.request.id
    }

    /// Waits for the next piece. After an error or the end there is nothing more to read.
    pub async fn next(&mut self) -> Result<Piece, RequestError> {
        loop {
            let frame = timeout_at(self.wanted.until, self.frames.next()).await;
            let broke = match frame {
                Err(_) => return Err(passed(&self.wanted, Outcome::Ran)),
                Ok(Some(Ok(frame))) => match self.check.judge(frame) {
                    Verdict::Deliver(data) => return Ok(Piece::Data(data)),
                    Verdict::End => return Ok(Piece::End),
                    Verdict::OtherRequest => {
                        self.shared.metrics.frame_dropped("other_request");
                        continue;
                    }
                    Verdict::Repeated => {
                        self.shared.metrics.frame_dropped("repeated");
                        continue;
                    }
                    Verdict::Gap => "frames are missing".to_string(),
                },
                Ok(Some(Err(error))) => error.to_string(),
                Ok(None) => "the stream ended without its end mark".to_string(),
            };
            self.resume(broke).await?;
        }
    }

    /// Takes the stream up again at its offset, if the engine can.
    async fn resume(&mut self, broke: String) -> Result<(), RequestError> {
        let outcome = match self.check.next_offset() {
            0 => Outcome::Unknown,
            _ => Outcome::Ran,
        };
        let broken = RequestError::BackendBroke { detail: broke, outcome };
        if !self.wanted.request.stream || self.resumes == MAX_RESUMES {
            return Err(broken);
        }
        self.resumes += 1;
        let request =
            GenerateRequest { resume_at: self.check.next_offset(), ..self.wanted.request.clone() };
        // An offset of zero would start the request anew instead of resuming it.
        if request.resume_at == 0 {
            return Err(broken);
        }
        match timeout_at(self.wanted.until, self.engine.generate(request)).await {
            Err(_) => Err(passed(&self.wanted, Outcome::Ran)),
            Ok(Err(_)) => Err(broken),
            Ok(Ok(frames)) => {
                self.shared.metrics.resumes.inc();
                self.frames = frames;
                Ok(())
            }
        }
    }
}

/// A failure before the first piece.
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

    fn of(error: GenerateError) -> Self {
        let outcome = error.outcome();
        match error {
            GenerateError::Refused { status, detail, final_refusal } => Self {
                error: RequestError::BackendRefused { status, detail },
                is_final: final_refusal,
            },
            error => Self::retry(RequestError::BackendBroke { detail: error.to_string(), outcome }),
        }
    }
}

fn choose(shared: &Shared, item: &ItemKey, tried: &[BackendId]) -> Option<Arc<EngineEntry>> {
    shared.router.choose(item, tried, shared.outside.clock.now())
}

fn no_engine(wanted: &Wanted) -> RequestError {
    RequestError::NoBackend { name: wanted.name.clone(), retry_after: NO_ENGINE_RETRY }
}

fn passed(wanted: &Wanted, outcome: Outcome) -> RequestError {
    RequestError::DeadlinePassed { deadline_ms: wanted.allowed.as_millis() as u64, outcome }
}
