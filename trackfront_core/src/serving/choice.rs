//! Choice of the server for a request.
//!
//! The time to the first event is estimated for each server that can answer: the prefill ahead of the
//! request, the prefill of its own uncached tokens, the wait for a slot, the way to another hall, and
//! the risk that a server which failed recently fails again. The server with the lowest cost is chosen.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::{BackendId, HallName};
use crate::serving::affinity::{Prefix, PrefixIndex};
use crate::serving::cold::ColdState;
use crate::serving::directory::KnownServer;
use crate::serving::halls::AllowedHalls;
use crate::serving::in_flight::LEAST_URGENT;
use crate::serving::load::LoadTracker;
use crate::serving::request::{ModelRef, RequestInfo};
use crate::serving::stream_origins::SoftwareId;
use crate::units::Moment;

/// The cost of sending to another hall, in milliseconds; includes that of the traffic between halls.
const OTHER_HALL_COST_MS: f64 = 4.0;

/// The cost of a new connection, in milliseconds; includes that of the server's work for it.
const NEW_CONNECTION_COST_MS: f64 = 6.0;

/// The delay that each request in an engine's batch adds for a new one, in milliseconds: decode steps
/// take longer with a larger batch.
const BATCHED_REQUEST_MS: f64 = 1.5;

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

/// A request and the conditions under which its server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The request.
    pub info: &'a RequestInfo,
    /// The prefixes of its prompt.
    pub prefixes: &'a [Prefix],
    /// The rank of the request: that of its account, or else of its route.
    pub rank: u8,
    /// Servers that already got the request.
    pub tried: &'a [BackendId],
    /// The software that must answer, because it began the stream that the request continues.
    pub software: Option<SoftwareId>,
    /// The hall of this box.
    pub hall: &'a HallName,
    /// The halls and regions where the request may be served.
    pub allowed_halls: AllowedHalls<'a>,
    /// How long a server that drains may still get requests that no other can answer, from the moment at
    /// which this box learned of it.
    pub drain_grace: Duration,
    /// The same, from the earliest moment at which the server may have begun to drain.
    pub drain_end: Duration,
    /// The current time.
    pub now: Moment,
}

/// The server chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub server: Arc<KnownServer>,
    /// The tokens of the prompt that are probably in its prefix cache.
    pub cached_tokens: u32,
    /// The estimated time to the first event.
    pub estimate: Duration,
    /// The queue length that it reported last.
    pub waiting: u32,
    /// The known requests in flight there.
    pub requests: u32,
    /// When it was chosen.
    pub at: Moment,
}

/// The reason why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// The service has no server that accepts requests.
    NoServer,
    /// None of its servers is in a hall and region where the request may be served.
    NotAllowed,
    /// None of them has the version of the software that began the stream.
    NoSoftware,
    /// No engine has the model loaded.
    NoModel,
    /// Engines have the model loaded, but none has the adapter.
    NoAdapter,
    /// Servers have the requested item, but none may get another request now.
    Unavailable(Unavailable),
    /// Every server that has the requested item already got the request.
    AllTried,
}

/// The cause for which a server with the requested item may get no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableCause {
    /// It is cold, and this box has used up its part of the rate.
    Cold,
    /// It named a limit, and no permit is available.
    Limited,
    /// It asked this box to back off.
    BacksOff,
    /// It is brittle and has no room.
    Full,
}

impl UnavailableCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            UnavailableCause::Cold => "the servers that offer it are cold",
            UnavailableCause::Limited => "the servers that offer it take no more a second",
            UnavailableCause::Full => "the servers that offer it are brittle and have no room",
            UnavailableCause::BacksOff => "the servers that offer it asked this box to stay away",
        }
    }
}

/// A server that may get no request for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// When it may get requests again.
    pub until: Moment,
    /// The cause.
    pub cause: UnavailableCause,
}

impl NoChoice {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            NoChoice::NoServer => "no server takes requests",
            NoChoice::NotAllowed => "no server stands where it may be served",
            NoChoice::NoSoftware => "no engine has the software that began the stream",
            NoChoice::NoModel => "no engine holds the model",
            NoChoice::NoAdapter => "no engine holds the adapter",
            NoChoice::Unavailable(unavailable) => unavailable.cause.name(),
            NoChoice::AllTried => "every server that offers it was asked",
        }
    }
}

/// State of servers that is not in their rows.
pub trait ServerView {
    /// Returns whether `item` is about to be unloaded from `server`, so that new requests for it go elsewhere.
    fn is_withdrawn(&self, server: &BackendId, item: &ModelRef) -> bool;

    /// Returns whether `item` was loaded on `server` but is not in its row yet.
    fn is_added(&self, server: &BackendId, item: &ModelRef) -> bool;

    /// Returns whether there is an idle connection to `address`.
    fn is_connected(&self, address: &str) -> bool;

    /// Returns whether `server` is cold, and whether this box may send to it nevertheless.
    fn cold_state(&self, server: &KnownServer) -> ColdState;

    /// Returns when this box learned that `server` leaves, if the server announced that in an answer.
    fn leaving_since(&self, server: &BackendId) -> Option<Moment>;

    /// Returns whether a notice of `server` forbids requests to it now, and until when.
    fn unavailable(&self, server: &KnownServer) -> Option<Unavailable>;
}

