//! When a refused client is told to come back: when there should be a server for it.
//!
//! Those refused together are spread over the time after that, so that they do not return together.

use std::time::Duration;

use trackfront_core::serving::choice::NoChoice;

use super::{Job, MIN_RETRY_AFTER, short_hash};

/// How much longer than the load itself it takes until a model that no engine holds can be used: a
/// plan is made each 250 ms, another model is withdrawn for 150 ms, and the nodes are told.
const LOAD_OVERHEAD: Duration = Duration::from_millis(600);

/// When to come back for an adapter: it is there within this time unless its engine is loading.
const ADAPTER_RETRY_AFTER: Duration = Duration::from_millis(150);

/// When to come back if the service has no server at all: word of one takes some tenths of a second.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(200);

/// How much longer to stay away where every request is refused: as long as the room that is needed
/// takes to be made, which is a load from an engine's disk and the plan for it.
const SATURATION_EXTRA_WAIT: Duration = Duration::from_secs(2);

impl Job {
    /// Returns when to come back for what no server offers.
    pub fn retry_after_for(&self, no_choice: NoChoice) -> Duration {
        let wait = match no_choice {
            NoChoice::AllTried => return self.retry_after_wait(self.unavailable_for()),
            NoChoice::NoServer | NoChoice::NotAllowed => NO_SERVER_RETRY_AFTER,
            NoChoice::Unavailable(shut) => shut.until.since(self.node.now()).max(MIN_RETRY_AFTER),
            NoChoice::NoModel => self.pending_load_time().unwrap_or_else(|| self.load_from_now()),
            NoChoice::NoAdapter => ADAPTER_RETRY_AFTER,
        };
        self.spread(wait)
    }

    /// Returns for how long no server may get the request, as far as servers said so; zero if one may.
    pub(super) fn unavailable_for(&self) -> Duration {
        match self.choose(&[]) {
            Err(NoChoice::Unavailable(shut)) => shut.until.since(self.node.now()),
            _ => Duration::ZERO,
        }
    }

    /// Returns in what time the model would be there if its load were ordered now.
    fn load_from_now(&self) -> Duration {
        self.load_time().unwrap_or_default() + LOAD_OVERHEAD
    }

    /// Returns in what time the model should be there, if its load is under way.
    fn pending_load_time(&self) -> Option<Duration> {
        let item = self.missing_item(NoChoice::NoModel)?;
        let at = self.node.overlay.lock().expected_at(&item)?;
        Some(at.since(self.node.now()).max(MIN_RETRY_AFTER))
    }

    /// Returns when to come back if the next free slot is `wait` away.
    pub fn retry_after_wait(&self, wait: Duration) -> Duration {
        let share = self.node.saturation.lock().refused_fraction(&self.service, self.node.now());
        self.spread(wait.max(MIN_RETRY_AFTER) + SATURATION_EXTRA_WAIT.mul_f64(share))
    }

    /// The shortest time in which an engine of the service could load the model: by its rows, from
    /// its memory or its disk, or else from the weight store; `None` for one that is not configured.
    pub(super) fn load_time(&self) -> Option<Duration> {
        let engine = self.config.services.get(&self.service)?.engine.as_ref()?;
        let model = engine.models.get(&self.info.model.as_ref()?.model)?;
        let directory = self.node.directory.lock();
        let all = directory.of_service(&self.service).iter();
        let ready = all.filter(|server| self.node.accepts_new(server));
        let from = ready.map(|server| {
            let entry = &server.entry;
            model.load_time_with(&entry.in_memory, &entry.on_disk)
        });
        Some(from.min().unwrap_or(model.load_time))
    }

    /// Lengthens a wait by up to half, by the request's identifier.
    pub(super) fn spread(&self, wait: Duration) -> Duration {
        let part = (short_hash(self.info.id.as_str()) % 1_000) as f64 / 1_000.0;
        wait.mul_f64(1.0 + part / 2.0)
    }
}
