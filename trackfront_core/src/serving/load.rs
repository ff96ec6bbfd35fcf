//! The load of each server as one box knows it.
//!
//! Work is counted as time: the milliseconds that an engine needs to read a prompt, and those that a
//! request has one of its slots for, at the speeds that were measured for the model. A box knows its
//! own requests exactly, its peers' requests by what they last told, and all requests together by
//! what servers say in their answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{BackendId, ModelName};
use crate::serving::decode_speed::DecodeSpeeds;
use crate::serving::forecast::Forecasts;
pub use crate::serving::in_flight::{InFlight, RANKS, RankInFlight};
use crate::units::Moment;

/// How long what a peer told of its requests counts.
const PEER_FIGURES_FOR: Duration = Duration::from_millis(1_500);

/// How long what a server told of its load counts.
const TOLD_FOR: Duration = Duration::from_millis(1_000);

/// How long what a server told of its pace counts: it shares its machine with others, and this changes many times a
/// second.
const PACE_FOR: Duration = Duration::from_millis(400);

/// The bounds of a pace, as a factor on the usual time.
const PACE_BOUNDS: (f64, f64) = (0.2, 10.0);

/// The time to read one token of a prompt before any was measured at any model: ten in a
/// millisecond, a round figure that the first measurements replace.
const FIRST_TOKEN_COST_MS: f64 = 0.1;

/// The bounds of a measured time to read one token.
const TOKEN_COST_BOUNDS_MS: (f64, f64) = (0.01, 0.4);

/// The weight of one measurement in a running mean.
const MEAN_WEIGHT: f64 = 0.08;

/// The bounds of one measurement against what was expected.
const SURPRISE_BOUNDS: (f64, f64) = (0.3, 3.0);

/// How long a server gets no requests after its first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// How long such a pause lasts at most.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How much of the share of failed requests one request counts.
const FAULT_WEIGHT: f64 = 0.15;

/// The time after which the share of failed requests has halved without requests.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(2);

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt to be read.
    pub prompt_tokens: u32,
    /// Tokens to be made.
    pub output_tokens: u32,
    /// The rank.
    pub rank: u8,
}

/// A load that a server told in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// How many it works on at once.
    pub slots: u32,
    /// How long work takes there at this moment, in hundredths of the usual; `None` if it does not say.
    pub pace: Option<u32>,
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered whole.
    Answered,
    /// The server said that it did not run it.
    Refused,
    /// Another run of the server answered: the one that was meant has ended.
    Replaced,
    /// The server could not be reached.
    Unreachable,
    /// The server broke off, stayed silent or answered with a failure.
    Failed,
    /// The client left, or the request's time ran out.
    Abandoned,
}

/// The load of one server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    own: InFlight,
    /// What all peers have under way here, as far as their word counts.
    peers: InFlight,
    told: Option<(ReportedLoad, Moment, u32)>,
    failures: u32,
    paused_until: Option<Moment>,
    unreachable_since: Option<Moment>,
    replaced: bool,
    faults: f64,
    faults_at: Moment,
    mean_call_ms: Option<f64>,
}

impl ServerLoad {
    /// Returns this node's own share.
    pub fn own(&self) -> InFlight {
        self.own
    }

    /// Returns what all nodes have under way here, as far as it is known.
    pub fn total(&self, now: Moment) -> InFlight {
        let mut total = self.own;
        total.add(&self.peers);
        if let Some((told, at, own_then)) = self.told
            && now.since(at) < TOLD_FOR
        {
            let since = self.own.requests().saturating_sub(own_then);
            let requests = told.running + told.waiting + since;
            total.add_unknown(requests.saturating_sub(total.requests()));
        }
        total
    }

    /// Returns how many requests waited at the server by its last word, if that is recent.
    pub fn waiting(&self, now: Moment) -> u32 {
        match self.told {
            Some((told, at, _)) if now.since(at) < TOLD_FOR => told.waiting,
            _ => 0,
        }
    }

