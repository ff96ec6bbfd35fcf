//! Which server gets a request.
//!
//! The time until the first event is estimated for each server that can answer: what has to be
//! read before, the prompt's own tokens that are not kept there, the wait for a slot, the way to
//! another zone, and the risk that a server which failed lately fails again. The shortest time wins.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::{BackendId, HallName};
use crate::serving::affinity::{Prefix, PrefixIndex};
use crate::serving::cold::ColdState;
use crate::serving::directory::KnownServer;
use crate::serving::halls::AllowedHalls;
use crate::serving::load::{LoadTracker, RANKS};
use crate::serving::request::{ModelRef, RequestInfo};
use crate::units::Moment;

/// What the way to another zone costs, in milliseconds; it stands for the bytes as well.
const OTHER_ZONE_MS: f64 = 4.0;

/// What a new connection costs, in milliseconds; it stands for the server's work as well.
const NEW_CONNECTION_MS: f64 = 6.0;

/// What each request at an engine costs a new one, in milliseconds: steps grow with the batch.
const BATCH_MATE_MS: f64 = 1.5;

/// What a request that waits at a server costs a new one, in milliseconds.
const WAITING_MS: f64 = 25.0;

/// What a server that fails all requests seems to cost more, in milliseconds.
const FAULT_MS: f64 = 1_500.0;

/// What a server that is cold costs more: others go first while they are not full.
const COLD_MS: f64 = 100.0;

/// What a server that drains costs more: it is taken only where no other can answer.
const DRAINING_MS: f64 = 100_000.0;

/// What a server that was just unreachable costs more.
const PAUSED_MS: f64 = 1_000_000.0;

/// The last rank.
const LEAST_URGENT: u8 = RANKS as u8 - 1;

/// What is asked of the servers.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The request.
    pub info: &'a RequestInfo,
    /// The prefixes of its prompt.
    pub prefixes: &'a [Prefix],
    /// The rank of its route.
    pub rank: u8,
    /// Servers that it was sent to already.
    pub tried: &'a [BackendId],
    /// The node's zone.
    pub hall: &'a HallName,
    /// Where it may be served.
    pub places: AllowedHalls<'a>,
    /// How long after the node learned that it drains a server may still be sent what no other can answer.
    pub drain_grace: Duration,
    /// How long after it may have begun to drain at the latest.
    pub drain_end: Duration,
    /// The present moment.
    pub now: Moment,
}

/// The server that gets a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub server: Arc<KnownServer>,
    /// The tokens of the prompt that it likely keeps.
    pub cached_tokens: u32,
    /// The estimated time until the first event.
    pub estimate: Duration,
    /// Requests waiting there by its own last word.
    pub waiting: u32,
    /// Requests under way there.
    pub requests: u32,
    /// When it was chosen, by what was known then.
    pub at: Moment,
}

/// Why no server gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// The service has no server that takes requests.
    NoServer,
    /// It has some, none of them where the request may be served.
    NotAllowed,
    /// No engine holds the model.
    NoModel,
    /// Engines hold the model, but none the adapter.
    NoAdapter,
    /// Servers offer what is asked for, but none may get anything more before this moment.
    Unavailable(Unavailable),
    /// Every server that offers what is asked for got the request already.
    AllTried,
}

/// Why a server may get no request now, though it offers what is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableCause {
    /// It is cold, and bears no more.
    Cold,
    /// It named a limit, which others use.
    Limited,
    /// It asked this box to stay away for a while.
    BacksOff,
}

impl UnavailableCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            UnavailableCause::Cold => "the servers that offer it are cold",
            UnavailableCause::Limited => "the servers that offer it take no more a second",
            UnavailableCause::BacksOff => "the servers that offer it asked this box to stay away",
        }
    }
}

/// Until when a server may get no request, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// Until when.
    pub until: Moment,
    /// Why.
    pub cause: UnavailableCause,
}

