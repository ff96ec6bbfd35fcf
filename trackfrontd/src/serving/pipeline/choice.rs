//! Chooses the server for a request from everything this box knows.

use std::sync::Arc;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::choice::{Choice, NoChoice, Query, choose};
use trackfront_core::serving::cold::ColdStart;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::halls::{AllowedHalls, Evacuations};
use trackfront_core::serving::sampling::sample_servers;

use super::Job;
use crate::serving::cold::ColdView;
use crate::serving::follow;
use crate::serving::overlay::NodeView;
use crate::serving::settings::ServingSettings;

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
        let node = &self.node;
        follow::drop_expired_rows(node);
        let settings = node.settings.load();
        let evacuations = node.evacuations.lock();
        let query = Query {
            info: &self.info,
            prefixes: &self.prefixes,
            rank: self.rank,
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
        let is_candidate = |known: &&Arc<KnownServer>| known.entry.service == self.service;
        let knows_loads = node.peers.lock().is_small_fleet();
        let mut choose_among = |servers: &mut dyn Iterator<Item = &Arc<KnownServer>>| {
            if knows_loads {
                return choose(&query, servers, &mut loads, &memory, &view);
            }
            let servers: Vec<&Arc<KnownServer>> = servers.collect();
            let usable = |known: &KnownServer| {
                let id = &known.entry.id;
                known.is_ready()
                    && notices.leaving_since(id).is_none()
                    && query.allowed_halls.allow(&known.entry.hall)
                    && !tried.contains(id)
                    && !loads.is_paused(id, query.now)
            };
            let some = servers.iter().copied();
            let some = sample_servers(some, query.hall, usable, &mut rand::rng());
            let found = choose(&query, some, &mut loads, &memory, &view);
            found.or_else(|_| choose(&query, servers, &mut loads, &memory, &view))
        };
        let Some(item) = &self.info.model else {
            return choose_among(&mut all.iter());
        };
        // Few of thousands of engines hold the model. The others are only needed to find out why
        // there is no choice.
        let holders = directory.holding(&item.model).iter().filter(is_candidate);
        let holds = |known: &&Arc<KnownServer>| known.entry.models.contains_key(&item.model);
        let listed = |id: &BackendId| {
            let index = all.binary_search_by(|known| known.entry.id.cmp(id)).ok()?;
            Some(&all[index])
        };
        let added = overlay.added_to(item).filter_map(listed).filter(|known| !holds(known));
        match choose_among(&mut holders.chain(added)) {
            Err(
                NoChoice::NoServer
                | NoChoice::NotAllowed
                | NoChoice::NoSoftware
                | NoChoice::NoModel,
            ) => choose(&query, all, &mut loads, &memory, &view),
            found => found,
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