    /// Returns by how much work takes longer there than usual by its last word, if that is recent.
    pub fn pace(&self, now: Moment) -> f64 {
        let (low, high) = PACE_BOUNDS;
        match self.told {
            Some((ReportedLoad { pace: Some(pace), .. }, at, _)) if now.since(at) < PACE_FOR => {
                (f64::from(pace) / 100.0).clamp(low, high)
            }
            _ => 1.0,
        }
    }

    /// Returns whether the server is spared after failures.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether another run of the server has taken its place.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns since when the server could not be reached.
    pub fn unreachable_since(&self) -> Option<Moment> {
        self.unreachable_since
    }

    /// Returns the share of requests that failed lately, from 0 to 1.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        let halves = now.since(self.faults_at).as_secs_f64() / FAULT_HALF_LIFE.as_secs_f64();
        self.faults * 0.5f64.powf(halves)
    }

    /// Returns the mean time of a plain call in milliseconds, zero before any was measured: what is
    /// not known keeps no request away.
    pub fn mean_call_ms(&self) -> f64 {
        self.mean_call_ms.unwrap_or(0.0)
    }

    fn note_fault(&mut self, failed: bool, now: Moment) {
        let share = self.failure_rate(now);
        self.faults = share + FAULT_WEIGHT * (f64::from(u8::from(failed)) - share);
        self.faults_at = now;
    }

    fn note_unreachable(&mut self, now: Moment) {
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(6));
        self.failures += 1;
        self.unreachable_since.get_or_insert(now);
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    fn note_ended(&mut self, now: Moment) {
        self.unreachable_since.get_or_insert(now);
        self.paused_until = Some(now + MAX_PAUSE);
    }

    fn note_reachable(&mut self) {
        self.failures = 0;
        self.paused_until = None;
        self.unreachable_since = None;
    }
}

/// A request that counts at a server. It has to be given back to [`LoadTracker::end`].
#[derive(Debug)]
pub struct TrackedRequest {
    server: BackendId,
    model: Option<ModelName>,
    rank: usize,
    prefill_ms: f64,
    decode_ms: f64,
    output_tokens: u32,
    /// How long reading, what is read before it and the wait for a slot should take.
    expected_prefill_ms: f64,
    /// How long the first event should take by the choice of the server, which looks at more.
    expected_ms: f64,
    /// Whether there was a free slot, so that the time to the first event is that of reading.
    had_slot: bool,
    began: Moment,
    first_event: Option<Moment>,
}

impl TrackedRequest {
    /// Returns the server.
    pub fn server(&self) -> &BackendId {
        &self.server
    }

    /// Returns how long the first event was expected to take, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Notes what the choice of the server expected.
    pub fn expect(&mut self, estimate: Duration) {
        self.expected_ms = estimate.as_secs_f64() * 1_000.0;
    }
}

/// The load of all servers, and the measured speed of models.
#[derive(Debug, Default)]
pub struct LoadTracker {
    servers: HashMap<BackendId, ServerLoad>,
    /// What each peer told last, and when.
    peers: HashMap<u32, (Vec<(BackendId, InFlight)>, Moment)>,
    prefill_ms_per_token: HashMap<ModelName, f64>,
    decode_speeds: DecodeSpeeds,
    forecasts: Forecasts,
}

impl LoadTracker {
    /// Returns whether another run of a server has taken its place.
    pub fn is_replaced(&self, id: &BackendId) -> bool {
        self.servers.get(id).is_some_and(ServerLoad::is_replaced)
    }

    /// Returns whether a server is spared after failures.
    pub fn is_paused(&self, id: &BackendId, now: Moment) -> bool {
        self.servers.get(id).is_some_and(|load| load.is_paused(now))
    }

    /// Returns the load of a server; an idle one if nothing is known.
    pub fn server(&mut self, id: &BackendId) -> &mut ServerLoad {
        if !self.servers.contains_key(id) {
            self.servers.insert(id.clone(), ServerLoad::default());
        }
        self.servers.get_mut(id).expect("it was just put in")
    }

