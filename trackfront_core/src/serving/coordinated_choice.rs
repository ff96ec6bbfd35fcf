//! Choice among the engines of a shortlist by what their coordinators know.
//!
//! The time to the first event is estimated anew for each engine whose coordinator answered. Beside that time counts the
//! harm that the request would do there: pauses of streams that have a target for their gaps, and an overflow of the KV
//! cache.
//!
//! Figures of another box may be wrong in any way: all costs are finite, and there is always a choice.

use std::time::Duration;

use crate::serving::choice::cost::BATCHED_REQUEST_MS;
use crate::serving::choice::{Candidate, Choice};
use crate::serving::coordinated_load::EngineLoad;
use crate::serving::server_load::PACE_BOUNDS;
use crate::units::millis_to_duration;

/// The share of a stream's gap target that prompts may take up: the rest is for the engine's own steps.
const GAP_MARGIN: f64 = 0.9;

/// The part of the time for prompts that requests of each rank leave to more urgent ones.
const SHARE_LEFT_BY_RANK: f64 = 0.15;

/// The least share of the time for prompts that any rank may use.
const MIN_RANK_SHARE: f64 = 0.3;

/// The unread prompts beside which a request of any size is sent, in milliseconds: it could not get in otherwise.
const NEARLY_IDLE_MS: f64 = 40.0;

/// The share of the KV cache that may be taken up: the lengths of answers are only expected ones.
const KV_MARGIN: f64 = 0.95;

/// How long a coordinator must have counted for its figures to stand alone: most requests that began before have ended
/// by then.
const FULL_COUNT_MS: u32 = 5_000;

/// The interval in which an engine is expected to read as many prompts as are queued there now, in milliseconds.
const PAUSE_INTERVAL_MS: f64 = 1_000.0;

/// The prompts expected to arrive within one interval at an engine that writes no streams with gap targets, as a share of
/// the gap target.
const NEW_PROMPTS_SHARE: f64 = 0.125;

/// The longest estimate and the highest cost, in milliseconds.
const MAX_MS: f64 = 3_600_000.0;

/// What a request needs at any engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestNeeds {
    /// The time for the whole answer after the first event at the usual speed of the model, in milliseconds.
    pub decode_ms: f64,
    /// The tokens of the KV cache that it needs at its end: its prompt and its expected answer.
    pub tokens: u32,
    /// The target for the longest gap between two events of its answer, if there is one.
    pub event_gap_target: Option<Duration>,
    /// Whether pauses of streams count.
    pub bound_pauses: bool,
    /// The rank of the request.
    pub rank: u8,
}

/// The choice among a shortlist.
#[derive(Clone, Debug)]
pub struct CoordinatedChoice {
    /// The server with the lowest cost.
    pub choice: Choice,
    /// Whether the request has to wait before it is sent there: the prompts at the engine would keep its streams waiting for
    /// longer than their targets allow.
    pub must_wait: bool,
}

/// What an engine of the service can bear.
#[derive(Clone, Copy, Debug)]
pub struct EngineLimits {
    /// The requests that it runs at once, if its row does not say so.
    pub slots: u32,
    /// The tokens that fit its KV cache; 0 if that is not known.
    pub kv_tokens: u64,
}

/// Chooses the candidate with the lowest cost, preferring those where the request need not wait. `loads` are the answers of
/// the coordinators, in the order of the candidates. A candidate without an answer counts with its local estimate and cost,
/// and the request need not wait there.
///
/// # Panics
///
/// If there are no candidates.
pub fn choose_coordinated(
    candidates: Vec<Candidate>,
    loads: &[Option<EngineLoad>],
    needs: &RequestNeeds,
    limits: EngineLimits,
) -> CoordinatedChoice {
    let loads = loads.iter().copied().chain(std::iter::repeat(None));
    let costs = candidates.into_iter().zip(loads).map(|(candidate, load)| match load {
        Some(load) => Placement { candidate: &candidate, load, needs, limits }.evaluate(),
        None => {
            let choice = candidate.choice;
            (candidate.cost_ms, CoordinatedChoice { choice, must_wait: false })
        }
    });
    let best = costs.min_by(|(a_cost, a), (b_cost, b)| {
        a.must_wait.cmp(&b.must_wait).then(a_cost.total_cmp(b_cost))
    });
    best.expect("a shortlist has candidates").1
}

/// A request at an engine whose coordinator answered.
struct Placement<'a> {
    candidate: &'a Candidate,
    load: EngineLoad,
    needs: &'a RequestNeeds,
    limits: EngineLimits,
}

