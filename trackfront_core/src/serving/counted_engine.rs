//! The requests at one engine, as its coordinator counts them.

use std::collections::HashMap;
use std::time::Duration;

use crate::serving::coordinated_load::{DeclaredWork, EngineLoad, LoadQuestion};
use crate::serving::engine_speed::EngineSpeed;
use crate::serving::fair_share::FairShare;
use crate::serving::in_flight::{InFlight, LEAST_URGENT};
use crate::serving::room::GrantId;
use crate::units::Moment;

/// The outstanding prefill from which an engine is short, in milliseconds: a caller notices such a wait.
const SHORT_MS: f64 = 100.0;

/// How long an engine may go without a message before its counting starts anew: a box that got no answer asks again after
/// this time, so the coordinator was cut off, was frozen, or another one was in its place.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// How long after its first message a coordinator learns no speed: requests that it doesn't know of are still being read.
const UNKNOWN_READ_TIME: Duration = Duration::from_secs(2);

/// The time by which a request may have begun before another whose first event came, and still wait to be read. Engines
/// read in order of ranks and arrival, so the first event of an earlier one was lost.
const MAX_OVERTAKING: Duration = Duration::from_secs(1);

/// The longest time for which a prompt of any rank waits to be read; after it, its first event was lost.
const MAX_UNREAD: Duration = Duration::from_secs(10);

/// The requests that are counted at one engine; engines run a few hundred at once.
const MAX_REQUESTS: usize = 2_048;

/// A request that is counted at an engine.
#[derive(Clone, Copy, Debug)]
struct CountedRequest {
    work: DeclaredWork,
    began: Moment,
    expires: Moment,
    /// Whether its prompt has been read.
    is_read: bool,
    /// Whether it had a slot at once, so that the time to its first event is that of reading.
    had_slot: bool,
    /// The time to its first event that is expected at the usual speed, in milliseconds.
    expected_ms: f64,
    /// [`EngineSpeed::work_clock_ms`] when it began.
    began_clock_ms: f64,
}

impl CountedRequest {
    /// The order in which engines read prompts.
    fn reading_order(&self) -> (u8, Moment) {
        (self.work.rank, self.began)
    }
}

/// The requests at one engine, and its speed.
#[derive(Debug)]
pub(super) struct CountedEngine {
    requests: HashMap<GrantId, CountedRequest>,
    speed: EngineSpeed,
    share: FairShare,
    /// [`EngineSpeed::work_clock_ms`] since when the engine reads the first of the unread prompts.
    reading_since_clock_ms: f64,
    counted_since: Moment,
    /// The speed is learned from requests that began later.
    learns_since: Moment,
    heard_at: Moment,
}

impl CountedEngine {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            requests: HashMap::new(),
            speed: EngineSpeed::new(now),
            share: FairShare::default(),
            reading_since_clock_ms: 0.0,
            counted_since: now,
            learns_since: now + UNKNOWN_READ_TIME,
            heard_at: now,
        }
    }

    /// Notes that a message about the engine arrived.
    pub(super) fn note_message(&mut self, now: Moment) {
        if now.since(self.heard_at) >= MAX_SILENCE {
            // Ends may have been lost meanwhile. Without the requests from before, the figures are lower bounds.
            self.requests.clear();
            self.counted_since = now;
            self.learns_since = self.learns_since.max(now);
        }
        self.heard_at = self.heard_at.max(now);
        self.drop_expired(now);
    }

    /// Drops expired requests, and accounts that no longer use the engine.
    pub(super) fn forget_old(&mut self, now: Moment) {
        self.drop_expired(now);
        self.share.forget_old(now);
    }

    /// Returns the time since the last message, or zero while requests are there.
    pub(super) fn idle_time(&self, now: Moment) -> Duration {
        if self.requests.is_empty() { now.since(self.heard_at) } else { Duration::ZERO }
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
        let read_clock_ms = self.speed.work_clock_ms(now) - self.reading_since_clock_ms;
        let mut read_ms = read_clock_ms / self.speed.lasting_slowness(now);
        for rank in &mut outstanding.by_rank {
            let of_rank_ms = read_ms.clamp(0.0, rank.prefill_ms);
            rank.prefill_ms -= of_rank_ms;
            read_ms -= of_rank_ms;
        }
        outstanding
    }

    pub(super) fn begin(&mut self, id: GrantId, work: DeclaredWork, now: Moment) {
        self.requests.remove(&id);
        if self.requests.len() >= MAX_REQUESTS {
            return;
        }
        let had_slot = self.requests.len() < work.slots as usize;
        self.speed.advance(now);
        let began_clock_ms = self.speed.work_clock_ms(now);
        if self.unread().next().is_none() {
            self.reading_since_clock_ms = began_clock_ms;
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
            had_slot,
            expected_ms: ahead_ms + prefill_ms,
            began_clock_ms,
        };
        self.requests.insert(id, request);
        if let Some(account) = work.account {
            self.share.record(account, work.tokens, now);
        }
    }

    pub(super) fn first_event(&mut self, id: GrantId, pace: Option<u32>, now: Moment) {
        if let Some(percent) = pace {
            self.speed.report_pace(percent, now);
        }
        self.speed.advance(now);
        let work_clock_ms = self.speed.work_clock_ms(now);
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_read) else {
            return;
        };
        request.is_read = true;
        let read = *request;
        self.reading_since_clock_ms = work_clock_ms;
        if read.began >= self.learns_since && read.had_slot {
            self.speed.learn(read.expected_ms, work_clock_ms - read.began_clock_ms, now);
        }
        self.mark_overtaken(&read, now);
    }

    /// Marks requests as read whose first events must have been lost, since that of `read` came.
    fn mark_overtaken(&mut self, read: &CountedRequest, now: Moment) {
        for request in self.requests.values_mut() {
            let is_earlier = read.began.since(request.began) > MAX_OVERTAKING;
            let is_overtaken = is_earlier && request.work.rank <= read.work.rank;
            request.is_read |= is_overtaken || now.since(request.began) > MAX_UNREAD;
        }
    }

    pub(super) fn end(&mut self, id: GrantId, now: Moment) {
        let first = self.unread().map(CountedRequest::reading_order).min();
        let Some(ended) = self.requests.remove(&id) else {
            return;
        };
        // The engine gave up the prompt that it was reading, and begins with the next one.
        if !ended.is_read && first == Some(ended.reading_order()) {
            self.reading_since_clock_ms = self.speed.work_clock_ms(now);
        }
    }

    pub(super) fn load(&self, question: LoadQuestion, now: Moment) -> EngineLoad {
        let slowness = self.speed.slowness(now);
        let outstanding = self.outstanding(now);
        let prefill_ms = outstanding.prefill_ahead_ms(LEAST_URGENT) * slowness;
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
