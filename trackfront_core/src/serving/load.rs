//! The load of all servers as one box knows it.
//!
//! Work is counted as time: the milliseconds that an engine needs for the prefill of a prompt, and those
//! for which a request holds one of its slots, at the speeds measured for the model. A box knows its
//! own requests exactly, its peers' requests from their latest reports, and the total from the load
//! that servers report in their answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{BackendId, ModelName};
use crate::serving::admission::{Admission, AdmissionQuestion, MIN_CHANCE_IN_TIME, TRIAL_WEIGHT};
use crate::serving::decode_speed::DecodeSpeeds;
use crate::serving::forecast::Forecasts;
pub use crate::serving::in_flight::{InFlight, RANKS, RankInFlight};
pub use crate::serving::server_load::{ReportedLoad, ServerLoad};
use crate::units::Moment;

/// How long a peer's report of its requests is valid.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_500);

/// The prefill time of one token until the first measurements replace it: ten tokens in a
/// millisecond.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.1;

/// The bounds of a measured prefill time of one token.
const PREFILL_MS_PER_TOKEN_BOUNDS: (f64, f64) = (0.01, 0.4);

/// The weight of one measurement in a running mean.
const MEAN_WEIGHT: f64 = 0.08;

/// The bounds of the ratio of one measurement to the expected time.
const RATIO_BOUNDS: (f64, f64) = (0.3, 3.0);

/// The work that a request means for an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt that need prefill.
    pub prompt_tokens: u32,
    /// The expected tokens of the answer.
    pub output_tokens: u32,
    /// The urgency; 0 is the most urgent.
    pub rank: u8,
}

/// The outcome of one attempt of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Answered,
    /// The server reported that it did not run the request.
    Refused,
    /// Another incarnation of the server answered: the intended one has ended.
    Replaced,
    /// The server could not be reached.
    Unreachable,
    /// The server broke off its answer, timed out or answered with an error.
    Failed,
    /// The client disconnected, or the request's deadline passed.
    Abandoned,
}

/// A request that is counted in flight at a server until it is passed to [`LoadTracker::end`].
#[derive(Debug)]
pub struct TrackedRequest {
    server: BackendId,
    model: Option<ModelName>,
    rank: usize,
    prefill_ms: f64,
    decode_ms: f64,
    output_tokens: u32,
    /// The expected time of the prefill, of the prefill ahead of it and of the wait for a slot.
    expected_prefill_ms: f64,
    /// The time to the first event as estimated when the server was chosen, which considers more.
    expected_ms: f64,
    /// The number of requests for which its answer counts.
    weight: f64,
    /// Whether a slot was free, so that the time to the first event is the prefill time.
    had_slot: bool,
    began: Moment,
    first_event: Option<Moment>,
}

impl TrackedRequest {
    /// Returns the server that the request counts at.
    pub fn server(&self) -> &BackendId {
        &self.server
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Sets the time to the first event that was estimated when the server was chosen, and the number of requests for
    /// which the answer counts.
    pub fn set_estimate(&mut self, estimate: Duration, weight: f64) {
        self.expected_ms = as_ms(estimate);
        self.weight = weight;
    }
}

/// Tracks the load of all servers and the measured speed of models.
#[derive(Debug, Default)]
pub struct LoadTracker {
    servers: HashMap<BackendId, ServerLoad>,
    /// The latest report of each peer, and when it arrived.
    peers: HashMap<u32, (Vec<(BackendId, InFlight)>, Moment)>,
    prefill_ms_per_token: HashMap<ModelName, f64>,
    decode_speeds: DecodeSpeeds,
    forecasts: Forecasts,
}

impl LoadTracker {
    /// Returns whether another incarnation of a server has replaced it.
    pub fn is_replaced(&self, id: &BackendId) -> bool {
        self.servers.get(id).is_some_and(ServerLoad::is_replaced)
    }

    /// Returns whether a server gets no requests for now because connections to it failed.
    pub fn is_paused(&self, id: &BackendId, now: Moment) -> bool {
        self.servers.get(id).is_some_and(|load| load.is_paused(now))
    }

    /// Returns the load of a server, idle if nothing is known.
    pub fn server(&mut self, id: &BackendId) -> &mut ServerLoad {
        if !self.servers.contains_key(id) {
            self.servers.insert(id.clone(), ServerLoad::default());
        }
        self.servers.get_mut(id).expect("the entry was just inserted")
    }

