//! When a refused client is told to come back: when there should be a server for it.
//!
//! Those refused together are spread over the time after that, so that they do not return together.

use std::time::Duration;

use trackfront_core::serving::choose::NoChoice;

use super::{Job, LEAST_RETRY, short_hash};

/// How much longer than the load itself it takes until a model that no engine holds can be used: a
/// plan is made each 250 ms, another model is withdrawn for 150 ms, and the nodes are told.
const LOAD_OVERHEAD: Duration = Duration::from_millis(600);

/// When to come back for an adapter: it is there within this time unless its engine is loading.
const ADAPTER_RETRY: Duration = Duration::from_millis(150);

/// When to come back if the service has no server at all: word of one takes some tenths of a second.
const NO_SERVER_RETRY: Duration = Duration::from_millis(200);

/// How much longer to stay away where every request is refused: as long as the room that is needed
/// takes to be made, which is a load from an engine's disk and the plan for it.
const CROWD_TIME: Duration = Duration::from_secs(2);

impl Job {
    /// Returns when to come back for what no server offers.
    pub fn come_back_for(&self, lack: NoChoice) -> Duration {
        let wait = match lack {
            NoChoice::AllTried => return self.come_back_after(Duration::ZERO),
            NoChoice::NoServer => NO_SERVER_RETRY,
            NoChoice::NoModel => self.load_time() + LOAD_OVERHEAD,
            NoChoice::NoAdapter => ADAPTER_RETRY,
        };
        self.spread(wait)
    }

    /// Returns when to come back if the next free slot is `wait` away.
    pub fn come_back_after(&self, wait: Duration) -> Duration {
        let share = self.node.crowding.lock().share(&self.service, self.node.now());
        self.spread(wait.max(LEAST_RETRY) + CROWD_TIME.mul_f64(share))
    }

    /// The shortest time in which an engine of the service could load the model: by its rows, from
    /// its memory or its disk, or else from the weight store.
    fn load_time(&self) -> Duration {
        let engine = self.config.services.get(&self.service).and_then(|spec| spec.engine.as_ref());
        let item = self.info.model.as_ref();
        let Some(model) = item.and_then(|item| engine?.models.get(&item.model)) else {
            return Duration::ZERO;
        };
        let directory = self.node.directory.lock();
        let ready = directory.of_service(&self.service).iter().filter(|server| server.is_ready());
        let from = ready.map(|server| match &server.entry {
            entry if entry.in_memory.contains(&model.name) => model.memory_load_time,
            entry if entry.on_disk.contains(&model.name) => model.disk_load_time,
            _ => model.load_time,
        });
        from.min().unwrap_or(model.load_time)
    }

    /// Lengthens a wait by up to half, by the request's identifier.
    fn spread(&self, wait: Duration) -> Duration {
        let part = (short_hash(self.info.id.as_str()) % 1_000) as f64 / 1_000.0;
        wait.mul_f64(1.0 + part / 2.0)
    }
}
