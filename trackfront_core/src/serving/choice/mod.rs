//! Choice of the server for a request.
//!
//! The time to the first event is estimated for each server that can answer: the prefill ahead of the
//! request, the prefill of its own uncached tokens, the wait for a slot, the way to another hall, and
//! the risk that a server which failed recently fails again. The server with the lowest cost is chosen, or, in a
//! deployment with coordinators, put on a shortlist of servers whose coordinators are asked.

pub(super) mod cost;
mod eligibility;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::ids::{BackendId, HallName};
use crate::serving::affinity::{Prefix, PrefixIndex};
use crate::serving::cold::ColdState;
use crate::serving::directory::KnownServer;
use crate::serving::halls::AllowedHalls;
use crate::serving::load::LoadTracker;
use crate::serving::request::{ModelRef, RequestInfo};
use crate::serving::sampling::sample_in_hall;
use crate::serving::stream_origins::SoftwareId;
use crate::units::Moment;

use cost::Evaluation;
use eligibility::{check_eligible, closer_reason};

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

/// A server on the shortlist of a request, with what a new estimate needs.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The choice of this server, with the estimate by what this box itself knows.
    pub choice: Choice,
    /// The cost by what this box itself knows, in milliseconds.
    pub cost_ms: f64,
    /// The part of the cost that does not depend on the load, in milliseconds: another hall, a new connection,
    /// failures, and whether the server is cold, draining or paused.
    pub fixed_cost_ms: f64,
    /// The time for the prefill of the uncached tokens at the usual speed of the model, in milliseconds; zero for a
    /// plain service.
    pub own_prefill_ms: f64,
    /// The prefill time of one token at the usual speed of the model, in milliseconds; zero for a plain service.
    pub prefill_ms_per_token: f64,
    /// The requests that the server runs at once; 0 if its row does not say so.
    pub slots: u32,
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
    let mut best: Option<Evaluation<'a>> = None;
    let mut reason = NoChoice::NoServer;
    for server in servers {
        match evaluate(query, server, loads, cached_prefixes, view) {
            Ok(found) if best.as_ref().is_none_or(|best| found.cost_ms < best.cost_ms) => {
                best = Some(found);
            }
            Ok(_) => {}
            Err(obstacle) => reason = closer_reason(reason, obstacle),
        }
    }
    best.map(|best| best.choice(query.now)).ok_or(reason)
}

/// Returns the servers whose coordinators are asked for their load: the one with the lowest cost, which comes first,
/// and up to two others of this box's hall, or of any hall if it has no others.
///
/// The others are random, and so is the choice among equal costs: boxes that know the same of all servers would
/// otherwise all ask for the same ones. Draining and paused servers are listed only if no other can answer.
pub fn shortlist<'a>(
    query: &Query<'_>,
    servers: impl IntoIterator<Item = &'a Arc<KnownServer>>,
    loads: &mut LoadTracker,
    cached_prefixes: &PrefixIndex,
    view: &dyn ServerView,
    rng: &mut impl Rng,
) -> Result<Vec<Candidate>, NoChoice> {
    let mut usable: Vec<Evaluation<'a>> = Vec::new();
    let mut last_resorts: Vec<Evaluation<'a>> = Vec::new();
    let mut reason = NoChoice::NoServer;
    for server in servers {
        match evaluate(query, server, loads, cached_prefixes, view) {
            Ok(found) if found.is_last_resort => last_resorts.push(found),
            Ok(found) => usable.push(found),
            Err(obstacle) => reason = closer_reason(reason, obstacle),
        }
    }
    let mut listed = if usable.is_empty() { last_resorts } else { usable };
    let cheapest = remove_cheapest(&mut listed, rng).ok_or(reason)?;
    let others = sample_in_hall(&listed, |other| &other.server.entry.hall, query.hall, rng);
    let all = std::iter::once(&cheapest).chain(others);
    Ok(all.map(|found| found.candidate(query.now)).collect())
}

/// Removes and returns the server with the lowest cost, a random one among equals; `None` if there is none.
fn remove_cheapest<'a>(
    listed: &mut Vec<Evaluation<'a>>,
    rng: &mut impl Rng,
) -> Option<Evaluation<'a>> {
    let least = listed.iter().map(|found| found.cost_ms).min_by(f64::total_cmp)?;
    let equals = listed.iter().enumerate().filter(|(_, found)| found.cost_ms == least);
    let (index, _) = equals.choose(rng)?;
    Some(listed.swap_remove(index))
}

/// Returns what the request costs at `server`, or why the server cannot get it.
fn evaluate<'a>(
    query: &Query<'_>,
    server: &'a Arc<KnownServer>,
    loads: &mut LoadTracker,
    cached_prefixes: &PrefixIndex,
    view: &dyn ServerView,
) -> Result<Evaluation<'a>, NoChoice> {
    let conditions = check_eligible(query, server, loads, view)?;
    Ok(Evaluation::new(query, server, conditions, loads, cached_prefixes))
}
