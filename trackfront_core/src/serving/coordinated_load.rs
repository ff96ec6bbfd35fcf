//! The load of engines as their coordinators know it.
//!
//! A box of a large fleet hears each engine every few seconds, while the prefill of a prompt takes a tenth of one. So one
//! box coordinates the load of each engine: the others declare each request to it when they send the request and when it
//! advances, and ask it before they choose among engines.
//!
//! Nothing here sends or waits.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::serving::engine_speed::EngineSpeed;
use crate::serving::fair_share::FairShare;
use crate::serving::in_flight::{InFlight, RANKS};
use crate::serving::room::GrantId;
use crate::units::Moment;

/// The outstanding prefill from which an engine is short, in milliseconds: a caller notices such a wait.
const SHORT_MS: f64 = 100.0;

/// How long an engine may go without a message before its counting starts anew: a box that got no answer asks again after
/// this time, so the coordinator was cut off, was frozen, or another one was in its place.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// How long a coordinator that starts counting learns no speed: requests that it doesn't know of are still being read.
const UNKNOWN_READ_TIME: Duration = Duration::from_secs(2);

/// The time by which a request may have begun before another whose first event came, and still wait to be read. Engines
/// read in order of ranks and arrival, so the first event of an earlier one was lost.
const MAX_OVERTAKING: Duration = Duration::from_secs(1);

/// How long the state of an idle engine is kept, for its speed.
const IDLE_TTL: Duration = Duration::from_secs(300);

/// The requests that are counted at one engine; engines run a few hundred at once.
const MAX_REQUESTS: usize = 2_048;

/// The engines whose state is kept.
const MAX_ENGINES: usize = 8_192;

/// The longest prefill of one request that is counted, in milliseconds: that of a prompt of a million tokens.
const MAX_PREFILL_MS: u32 = 100_000;

/// The most tokens of one request that are counted.
const MAX_TOKENS: u32 = 2_000_000;

/// The longest time for which a request is counted, in milliseconds.
const MAX_TIME_MS: u32 = 3_600_000;

/// The work of a request at an engine, as declared by the box that sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredWork {
    /// The time for the prefill of its uncached tokens at the usual speed of the model, in milliseconds.
    pub prefill_ms: u32,
    /// The time for the whole answer after the first event at the usual speed of the model, in milliseconds.
    pub decode_ms: u32,
    /// The tokens of the KV cache that it needs at its end.
    pub tokens: u32,
    /// The urgency; 0 is the most urgent.
    pub rank: u8,
    /// The target for the longest gap between two events of its answer, in milliseconds, if there is one.
    pub max_gap_ms: Option<u32>,
    /// The hash of the client account, if there is one.
    pub account: Option<u32>,
    /// The longest time for which it can be there, in milliseconds, in case that its end is never reported.
    pub max_time_ms: u32,
}

/// A question for the load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadQuestion {
    /// The rank of the request for which it is asked.
    pub rank: u8,
    /// The hash of its client account, if there is one.
    pub account: Option<u32>,
}

/// The load of an engine, as its coordinator knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The requests there.
    pub requests: u32,
    /// The time until all prompts there have been read, in milliseconds, at the present speed of the engine.
    pub prefill_ms: u32,
    /// The part of it that a request of the rank in question waits for, in milliseconds.
    pub prefill_ahead_ms: u32,
    /// The tokens of the KV cache that the requests there need at their ends.
    pub tokens: u32,
    /// The streams that are being written and have a target for their gaps.
    pub paced_streams: u32,
    /// The least of these targets, in milliseconds; 0 if there is none.
    pub min_gap_ms: u32,
    /// The time that work takes there now, as a factor on the usual time of the models.
    pub slowness: f32,
    /// Whether the account in question already uses more than its share of an engine that others wait for.
    pub is_over_share: bool,
    /// For how long the coordinator has counted the requests at this engine, in milliseconds.
    pub counted_ms: u32,
}

impl DeclaredWork {
    /// Bounds the values: they come from another box.
    fn bounded(self) -> Self {
        Self {
            prefill_ms: self.prefill_ms.min(MAX_PREFILL_MS).min(self.max_time_ms),
            tokens: self.tokens.min(MAX_TOKENS),
            rank: self.rank.min(RANKS as u8 - 1),
            max_time_ms: self.max_time_ms.min(MAX_TIME_MS),
            ..self
        }
    }
}