    /// Returns the time to read one token of a prompt for `model`, in milliseconds; for one that was
    /// not measured yet the mean of those that were.
    pub fn prefill_ms_per_token(&self, model: &ModelName) -> f64 {
        let measured = self.prefill_ms_per_token.get(model).copied();
        measured.unwrap_or_else(|| self.mean_prefill_ms_per_token())
    }

    fn mean_prefill_ms_per_token(&self) -> f64 {
        match self.prefill_ms_per_token.len() {
            0 => FIRST_TOKEN_COST_MS,
            models => self.prefill_ms_per_token.values().sum::<f64>() / models as f64,
        }
    }

    /// Returns the time to make an answer of `tokens` tokens, in milliseconds.
    pub fn decode_ms(&self, model: &ModelName, tokens: u32) -> f64 {
        self.decode_speeds.token_ms(model) * f64::from(tokens)
    }

    /// Returns how likely it is that the first event of an answer by a model, or a plain answer, that is
    /// expected after `estimate` comes within `limit`, from 0 to 1; by whether the server has a free slot.
    pub fn probability_within(
        &mut self,
        of_model: bool,
        has_slot: bool,
        estimate: Duration,
        limit: Duration,
    ) -> f64 {
        let forecast = self.forecasts.of(of_model, has_slot);
        forecast.within(estimate.as_secs_f64() * 1_000.0, limit.as_secs_f64() * 1_000.0)
    }

    /// Counts a request at a server that works on `slots` at once.
    pub fn begin(
        &mut self,
        server: &BackendId,
        slots: u32,
        model: Option<&ModelName>,
        work: Work,
        now: Moment,
    ) -> TrackedRequest {
        let cost = model.map_or(0.0, |model| self.prefill_ms_per_token(model));
        let prefill_ms = f64::from(work.prompt_tokens) * cost;
        let decode_ms = model.map_or(0.0, |model| self.decode_ms(model, work.output_tokens));
        let load = self.server(server);
        let total = load.total(now);
        let slot_wait_ms = total.slot_wait_ms(work.rank, slots);
        let expected_prefill_ms = total.prefill_ahead_ms(work.rank) + prefill_ms + slot_wait_ms;
        let rank = usize::from(work.rank).min(RANKS - 1);
        load.own.by_rank[rank].add(&RankInFlight { requests: 1, prefill_ms, decode_ms });
        TrackedRequest {
            server: server.clone(),
            model: model.cloned(),
            rank,
            prefill_ms,
            decode_ms,
            output_tokens: work.output_tokens,
            expected_prefill_ms,
            expected_ms: expected_prefill_ms,
            had_slot: total.requests() < slots,
            began: now,
            first_event: None,
        }
    }

    /// Notes the first event of an answer: the prompt has been read.
    pub fn first_event(&mut self, counted: &mut TrackedRequest, now: Moment) {
        self.end_prefill(counted);
        counted.first_event = Some(now);
        self.server(&counted.server.clone()).note_reachable();
        let took_ms = now.since(counted.began).as_secs_f64() * 1_000.0;
        self.forecasts.of(true, counted.had_slot).record(counted.expected_ms, took_ms);
        // The time to wait for a slot says nothing of the speed of reading.
        let Some(model) = counted.model.as_ref().filter(|_| counted.had_slot) else {
            return;
        };
        let (low, high) = SURPRISE_BOUNDS;
        let surprise = (took_ms / counted.expected_prefill_ms.max(1.0)).clamp(low, high);
        let cost = self.prefill_ms_per_token(model) * (1.0 + MEAN_WEIGHT * (surprise - 1.0));
        let (low, high) = TOKEN_COST_BOUNDS_MS;
        self.prefill_ms_per_token.insert(model.clone(), cost.clamp(low, high));
    }