impl NoChoice {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            NoChoice::NoServer => "no server takes requests",
            NoChoice::NotAllowed => "no server stands where it may be served",
            NoChoice::NoModel => "no engine holds the model",
            NoChoice::NoAdapter => "no engine holds the adapter",
            NoChoice::Unavailable(unavailable) => unavailable.cause.name(),
            NoChoice::AllTried => "every server that offers it was asked",
        }
    }
}

/// What is known of servers beside their rows.
pub trait ServerView {
    /// Returns whether `item` is about to leave `server`, which then gets no new requests for it.
    fn is_withdrawn(&self, server: &BackendId, item: &ModelRef) -> bool;

    /// Returns whether `item` was loaded on `server` though its row does not say so yet.
    fn is_added(&self, server: &BackendId, item: &ModelRef) -> bool;

    /// Returns whether there is an unused connection to `address`.
    fn is_connected(&self, address: &str) -> bool;

    /// Returns whether `server` is cold, and whether this box may send to it all the same.
    fn cold_state(&self, server: &KnownServer) -> ColdState;

    /// Returns since when it has been known that `server` leaves by its own word in an answer.
    fn leaving_since(&self, server: &BackendId) -> Option<Moment>;

    /// Returns until when `server` may get nothing by its own word.
    fn unavailable(&self, server: &BackendId) -> Option<Unavailable>;
}