/// A request that is counted at an engine.
#[derive(Clone, Copy, Debug)]
struct CountedRequest {
    work: DeclaredWork,
    began: Moment,
    expires: Moment,
    /// Whether its prompt has been read.
    is_read: bool,
    /// The time to its first event that is expected at the usual speed, in milliseconds.
    expected_ms: f64,
    /// [`EngineSpeed::paced_ms`] when it began.
    began_paced_ms: f64,
}

impl CountedRequest {
    /// The order in which engines read prompts.
    fn reading_order(&self) -> (u8, Moment) {
        (self.work.rank, self.began)
    }
}

/// The requests at one engine, and its speed.
#[derive(Debug)]
struct CountedEngine {
    requests: HashMap<GrantId, CountedRequest>,
    speed: EngineSpeed,
    share: FairShare,
    /// [`EngineSpeed::paced_ms`] since when the engine reads the first of the unread prompts.
    reading_since_paced_ms: f64,
    counted_since: Moment,
    /// The speed is learned from requests that began later.
    learns_since: Moment,
    heard_at: Moment,
}

impl CountedEngine {
    fn new(now: Moment) -> Self {
        Self {
            requests: HashMap::new(),
            speed: EngineSpeed::new(now),
            share: FairShare::default(),
            reading_since_paced_ms: 0.0,
            counted_since: now,
            learns_since: now + UNKNOWN_READ_TIME,
            heard_at: now,
        }
    }

    /// Notes that a message about the engine arrived.
    fn hear(&mut self, now: Moment) {
        if now.since(self.heard_at) >= MAX_SILENCE {
            self.counted_since = now;
            self.learns_since = self.learns_since.max(now);
        }
        self.heard_at = self.heard_at.max(now);
        self.drop_expired(now);
    }

    fn drop_expired(&mut self, now: Moment) {
        self.requests.retain(|_, request| now < request.expires);
    }

    fn unread(&self) -> impl Iterator<Item = &CountedRequest> {
        self.requests.values().filter(|request| !request.is_read)
    }

    /// Returns the unread prefill by rank, at the usual speed, less what has been read of it.
    fn outstanding(&self, now: Moment) -> InFlight {
        let mut outstanding = InFlight::default();
        for request in self.unread() {
            let rank = &mut outstanding.by_rank[usize::from(request.work.rank)];
            rank.prefill_ms += f64::from(request.work.prefill_ms);
        }
        let read_paced_ms = self.speed.paced_ms(now) - self.reading_since_paced_ms;
        let mut read_ms = read_paced_ms / self.speed.lasting();
        for rank in &mut outstanding.by_rank {
            let of_rank_ms = read_ms.clamp(0.0, rank.prefill_ms);
            rank.prefill_ms -= of_rank_ms;
            read_ms -= of_rank_ms;
        }
        outstanding
    }

    fn begin(&mut self, id: GrantId, work: DeclaredWork, now: Moment) {
        self.requests.remove(&id);
        if self.requests.len() >= MAX_REQUESTS {
            return;
        }
        self.speed.advance(now);
        let began_paced_ms = self.speed.paced_ms(now);
        if self.unread().next().is_none() {
            self.reading_since_paced_ms = began_paced_ms;
        }
        let prefill_ms = f64::from(work.prefill_ms);
        let ahead_ms = self.outstanding(now).prefill_ahead_ms(work.rank);
        for request in self.requests.values_mut().filter(|request| request.work.rank > work.rank) {
            request.expected_ms += prefill_ms;
        }
        let request = CountedRequest {
            work,
            began: now,
            expires: now + Duration::from_millis(work.max_time_ms.into()),
            is_read: false,
            expected_ms: ahead_ms + prefill_ms,
            began_paced_ms,
        };
        self.requests.insert(id, request);
        if let Some(account) = work.account {
            self.share.record(account, work.tokens, now);
        }
    }