    /// Returns the prefill time of one token for `model`, in milliseconds, or the mean over the measured
    /// models if this one was not measured yet.
    pub fn prefill_ms_per_token(&self, model: &ModelName) -> f64 {
        let measured = self.prefill_ms_per_token.get(model).copied();
        measured.unwrap_or_else(|| self.mean_prefill_ms_per_token())
    }

    fn mean_prefill_ms_per_token(&self) -> f64 {
        match self.prefill_ms_per_token.len() {
            0 => DEFAULT_PREFILL_MS_PER_TOKEN,
            models => self.prefill_ms_per_token.values().sum::<f64>() / models as f64,
        }
    }

    /// Returns the decode time of an answer of `tokens` tokens, in milliseconds.
    pub fn decode_ms(&self, model: &ModelName, tokens: u32) -> f64 {
        self.decode_speeds.token_ms(model) * f64::from(tokens)
    }

    /// Decides whether a request is admitted, by the chance of an answer in time.
    pub fn admit(&mut self, question: &AdmissionQuestion<'_>, now: Moment) -> Admission {
        let forecast = self.forecasts.of(question.of_model, question.has_slot);
        let (estimate, limit) = (as_ms(question.estimate), as_ms(question.limit));
        let chance = forecast.within(estimate, limit, now);
        if chance.probability >= MIN_CHANCE_IN_TIME {
            return Admission { is_likely: true, is_admitted: true, answer_weight: 1.0, chance };
        }
        let server = self.server(question.server);
        let may_be_trial =
            question.may_be_trial && question.rests_on_old_evidence(server.own.requests());
        let is_admitted = may_be_trial && server.trials.take(question.boxes, now);
        Admission { is_likely: false, is_admitted, answer_weight: TRIAL_WEIGHT, chance }
    }

    /// Counts a request in flight at a server that runs `slots` requests at once.
    pub fn begin(
        &mut self,
        server: &BackendId,
        slots: u32,
        model: Option<&ModelName>,
        work: Work,
        now: Moment,
    ) -> TrackedRequest {
        let ms_per_token = model.map_or(0.0, |model| self.prefill_ms_per_token(model));
        let prefill_ms = f64::from(work.prompt_tokens) * ms_per_token;
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
            weight: 1.0,
            had_slot: total.requests() < slots,
            began: now,
            first_event: None,
        }
    }

    /// Records the first event of an answer, which ends the prefill.
    pub fn first_event(&mut self, tracked: &mut TrackedRequest, now: Moment) {
        self.end_prefill(tracked);
        tracked.first_event = Some(now);
        self.server(&tracked.server.clone()).mark_reachable();
        let took_ms = now.since(tracked.began).as_secs_f64() * 1_000.0;
        self.forecasts.of(true, tracked.had_slot).record(
            tracked.expected_ms,
            took_ms,
            tracked.weight,
            now,
        );
        // With a wait for a slot, the time to the first event says nothing about the prefill speed.
        let Some(model) = tracked.model.as_ref().filter(|_| tracked.had_slot) else {
            return;
        };
        let (low, high) = RATIO_BOUNDS;
        let ratio = (took_ms / tracked.expected_prefill_ms.max(1.0)).clamp(low, high);
        let ms_per_token =
            self.prefill_ms_per_token(model) * (1.0 + mean_weight(tracked.weight) * (ratio - 1.0));
        let (low, high) = PREFILL_MS_PER_TOKEN_BOUNDS;
        self.prefill_ms_per_token.insert(model.clone(), ms_per_token.clamp(low, high));
    }