/// Chooses the server with the shortest estimated time among `servers`.
pub fn choose<'a>(
    query: &Query<'_>,
    servers: impl IntoIterator<Item = &'a Arc<KnownServer>>,
    loads: &mut LoadTracker,
    memory: &PrefixIndex,
    view: &dyn ServerView,
) -> Result<Choice, NoChoice> {
    let mut best: Option<(f64, Choice)> = None;
    let mut reason = NoChoice::NoServer;
    for server in servers {
        let id = &server.entry.id;
        let leaving = view.leaving_since(id);
        if loads.is_replaced(id) || !takes_requests(server, leaving, query) {
            continue;
        }
        if !query.places.allow(&server.entry.hall) {
            reason = closer_reason(reason, NoChoice::NotAllowed);
            continue;
        }
        let cold_state = view.cold_state(server);
        let lack = match holds(server, query.info.model.as_ref(), view) {
            Ok(()) if query.tried.contains(id) => Some(NoChoice::AllTried),
            Ok(()) => match cold_state {
                ColdState::Blocked(until) => {
                    Some(Unavailable { until, cause: UnavailableCause::Cold })
                }
                ColdState::Warm | ColdState::Admitting => view.unavailable(id),
            }
            .map(NoChoice::Unavailable),
            Err(lack) => Some(lack),
        };
        if let Some(lack) = lack {
            reason = closer_reason(reason, lack);
            continue;
        }
        let (mut cost, choice) = estimate(query, server, loads, memory, view);
        if cold_state == ColdState::Admitting {
            cost += COLD_MS;
        }
        if leaving.is_some() || !server.is_ready() {
            cost += DRAINING_MS;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice).ok_or(reason)
}

/// Returns whether a server is sent requests, by its row and by its own word that it leaves, whichever came first.
fn takes_requests(server: &KnownServer, leaving: Option<Moment>, query: &Query<'_>) -> bool {
    let Some(since) = server.draining_since.into_iter().chain(leaving).min() else {
        return true;
    };
    let was_ready = server.was_ready || server.draining_since.is_none();
    let may = server.may_drain_since.unwrap_or(since).min(since);
    was_ready
        && query.now.since(since) < query.drain_grace
        && query.now.since(may) < query.drain_end
}

/// The lack that is nearest to an answer explains why there is none.
fn closer_reason(a: NoChoice, b: NoChoice) -> NoChoice {
    let nearness = |lack| match lack {
        NoChoice::NoServer => 0,
        NoChoice::NotAllowed => 1,
        NoChoice::NoModel => 2,
        NoChoice::NoAdapter => 3,
        NoChoice::Unavailable(_) => 4,
        NoChoice::AllTried => 5,
    };
    match (a, b) {
        (NoChoice::Unavailable(first), NoChoice::Unavailable(other))
            if other.until < first.until =>
        {
            b
        }
        _ if nearness(b) > nearness(a) => b,
        _ => a,
    }
}

fn holds(
    server: &KnownServer,
    wanted: Option<&ModelRef>,
    view: &dyn ServerView,
) -> Result<(), NoChoice> {
    let Some(wanted) = wanted else {
        return Ok(());
    };
    let id = &server.entry.id;
    let model = ModelRef { model: wanted.model.clone(), adapter: None };
    let resident = server.entry.models.get(&wanted.model);
    let has_model = resident.is_some() || view.is_added(id, &model);
    if !has_model || view.is_withdrawn(id, &model) {
        return Err(NoChoice::NoModel);
    }
    let Some(adapter) = &wanted.adapter else {
        return Ok(());
    };
    let listed = resident.is_some_and(|resident| resident.adapters.contains(adapter));
    let has_adapter = listed || view.is_added(id, wanted);
    match has_adapter && !view.is_withdrawn(id, wanted) {
        true => Ok(()),
        false => Err(NoChoice::NoAdapter),
    }
}

fn estimate(
    query: &Query<'_>,
    server: &Arc<KnownServer>,
    loads: &mut LoadTracker,
    memory: &PrefixIndex,
    view: &dyn ServerView,
) -> (f64, Choice) {
    let now = query.now;
    let id = &server.entry.id;
    let cached_tokens = memory.cached_tokens(query.prefixes, id, now);
    let token_cost = query.info.model.as_ref().map(|item| loads.prefill_ms_per_token(&item.model));
    let load = loads.server(id);
    let total = load.total(now);
    let waiting = load.waiting(now);
    let pace = load.pace(now);
    let slots = server.entry.slots.max(1);
    let requests = total.requests();
    let slot_wait_ms = total.slot_wait_ms(query.rank, slots);
    let mut estimate = match token_cost {
        Some(cost) => {
            let unread = f64::from(query.info.work(cached_tokens, query.rank).prompt_tokens);
            total.prefill_ahead_ms(query.rank)
                + unread * cost * pace
                + f64::from(requests) * BATCH_MATE_MS
                + slot_wait_ms
        }
        None => load.mean_call_ms() * pace * f64::from(requests) / f64::from(slots) / 4.0,
    };
    if token_cost.is_none() && requests >= slots {
        let over = f64::from(requests - slots + 1) / f64::from(slots);
        estimate += load.mean_call_ms() * pace * over + WAITING_MS;
    }
    estimate += f64::from(waiting) * WAITING_MS;
    // What others wait because it takes a slot before them counts like its own wait. The time of a plain
    // call itself is expected, but is no reason to go elsewhere: it differs by chance.
    let own_call_ms = if token_cost.is_none() { load.mean_call_ms() * pace } else { 0.0 };
    let mut cost = estimate + total.slot_wait_ms(LEAST_URGENT, slots) - slot_wait_ms;
    if token_cost.is_none() {
        // What the server itself says of its machine is no chance.
        cost += load.mean_call_ms() * (pace - 1.0);
    }
    if server.entry.hall != *query.hall {
        cost += OTHER_ZONE_MS;
    }
    if !view.is_connected(&server.entry.address) {
        cost += NEW_CONNECTION_MS;
    }
    cost += load.failure_rate(now) * FAULT_MS;
    if load.is_paused(now) {
        cost += PAUSED_MS;
    }
    let choice = Choice {
        server: server.clone(),
        cached_tokens,
        estimate: Duration::from_secs_f64((estimate + own_call_ms) / 1_000.0),
        waiting,
        requests,
        at: now,
    };
    (cost, choice)
}
