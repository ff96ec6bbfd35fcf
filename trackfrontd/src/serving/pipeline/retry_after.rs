//! The retry-after time of a refusal: when a server should be available for the request.
//!
//! The times are spread, so that clients refused together don't retry together.

use std::time::Duration;

use trackfront_core::ids::RequestId;
use trackfront_core::serving::choice::NoChoice;

use super::{Job, MIN_RETRY_AFTER, short_hash};
use trackfront_core::units::scaled;

/// The time until a model that no engine holds is usable, beyond the load itself: plans are made
/// every 250 ms, another model is withdrawn for 150 ms, and the boxes are informed.
const LOAD_OVERHEAD: Duration = Duration::from_millis(600);

/// The retry-after time for an adapter, which is loaded within this time unless its engine is
/// loading a model.
const ADAPTER_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The retry-after time if the service has no server at all: news of a new one takes some tenths of
/// a second.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The additional retry-after time if every request is refused: the time until capacity is made
/// available, which is a load from an engine's disk and the plan for it.
const SATURATION_EXTRA_WAIT: Duration = Duration::from_secs(2);

impl Job {
    /// Returns the retry-after time for a request that no server can take.
    pub fn retry_after_for(&self, no_choice: NoChoice) -> Duration {
        let wait = match no_choice {
            NoChoice::AllTried => return self.retry_after_wait(self.unavailable_for()),
            NoChoice::NoServer | NoChoice::NotAllowed | NoChoice::NoSoftware => {
                NO_SERVER_RETRY_AFTER
            }
            NoChoice::Unavailable(unavailable) => {
                unavailable.until.since(self.node.now()).max(MIN_RETRY_AFTER)
            }
            NoChoice::NoModel => self.pending_load_time().unwrap_or_else(|| self.load_from_now()),
            NoChoice::NoAdapter => ADAPTER_RETRY_AFTER,
        };
        self.spread(wait)
    }

    /// Returns for how long all servers have declared themselves unavailable for the request; zero
    /// if one is available.
    pub(super) fn unavailable_for(&self) -> Duration {
        match self.choose(&[]) {
            Err(NoChoice::Unavailable(unavailable)) => unavailable.until.since(self.node.now()),
            _ => Duration::ZERO,
        }
    }

    /// Returns the time until the model is loaded if its load were ordered now.
    fn load_from_now(&self) -> Duration {
        self.load_time().unwrap_or_default() + LOAD_OVERHEAD
    }

    /// Returns the time until the model is loaded, if its load is in progress.
    fn pending_load_time(&self) -> Option<Duration> {
        let item = self.missing_item(NoChoice::NoModel)?;
        let at = self.node.overlay.lock().expected_at(&item)?;
        Some(at.since(self.node.now()).max(MIN_RETRY_AFTER))
    }

    /// Returns the retry-after time if the next free slot is `wait` away.
    pub fn retry_after_wait(&self, wait: Duration) -> Duration {
        let refused = self.node.saturation.lock().refused_fraction(&self.service, self.node.now());
        self.spread(wait.max(MIN_RETRY_AFTER) + scaled(SATURATION_EXTRA_WAIT, refused))
    }

    /// Returns the shortest time in which an engine of the service could load the model: from its
    /// memory or disk by its row, or else from the weight store; `None` for a model that isn't
    /// configured.
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

    /// Lengthens a wait by up to half, depending on the request's identifier.
    pub(super) fn spread(&self, wait: Duration) -> Duration {
        spread(&self.info.id, wait)
    }
}

/// Lengthens a wait by up to half, depending on a request's identifier.
pub(super) fn spread(request: &RequestId, wait: Duration) -> Duration {
    let fraction = (short_hash(request.as_str()) % 1_000) as f64 / 1_000.0;
    scaled(wait, 1.0 + fraction / 2.0)
}