    fn first_event(&mut self, id: GrantId, pace: Option<u32>, now: Moment) {
        if let Some(percent) = pace {
            self.speed.report_pace(percent, now);
        }
        self.speed.advance(now);
        let paced_ms = self.speed.paced_ms(now);
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_read) else {
            return;
        };
        request.is_read = true;
        let read = *request;
        self.reading_since_paced_ms = paced_ms;
        if read.began >= self.learns_since {
            self.speed.learn(read.expected_ms, paced_ms - read.began_paced_ms);
        }
        self.mark_overtaken(&read);
    }

    /// Marks requests as read whose first events must have been lost, since that of `read` came.
    fn mark_overtaken(&mut self, read: &CountedRequest) {
        for request in self.requests.values_mut() {
            let is_earlier = read.began.since(request.began) > MAX_OVERTAKING;
            request.is_read |= is_earlier && request.work.rank <= read.work.rank;
        }
    }

    fn end(&mut self, id: GrantId, now: Moment) {
        let first = self.unread().map(CountedRequest::reading_order).min();
        let Some(ended) = self.requests.remove(&id) else {
            return;
        };
        // The engine gave up the prompt that it was reading, and begins with the next one.
        if !ended.is_read && first == Some(ended.reading_order()) {
            self.reading_since_paced_ms = self.speed.paced_ms(now);
        }
    }

    fn load(&self, question: LoadQuestion, now: Moment) -> EngineLoad {
        let slowness = self.speed.slowness(now);
        let outstanding = self.outstanding(now);
        let prefill_ms = outstanding.prefill_ahead_ms(RANKS as u8 - 1) * slowness;
        let tokens = self.requests.values().map(|request| request.work.tokens);
        let gap_targets = self.requests.values().filter(|request| request.is_read);
        let gap_targets = gap_targets.filter_map(|request| request.work.max_gap_ms);
        let is_short = prefill_ms >= SHORT_MS;
        EngineLoad {
            requests: self.requests.len() as u32,
            prefill_ms: prefill_ms as u32,
            prefill_ahead_ms: (outstanding.prefill_ahead_ms(question.rank) * slowness) as u32,
            tokens: tokens.fold(0, u32::saturating_add),
            paced_streams: gap_targets.clone().count() as u32,
            min_gap_ms: gap_targets.min().unwrap_or(0),
            slowness: slowness as f32,
            is_over_share: is_short && self.is_over_share(question.account, now),
            counted_ms: now.since(self.counted_since).as_millis().try_into().unwrap_or(u32::MAX),
        }
    }

    /// Returns whether an account used more than its share while prompts of others wait.
    fn is_over_share(&self, account: Option<u32>, now: Moment) -> bool {
        let others_wait = self.unread().any(|request| request.work.account != account);
        others_wait && account.is_some_and(|account| self.share.is_over_share(account, now))
    }
}

/// Counts the requests at engines as their coordinator, by the hashes of the engines' short names.
///
/// The state is kept in memory only and bounded, whatever other boxes send.
#[derive(Debug, Default)]
pub struct LoadCoordinator {
    engines: HashMap<u32, CountedEngine>,
}

impl LoadCoordinator {
    /// Counts a request that a box is about to send to an engine. It replaces one with the same `id`.
    pub fn begin(&mut self, engine: u32, id: GrantId, work: DeclaredWork, now: Moment) {
        if let Some(engine) = self.hear(engine, now) {
            engine.begin(id, work.bounded(), now);
        }
    }

    /// Notes the first event of an answer, which ends the prefill, and the pace that the engine reported with it, in
    /// percent of the usual time. Of unknown requests only the pace counts.
    pub fn first_event(&mut self, engine: u32, id: GrantId, pace: Option<u32>, now: Moment) {
        if let Some(engine) = self.hear(engine, now) {
            engine.first_event(id, pace, now);
        }
    }

    /// Removes a request that has ended at an engine. Unknown ones are ignored.
    pub fn end(&mut self, engine: u32, id: GrantId, now: Moment) {
        if let Some(engine) = self.hear(engine, now) {
            engine.end(id, now);
        }
    }

    /// Returns the load of an engine.
    pub fn load(&mut self, engine: u32, question: LoadQuestion, now: Moment) -> EngineLoad {
        match self.hear(engine, now) {
            Some(engine) => engine.load(question, now),
            None => EngineLoad { slowness: 1.0, ..EngineLoad::default() },
        }
    }

    /// Drops expired requests, and the state of engines that have been idle for some minutes.
    pub fn forget_old(&mut self, now: Moment) {
        for engine in self.engines.values_mut() {
            engine.drop_expired(now);
            engine.share.forget_old(now);
        }
        self.engines.retain(|_, engine| {
            !engine.requests.is_empty() || now.since(engine.heard_at) < IDLE_TTL
        });
    }

    /// Returns the state of an engine that a message is about, or `None` if there is no room for another.
    fn hear(&mut self, engine: u32, now: Moment) -> Option<&mut CountedEngine> {
        if !self.engines.contains_key(&engine) && self.engines.len() >= MAX_ENGINES {
            return None;
        }
        let engine = self.engines.entry(engine).or_insert_with(|| CountedEngine::new(now));
        engine.hear(now);
        Some(engine)
    }
}
