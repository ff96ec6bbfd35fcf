//! The cost of a server for a request, by what this box itself knows.

use std::sync::Arc;

use crate::serving::affinity::PrefixIndex;
use crate::serving::directory::KnownServer;
use crate::serving::in_flight::LEAST_URGENT;
use crate::serving::load::{InFlight, LoadTracker, ServerLoad};
use crate::units::{Moment, millis_to_duration};

use super::eligibility::Conditions;
use super::{Candidate, Choice, Query};

/// The cost of sending to another hall, in milliseconds; includes that of the traffic between halls.
const OTHER_HALL_COST_MS: f64 = 4.0;

/// The cost of a new connection, in milliseconds; includes that of the server's work for it.
const NEW_CONNECTION_COST_MS: f64 = 6.0;

/// The delay that each request in an engine's batch adds for a new one, in milliseconds: decode steps
/// take longer with a larger batch.
pub(in crate::serving) const BATCHED_REQUEST_MS: f64 = 1.5;

/// The delay that each request queued at a server adds for a new one, in milliseconds.
const QUEUED_REQUEST_MS: f64 = 25.0;

/// The extra cost of a server that fails all requests, in milliseconds; proportional to its failure rate.
const FAILURE_COST_MS: f64 = 1_500.0;

/// The extra cost of a cold server, in milliseconds: warm servers are preferred until they are full.
const COLD_COST_MS: f64 = 100.0;

/// The extra cost of a draining server, in milliseconds: it is chosen only if no other can answer.
const DRAINING_COST_MS: f64 = 100_000.0;

/// The extra cost of a server that was just unreachable, in milliseconds.
const PAUSED_COST_MS: f64 = 1_000_000.0;

/// What a request costs at one server.
#[derive(Debug)]
pub(super) struct Evaluation<'a> {
    /// The server.
    pub server: &'a Arc<KnownServer>,
    /// The cost by which servers are compared, in milliseconds.
    pub cost_ms: f64,
    /// Whether it drains or was just unreachable.
    pub is_last_resort: bool,
    fixed_cost_ms: f64,
    estimate_ms: f64,
    own_prefill_ms: f64,
    prefill_ms_per_token: f64,
    cached_tokens: u32,
    waiting: u32,
    requests: u32,
}

impl<'a> Evaluation<'a> {
    /// Estimates the time to the first event at `server`, and the cost of sending the request there.
    pub fn new(
        query: &Query<'_>,
        server: &'a Arc<KnownServer>,
        conditions: Conditions,
        loads: &mut LoadTracker,
        cached_prefixes: &PrefixIndex,
    ) -> Evaluation<'a> {
        let now = query.now;
        let id = &server.entry.id;
        let model = query.info.model.as_ref().map(|item| &item.model);
        let prefill_ms_per_token = model.map(|model| loads.prefill_ms_per_token(model));
        let cached_tokens = cached_prefixes.cached_tokens(query.prefixes, id, now);
        let uncached = query.info.work(cached_tokens, query.rank).prompt_tokens;
        let own_prefill_ms = prefill_ms_per_token.map(|ms| f64::from(uncached) * ms);
        let load = loads.server(id);
        let total = load.total(now);
        let slots = server.entry.slots.max(1);
        let slot_wait_ms = total.slot_wait_ms(query.rank, slots);
        let time = match own_prefill_ms {
            Some(own_ms) => engine_time(load, &total, slot_wait_ms, own_ms, query),
            None => plain_time(load, total.requests(), slots, now),
        };
        // The wait that the request causes for less urgent ones costs as much as its own.
        let caused_wait_ms = total.slot_wait_ms(LEAST_URGENT, slots) - slot_wait_ms;
        let fixed_cost_ms = fixed_cost_ms(query, server, load, conditions);
        Evaluation {
            server,
            cost_ms: time.cost_ms + caused_wait_ms + fixed_cost_ms,
            is_last_resort: conditions.is_draining || load.is_paused(now),
            fixed_cost_ms,
            estimate_ms: time.estimate_ms,
            own_prefill_ms: own_prefill_ms.unwrap_or(0.0),
            prefill_ms_per_token: prefill_ms_per_token.unwrap_or(0.0),
            cached_tokens,
            waiting: load.waiting(now),
            requests: total.requests(),
        }
    }

    /// Returns the choice of this server.
    pub fn choice(&self, now: Moment) -> Choice {
        Choice {
            server: self.server.clone(),
            cached_tokens: self.cached_tokens,
            estimate: millis_to_duration(self.estimate_ms),
            waiting: self.waiting,
            requests: self.requests,
            at: now,
        }
    }

    /// Returns the candidate for a shortlist.
    pub fn candidate(&self, now: Moment) -> Candidate {
        Candidate {
            choice: self.choice(now),
            cost_ms: self.cost_ms,
            fixed_cost_ms: self.fixed_cost_ms,
            own_prefill_ms: self.own_prefill_ms,
            prefill_ms_per_token: self.prefill_ms_per_token,
            slots: self.server.entry.slots,
        }
    }
}

/// The time to the first event at a server.
struct ExpectedTime {
    estimate_ms: f64,
    /// The part of the estimate by which servers are compared.
    cost_ms: f64,
}

/// Returns the time to the first event of an engine.
fn engine_time(
    load: &ServerLoad,
    total: &InFlight,
    slot_wait_ms: f64,
    own_prefill_ms: f64,
    query: &Query<'_>,
) -> ExpectedTime {
    let estimate_ms = total.prefill_ahead_ms(query.rank)
        + own_prefill_ms * load.pace(query.now)
        + f64::from(total.requests()) * BATCHED_REQUEST_MS
        + slot_wait_ms
        + f64::from(load.waiting(query.now)) * QUEUED_REQUEST_MS;
    ExpectedTime { estimate_ms, cost_ms: estimate_ms }
}

/// Returns the time to the answer of a server of a plain service.
fn plain_time(load: &ServerLoad, requests: u32, slots: u32, now: Moment) -> ExpectedTime {
    let call_ms = load.mean_call_ms() * load.pace(now);
    let mut wait_ms = call_ms * f64::from(requests) / f64::from(slots) / 4.0;
    if requests >= slots {
        let over = f64::from(requests - slots + 1) / f64::from(slots);
        wait_ms += call_ms * over + QUEUED_REQUEST_MS;
    }
    wait_ms += f64::from(load.waiting(now)) * QUEUED_REQUEST_MS;
    // The duration of the call itself differs between servers by chance, so it is not part of the cost, but a
    // reported pace is a real difference.
    ExpectedTime {
        estimate_ms: wait_ms + call_ms,
        cost_ms: wait_ms + load.mean_call_ms() * (load.pace(now) - 1.0),
    }
}

/// Returns the part of the cost that does not depend on the load, in milliseconds.
fn fixed_cost_ms(
    query: &Query<'_>,
    server: &KnownServer,
    load: &ServerLoad,
    conditions: Conditions,
) -> f64 {
    let mut cost = load.failure_rate(query.now) * FAILURE_COST_MS;
    if server.entry.hall != *query.hall {
        cost += OTHER_HALL_COST_MS;
    }
    if !conditions.is_connected {
        cost += NEW_CONNECTION_COST_MS;
    }
    if load.is_paused(query.now) {
        cost += PAUSED_COST_MS;
    }
    if conditions.is_cold {
        cost += COLD_COST_MS;
    }
    if conditions.is_draining {
        cost += DRAINING_COST_MS;
    }
    cost
}