    /// Takes a request off a server's load.
    pub fn end(&mut self, mut counted: TrackedRequest, ending: AttemptOutcome, now: Moment) {
        self.end_prefill(&mut counted);
        let took_ms = now.since(counted.began).as_secs_f64() * 1_000.0;
        let plain = counted.model.is_none();
        if plain && ending == AttemptOutcome::Answered {
            self.forecasts.of(false, counted.had_slot).record(counted.expected_ms, took_ms);
        }
        if ending == AttemptOutcome::Answered
            && let (Some(model), Some(first)) = (&counted.model, counted.first_event)
        {
            let made_ms = now.since(first).as_secs_f64() * 1_000.0;
            self.decode_speeds.record(model, counted.output_tokens, made_ms);
        }
        let load = self.server(&counted.server);
        let own = &mut load.own.by_rank[counted.rank];
        assert!(own.requests > 0, "a request ends once");
        own.take_off(&RankInFlight { requests: 1, decode_ms: counted.decode_ms, prefill_ms: 0.0 });
        match ending {
            AttemptOutcome::Answered => {
                load.note_reachable();
                load.note_fault(false, now);
                if plain {
                    let mean = load
                        .mean_call_ms
                        .map_or(took_ms, |before| before + MEAN_WEIGHT * (took_ms - before));
                    load.mean_call_ms = Some(mean);
                }
            }
            AttemptOutcome::Refused => load.note_reachable(),
            AttemptOutcome::Replaced => load.replaced = true,
            AttemptOutcome::Unreachable => load.note_unreachable(now),
            AttemptOutcome::Failed => load.note_fault(true, now),
            AttemptOutcome::Abandoned => {}
        }
    }

    /// Notes that a server could not be reached.
    pub fn mark_unreachable(&mut self, server: &BackendId, now: Moment) {
        self.server(server).note_unreachable(now);
    }

    /// Notes that a server has ended, as this box or another found. If its row stays it is tried again after
    /// [`MAX_PAUSE`]: some go down and up under one identity.
    pub fn mark_ended(&mut self, server: &BackendId, now: Moment) {
        self.server(server).note_ended(now);
    }

    /// Notes what a server told of its load.
    pub fn apply_report(&mut self, server: &BackendId, told: ReportedLoad, now: Moment) {
        let load = self.server(server);
        load.told = Some((told, now, load.own.requests()));
    }

    /// Notes what a peer has under way, at all servers together: what it told before is replaced.
    pub fn apply_peer_report(
        &mut self,
        peer: u32,
        shares: Vec<(BackendId, InFlight)>,
        now: Moment,
    ) {
        let before = self.peers.remove(&peer).map(|(shares, _)| shares);
        for (server, share) in before.unwrap_or_default() {
            self.server(&server).peers.take_off(&share);
        }
        for (server, share) in &shares {
            self.server(server).peers.add(share);
        }
        self.peers.insert(peer, (shares, now));
    }

    /// Forgets what was heard of peers so long ago that it counts no more. Sums are made anew, so
    /// that rounding does not pile up.
    pub fn forget_old(&mut self, now: Moment) {
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_FIGURES_FOR);
        for load in self.servers.values_mut() {
            load.peers = InFlight::default();
        }
        let shares = self.peers.values().flat_map(|(shares, _)| shares);
        for (server, share) in shares {
            let load = self.servers.entry(server.clone()).or_default();
            load.peers.add(share);
        }
    }

    /// Forgets a server, unless a request still counts there.
    pub fn forget(&mut self, server: &BackendId) {
        if self.servers.get(server).is_some_and(|load| load.own.requests() == 0) {
            self.servers.remove(server);
        }
    }

    /// Returns this node's own share at each server where it has requests under way.
    pub fn own_in_flight(&self) -> impl Iterator<Item = (&BackendId, InFlight)> {
        let busy = self.servers.iter().filter(|(_, load)| load.own.requests() > 0);
        busy.map(|(id, load)| (id, load.own))
    }

    fn end_prefill(&mut self, counted: &mut TrackedRequest) {
        let prefill_ms = std::mem::take(&mut counted.prefill_ms);
        let own = &mut self.server(&counted.server.clone()).own.by_rank[counted.rank];
        own.take_off(&RankInFlight { prefill_ms, ..RankInFlight::default() });
    }
}
