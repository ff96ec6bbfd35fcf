//! Chooses the server for a request from everything this box knows.

use std::borrow::Cow;
use std::sync::Arc;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::affinity::PrefixIndex;
use trackfront_core::serving::choice::{
    Candidate, Choice, NoChoice, Query, ServerView, choose, shortlist,
};
use trackfront_core::serving::cold::ColdStart;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::halls::{AllowedHalls, Evacuations};
use trackfront_core::serving::load::LoadTracker;
use trackfront_core::serving::sampling::sample_servers;

use super::Job;
use crate::serving::cold::ColdView;
use crate::serving::follow;
use crate::serving::overlay::NodeView;
use crate::serving::settings::ServingSettings;

/// What this box knows of servers beside their rows.
struct Known<'a> {
    loads: &'a mut LoadTracker,
    cached_prefixes: &'a PrefixIndex,
    view: &'a dyn ServerView,
}

impl Job {
    /// Chooses a server that is not in `tried`.
    pub fn choose(&self, tried: &[BackendId]) -> Result<Choice, NoChoice> {
        self.choose_with(tried, true)
    }

    /// Like [`Self::choose`]; without `heed_gates` it also considers servers with a limit that have
    /// no permit available now.
    pub(super) fn choose_with(
        &self,
        tried: &[BackendId],
        heed_gates: bool,
    ) -> Result<Choice, NoChoice> {
        self.select(tried, heed_gates, |query, servers, known| {
            choose(query, servers.iter().copied(), known.loads, known.cached_prefixes, known.view)
        })
    }

    /// Returns the engines whose coordinators are asked for their load.
    pub(super) fn shortlist(&self, tried: &[BackendId]) -> Result<Vec<Candidate>, NoChoice> {
        self.select(tried, true, |query, servers, known| {
            let Known { loads, cached_prefixes, view } = known;
            shortlist(
                query,
                servers.iter().copied(),
                loads,
                cached_prefixes,
                *view,
                &mut rand::rng(),
            )
        })
    }

    /// Selects among the servers that may get the request, in a large fleet among two random ones first, or else among all of the service, to find out why
    /// there is none.
    fn select<T>(
        &self,
        tried: &[BackendId],
        heed_gates: bool,
        mut selection: impl FnMut(
            &Query<'_>,
            &[&Arc<KnownServer>],
            &mut Known<'_>,
        ) -> Result<T, NoChoice>,
    ) -> Result<T, NoChoice> {
        let node = &self.node;
        follow::drop_expired_rows(node);
        let tried = &self.with_ended(tried)[..];
        let settings = node.settings.load();
        let evacuations = node.evacuations.lock();
        let query = Query {
            info: &self.info,
            prefixes: &self.prefixes,
            rank: self.rank(),
            tried,
            software: *self.software.lock(),
            hall: &settings.node.hall,
            allowed_halls: self.allowed_halls(&evacuations, &settings),
            drain_grace: node.drain_grace(),
            drain_end: node.drain_end(),
            now: node.now(),
        };
        let directory = node.directory.lock();
        let mut loads = node.loads.lock();
        let overlay = node.overlay.lock();
        let (start, terms) = (self.cold_start(), settings.promises.cold());
        let cold_tracker = node.cold.lock();
        let cold = ColdView { start, terms, tracker: &cold_tracker, evacuations: &evacuations };
        let (notices, gates) = (node.notices.lock(), node.permits.gates.lock());
        let view = NodeView {
            overlay: &overlay,
            pool: &node.pool,
            cold,
            notices: &notices,
            gates: heed_gates.then_some(&*gates),
            now: query.now,
        };
        let memory = node.prompt_memory.lock();
        let all = directory.of_service(&self.service);
        let is_of_service = |known: &&Arc<KnownServer>| known.entry.service == self.service;
        let knows_loads = node.peers.lock().is_small_fleet();
        let mut select_among = |servers: Vec<&Arc<KnownServer>>| {
            let mut known = Known { loads: &mut loads, cached_prefixes: &memory, view: &view };
            if knows_loads {
                return selection(&query, &servers, &mut known);
            }
            let usable = |server: &KnownServer| {
                let id = &server.entry.id;
                server.is_ready()
                    && notices.leaving_since(id).is_none()
                    && query.allowed_halls.allow(&server.entry.hall)
                    && !tried.contains(id)
                    && !known.loads.is_paused(id, query.now)
            };
            let some =
                sample_servers(servers.iter().copied(), query.hall, usable, &mut rand::rng());
            let found = selection(&query, &some, &mut known);
            found.or_else(|_| selection(&query, &servers, &mut known))
        };
        let Some(item) = &self.info.model else {
            return select_among(all.iter().collect());
        };
        // Few of thousands of engines hold the model. The others are only needed to find out why
        // there is no choice.
        let holders = directory.holding(&item.model).iter().filter(is_of_service);
        let holds = |known: &&Arc<KnownServer>| known.entry.models.contains_key(&item.model);
        let listed = |id: &BackendId| {
            let index = all.binary_search_by(|known| known.entry.id.cmp(id)).ok()?;
            Some(&all[index])
        };
        let added = overlay.added_to(item).filter_map(listed).filter(|known| !holds(known));
        match select_among(holders.chain(added).collect()) {
            Err(
                NoChoice::NoServer
                | NoChoice::NotAllowed
                | NoChoice::NoSoftware
                | NoChoice::NoModel,
            ) => {
                let all: Vec<&Arc<KnownServer>> = all.iter().collect();
                let mut known = Known { loads: &mut loads, cached_prefixes: &memory, view: &view };
                selection(&query, &all, &mut known)
            }
            found => found,
        }
    }

    /// Adds the servers that are known to have ended under the request, whose rows may be stale: another incarnation at the
    /// same address would get the request, and if it crashes as well, that would not count.
    fn with_ended<'a>(&self, tried: &'a [BackendId]) -> Cow<'a, [BackendId]> {
        let ended = self.node.crashes.ended_under(&self.suspects, &self.node.names.lock());
        match ended.is_empty() {
            true => Cow::Borrowed(tried),
            false => Cow::Owned(tried.iter().cloned().chain(ended).collect()),
        }
    }

    /// Returns the halls and regions in which the request may be served.
    fn allowed_halls<'a>(
        &'a self,
        evacuations: &'a Evacuations,
        settings: &'a ServingSettings,
    ) -> AllowedHalls<'a> {
        let account = self.account.as_ref().and_then(|account| account.regions.as_ref());
        let bounds = [self.route.regions.as_ref(), account];
        AllowedHalls { evacuations, regions: &settings.halls, bounds }
    }

    /// Returns the reduced load that the service's servers accept after a start; `None` if they
    /// accept full load at once.
    pub(super) fn cold_start(&self) -> Option<ColdStart> {
        self.config.services.get(&self.service)?.cold
    }
}
