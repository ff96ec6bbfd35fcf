//! Whether a server can get a request, and if not, why.

use crate::serving::cold::ColdState;
use crate::serving::directory::KnownServer;
use crate::serving::load::LoadTracker;
use crate::serving::request::ModelRef;
use crate::units::Moment;

use super::{NoChoice, Query, ServerView, Unavailable, UnavailableCause};

/// The conditions of a server that can get a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// Whether it is cold and this box may send to it nevertheless.
    pub is_cold: bool,
    /// Whether it drains or announced that it leaves.
    pub is_draining: bool,
    /// Whether there is an idle connection to it.
    pub is_connected: bool,
}

/// Returns the conditions of `server`, or the reason why it cannot get the request.
pub(super) fn check_eligible(
    query: &Query<'_>,
    server: &KnownServer,
    loads: &LoadTracker,
    view: &dyn ServerView,
) -> Result<Conditions, NoChoice> {
    let id = &server.entry.id;
    let leaving = view.leaving_since(id);
    if loads.is_replaced(id) || !accepts_requests(server, leaving, query) {
        return Err(NoChoice::NoServer);
    }
    if !query.allowed_halls.allow(&server.entry.hall) {
        return Err(NoChoice::NotAllowed);
    }
    if query.software.is_some_and(|software| software != server.entry.software_id()) {
        return Err(NoChoice::NoSoftware);
    }
    check_loaded(server, query.info.model.as_ref(), view)?;
    if query.tried.contains(id) {
        return Err(NoChoice::AllTried);
    }
    Ok(Conditions {
        is_cold: check_available(server, view)? == ColdState::Admitting,
        is_draining: leaving.is_some() || !server.is_ready(),
        is_connected: view.is_connected(&server.entry.address),
    })
}

/// Returns whether the server is cold, or an error if it may get no request now.
fn check_available(server: &KnownServer, view: &dyn ServerView) -> Result<ColdState, NoChoice> {
    let cold_state = view.cold_state(server);
    let unavailable = match cold_state {
        ColdState::Blocked(until) => Some(Unavailable { until, cause: UnavailableCause::Cold }),
        ColdState::Warm | ColdState::Admitting => view.unavailable(server),
    };
    match unavailable {
        Some(unavailable) => Err(NoChoice::Unavailable(unavailable)),
        None => Ok(cold_state),
    }
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
pub(super) fn closer_reason(a: NoChoice, b: NoChoice) -> NoChoice {
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