/// Chooses the server with the lowest cost among `servers`.
pub fn choose<'a>(
    query: &Query<'_>,
    servers: impl IntoIterator<Item = &'a Arc<KnownServer>>,
    loads: &mut LoadTracker,
    cached_prefixes: &PrefixIndex,
    view: &dyn ServerView,
) -> Result<Choice, NoChoice> {
    let mut best: Option<(f64, Choice)> = None;
    let mut reason = NoChoice::NoServer;
    for server in servers {
        let id = &server.entry.id;
        let leaving = view.leaving_since(id);
        if loads.is_replaced(id) || !accepts_requests(server, leaving, query) {
            continue;
        }
        if !query.allowed_halls.allow(&server.entry.hall) {
            reason = closer_reason(reason, NoChoice::NotAllowed);
            continue;
        }
        if query.software.is_some_and(|software| software != server.entry.software_id()) {
            reason = closer_reason(reason, NoChoice::NoSoftware);
            continue;
        }
        let cold_state = view.cold_state(server);
        let obstacle = match check_loaded(server, query.info.model.as_ref(), view) {
            Ok(()) if query.tried.contains(id) => Some(NoChoice::AllTried),
            Ok(()) => match cold_state {
                ColdState::Blocked(until) => {
                    Some(Unavailable { until, cause: UnavailableCause::Cold })
                }
                ColdState::Warm | ColdState::Admitting => view.unavailable(server),
            }
            .map(NoChoice::Unavailable),
            Err(missing) => Some(missing),
        };
        if let Some(obstacle) = obstacle {
            reason = closer_reason(reason, obstacle);
            continue;
        }
        let (mut cost, choice) = evaluate(query, server, loads, cached_prefixes, view);
        if cold_state == ColdState::Admitting {
            cost += COLD_COST_MS;
        }
        if leaving.is_some() || !server.is_ready() {
            cost += DRAINING_COST_MS;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice).ok_or(reason)
}

/// Returns whether a server accepts requests. A draining row and a leaving notice count alike, from the
/// earlier of the two.
fn accepts_requests(server: &KnownServer, leaving: Option<Moment>, query: &Query<'_>) -> bool {
    let Some(since) = server.draining_since.into_iter().chain(leaving).min() else {
        return true;
    };
    let was_ready = server.was_ready || server.draining_since.is_none();
    let earliest = server.may_drain_since.unwrap_or(since).min(since);
    was_ready
        && query.now.since(since) < query.drain_grace
        && query.now.since(earliest) < query.drain_end
}

/// Returns the reason that came closer to a choice, of two unavailable servers the one that is back first.
fn closer_reason(a: NoChoice, b: NoChoice) -> NoChoice {
    let progress = |reason| match reason {
        NoChoice::NoServer => 0,
        NoChoice::NotAllowed => 1,
        NoChoice::NoSoftware => 2,
        NoChoice::NoModel => 3,
        NoChoice::NoAdapter => 4,
        NoChoice::Unavailable(_) => 5,
        NoChoice::AllTried => 6,
    };
    match (a, b) {
        (NoChoice::Unavailable(first), NoChoice::Unavailable(other))
            if other.until < first.until =>
        {
            b
        }
        _ if progress(b) > progress(a) => b,
        _ => a,
    }
}

/// Returns an error unless `server` has the requested item loaded and is not about to unload it.
fn check_loaded(
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

/// Returns the cost of sending the request to `server`, in milliseconds, and the choice that this would be.
fn evaluate(
    query: &Query<'_>,
    server: &Arc<KnownServer>,
    loads: &mut LoadTracker,
    cached_prefixes: &PrefixIndex,
    view: &dyn ServerView,
) -> (f64, Choice) {
    let now = query.now;
    let id = &server.entry.id;
    let cached_tokens = cached_prefixes.cached_tokens(query.prefixes, id, now);
    let ms_per_token =
        query.info.model.as_ref().map(|item| loads.prefill_ms_per_token(&item.model));
    let load = loads.server(id);
    let total = load.total(now);
    let waiting = load.waiting(now);
    let pace = load.pace(now);
    let slots = server.entry.slots.max(1);
    let requests = total.requests();
    let slot_wait_ms = total.slot_wait_ms(query.rank, slots);
    let mut estimate_ms = match ms_per_token {
        Some(ms_per_token) => {
            let uncached = f64::from(query.info.work(cached_tokens, query.rank).prompt_tokens);
            total.prefill_ahead_ms(query.rank)
                + uncached * ms_per_token * pace
                + f64::from(requests) * BATCHED_REQUEST_MS
                + slot_wait_ms
        }
        None => load.mean_call_ms() * pace * f64::from(requests) / f64::from(slots) / 4.0,
    };
    if ms_per_token.is_none() && requests >= slots {
        let over = f64::from(requests - slots + 1) / f64::from(slots);
        estimate_ms += load.mean_call_ms() * pace * over + QUEUED_REQUEST_MS;
    }
    estimate_ms += f64::from(waiting) * QUEUED_REQUEST_MS;
    // The wait that the request causes for less urgent ones costs as much as its own. The duration of a
    // plain call is part of the estimate but not of the cost: between servers it differs by chance.
    let own_call_ms = if ms_per_token.is_none() { load.mean_call_ms() * pace } else { 0.0 };
    let mut cost = estimate_ms + total.slot_wait_ms(LEAST_URGENT, slots) - slot_wait_ms;
    if ms_per_token.is_none() {
        // A reported pace is a real difference between servers.
        cost += load.mean_call_ms() * (pace - 1.0);
    }
    if server.entry.hall != *query.hall {
        cost += OTHER_HALL_COST_MS;
    }
    if !view.is_connected(&server.entry.address) {
        cost += NEW_CONNECTION_COST_MS;
    }
    cost += load.failure_rate(now) * FAILURE_COST_MS;
    if load.is_paused(now) {
        cost += PAUSED_COST_MS;
    }
    let choice = Choice {
        server: server.clone(),
        cached_tokens,
        estimate: Duration::from_secs_f64((estimate_ms + own_call_ms) / 1_000.0),
        waiting,
        requests,
        at: now,
    };
    (cost, choice)
}