impl Placement<'_> {
    /// Returns the cost in milliseconds, and the choice that this would be.
    ///
    /// Until a coordinator has counted for a while its figures are lower bounds, and so are the local ones.
    fn evaluate(&self) -> (f64, CoordinatedChoice) {
        let local = &self.candidate.choice;
        let mut estimate_ms = self.estimate_ms().min(MAX_MS);
        let mut cost_ms = estimate_ms + self.candidate.fixed_cost_ms + self.harm_ms().min(MAX_MS);
        let mut requests = self.load.requests;
        if self.load.counted_ms < FULL_COUNT_MS {
            estimate_ms = estimate_ms.max(local.estimate.as_secs_f64() * 1_000.0);
            cost_ms = cost_ms.max(self.candidate.cost_ms);
            requests = requests.max(local.requests);
        }
        let estimate = millis_to_duration(estimate_ms);
        let choice = Choice { estimate, requests, ..local.clone() };
        (cost_ms, CoordinatedChoice { choice, must_wait: self.must_wait() })
    }

    /// Returns whether the prompts at the engine would take longer with this one than the gap targets there allow.
    ///
    /// An engine that reads all the time serves as many requests with few prompts in its queue as with many, but its streams
    /// stand still for as long as the queue is. Less urgent requests leave a part of the time to more urgent ones.
    fn must_wait(&self) -> bool {
        if !self.needs.bound_pauses {
            return false;
        }
        let there_ms = f64::from(self.load.min_gap_ms);
        let own_target_ms =
            self.needs.event_gap_target.map(|target| target.as_secs_f64() * 1_000.0);
        let target_ms = match own_target_ms {
            Some(own_ms) if there_ms > 0.0 => own_ms.min(there_ms),
            Some(own_ms) => own_ms,
            None if there_ms > 0.0 => there_ms,
            None => return false,
        };
        let rank_share = 1.0 - SHARE_LEFT_BY_RANK * f64::from(self.needs.rank);
        let bound_ms = target_ms * GAP_MARGIN * rank_share.max(MIN_RANK_SHARE);
        let before_ms = f64::from(self.load.prefill_ms);
        before_ms > NEARLY_IDLE_MS && before_ms + self.own_prefill_ms() > bound_ms
    }

    /// Returns the time to the first event.
    fn estimate_ms(&self) -> f64 {
        f64::from(self.load.prefill_ahead_ms)
            + self.own_prefill_ms()
            + f64::from(self.load.requests) * BATCHED_REQUEST_MS
            + self.slot_wait_ms()
    }

    /// Returns the factor on the usual time of the model. What no engine can have counts as the slowest.
    fn slowness(&self) -> f64 {
        let (low, high) = PACE_BOUNDS;
        let slowness = f64::from(self.load.slowness);
        if (low..=high).contains(&slowness) { slowness } else { high }
    }

    fn own_prefill_ms(&self) -> f64 {
        self.candidate.own_prefill_ms * self.slowness()
    }

    /// Returns the wait for a slot, if answers of the requests there last as long as that of this one.
    fn slot_wait_ms(&self) -> f64 {
        let slots = match self.candidate.slots {
            0 => self.limits.slots.max(1),
            slots => slots,
        };
        if self.load.requests < slots {
            return 0.0;
        }
        let over = f64::from(self.load.requests - slots) + 1.0;
        self.needs.decode_ms * self.slowness() * over / f64::from(slots)
    }

    /// Returns what the request costs others and the rest of its own answer.
    fn harm_ms(&self) -> f64 {
        let pauses_ms = match self.needs.bound_pauses {
            true => self.caused_pauses_ms() + self.own_pauses_ms(),
            false => 0.0,
        };
        pauses_ms + self.overflow_ms()
    }

    /// Returns the cost of the pauses that the prompt brings about.
    ///
    /// All streams of an engine stand still until it has read its prompts. If that was within their target without this
    /// prompt and is not with it, each of them is late because of it, which costs the target. Streams that are late anyway
    /// stand still for longer, which costs the time for this prompt, and no more than the target.
    fn caused_pauses_ms(&self) -> f64 {
        let target_ms = f64::from(self.load.min_gap_ms);
        let bound_ms = target_ms * GAP_MARGIN;
        let before_ms = f64::from(self.load.prefill_ms);
        let own_ms = self.own_prefill_ms();
        let streams = f64::from(self.load.paced_streams);
        if before_ms + own_ms <= bound_ms {
            0.0
        } else if before_ms <= bound_ms {
            streams * target_ms
        } else {
            streams * own_ms.min(target_ms)
        }
    }

    /// Returns the cost of the pauses that the answer itself is likely to have, if it has a target for its gaps.
    ///
    /// For each [`PAUSE_INTERVAL_MS`] of the answer, as much is expected to be read as is queued now, and some new prompts;
    /// these keep away from an engine the more paced streams it has. So long answers go where little is read, and where
    /// others are. A pause costs its length, and no more than the target.
    fn own_pauses_ms(&self) -> f64 {
        let Some(target) = self.needs.event_gap_target else {
            return 0.0;
        };
        let target_ms = target.as_secs_f64() * 1_000.0;
        let queued_ms = f64::from(self.load.prefill_ms);
        let streams = f64::from(self.load.paced_streams);
        let new_ms = target_ms * NEW_PROMPTS_SHARE / (streams + 1.0);
        (queued_ms + new_ms).min(target_ms) * self.needs.decode_ms / PAUSE_INTERVAL_MS
    }

    /// Returns the cost of an overflow of the KV cache: a running request is put back, its tokens are read anew, and its
    /// stream is late.
    fn overflow_ms(&self) -> f64 {
        let tokens = f64::from(self.load.tokens) + f64::from(self.needs.tokens);
        let kv_tokens = self.limits.kv_tokens as f64;
        if kv_tokens == 0.0 || tokens <= kv_tokens * KV_MARGIN {
            return 0.0;
        }
        let displaced_tokens = f64::from(self.load.tokens) / f64::from(self.load.requests.max(1));
        let read_ms = displaced_tokens * self.candidate.prefill_ms_per_token * self.slowness();
        read_ms + f64::from(self.load.min_gap_ms)
    }
}