    /// Removes a request from a server's load and records its outcome.
    pub fn end(&mut self, mut tracked: TrackedRequest, outcome: AttemptOutcome, now: Moment) {
        self.end_prefill(&mut tracked);
        let took_ms = now.since(tracked.began).as_secs_f64() * 1_000.0;
        let plain = tracked.model.is_none();
        if plain && outcome == AttemptOutcome::Answered {
            self.forecasts.of(false, tracked.had_slot).record(
                tracked.expected_ms,
                took_ms,
                tracked.weight,
                now,
            );
        }
        if outcome == AttemptOutcome::Answered
            && let (Some(model), Some(first)) = (&tracked.model, tracked.first_event)
        {
            let decoded_ms = now.since(first).as_secs_f64() * 1_000.0;
            self.decode_speeds.record(model, tracked.output_tokens, decoded_ms);
        }
        let load = self.server(&tracked.server);
        let own = &mut load.own.by_rank[tracked.rank];
        assert!(own.requests > 0, "a request ends once");
        own.subtract(&RankInFlight { requests: 1, decode_ms: tracked.decode_ms, prefill_ms: 0.0 });
        match outcome {
            AttemptOutcome::Answered => {
                load.mark_reachable();
                load.record_result(false, now);
                if plain {
                    let weight = mean_weight(tracked.weight);
                    let mean = load
                        .mean_call_ms
                        .map_or(took_ms, |before| before + weight * (took_ms - before));
                    load.mean_call_ms = Some(mean);
                }
            }
            AttemptOutcome::Refused => load.mark_reachable(),
            AttemptOutcome::Replaced => load.replaced = true,
            AttemptOutcome::Unreachable => load.mark_unreachable(now),
            AttemptOutcome::Failed => load.record_result(true, now),
            AttemptOutcome::Abandoned => {}
        }
    }

    /// Records that a server could not be reached.
    pub fn mark_unreachable(&mut self, server: &BackendId, now: Moment) {
        self.server(server).mark_unreachable(now);
    }

    /// Records that a connection to a server opened.
    pub fn mark_reachable(&mut self, server: &BackendId) {
        self.server(server).mark_reachable();
    }

    /// Records that this box or another found that a server has ended. While its row stays it is tried
    /// again after [`MAX_BACKOFF`], because some servers restart under the same identity.
    pub fn mark_ended(&mut self, server: &BackendId, now: Moment) {
        self.server(server).mark_ended(now);
    }

    /// Forgets that servers failed since `since`: the fault lay with this box's own links.
    pub fn forget_failures_since(&mut self, since: Moment) {
        for load in self.servers.values_mut() {
            load.forget_failures_since(since);
        }
    }

    /// Applies a server's report of its load.
    pub fn apply_report(&mut self, server: &BackendId, reported: ReportedLoad, now: Moment) {
        self.server(server).apply_report(reported, now);
    }

    /// Applies a peer's report of its requests at all servers, which replaces its previous one.
    pub fn apply_peer_report(
        &mut self,
        peer: u32,
        report: Vec<(BackendId, InFlight)>,
        now: Moment,
    ) {
        let previous = self.peers.remove(&peer).map(|(report, _)| report);
        for (server, in_flight) in previous.unwrap_or_default() {
            self.server(&server).peers.subtract(&in_flight);
        }
        for (server, in_flight) in &report {
            self.server(server).peers.add(in_flight);
        }
        self.peers.insert(peer, (report, now));
    }

    /// Drops expired reports of peers. Sums are computed anew, so that rounding errors do not add up.
    pub fn forget_old(&mut self, now: Moment) {
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_REPORT_TTL);
        for load in self.servers.values_mut() {
            load.peers = InFlight::default();
        }
        let reports = self.peers.values().flat_map(|(report, _)| report);
        for (server, in_flight) in reports {
            let load = self.servers.entry(server.clone()).or_default();
            load.peers.add(in_flight);
        }
    }

    /// Drops a server, unless this box has requests in flight there.
    pub fn forget(&mut self, server: &BackendId) {
        if self.servers.get(server).is_some_and(|load| load.own.requests() == 0) {
            self.servers.remove(server);
        }
    }

    /// Returns this box's requests in flight, by server.
    pub fn own_in_flight(&self) -> impl Iterator<Item = (&BackendId, InFlight)> {
        let busy = self.servers.iter().filter(|(_, load)| load.own.requests() > 0);
        busy.map(|(id, load)| (id, load.own))
    }

    fn end_prefill(&mut self, tracked: &mut TrackedRequest) {
        let prefill_ms = std::mem::take(&mut tracked.prefill_ms);
        let own = &mut self.server(&tracked.server.clone()).own.by_rank[tracked.rank];
        own.subtract(&RankInFlight { prefill_ms, ..RankInFlight::default() });
    }
}

fn as_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns the weight in a running mean of a measurement that counts as so many.
fn mean_weight(measurements: f64) -> f64 {
    1.0 - (1.0 - MEAN_WEIGHT).powf(measurements)
}
