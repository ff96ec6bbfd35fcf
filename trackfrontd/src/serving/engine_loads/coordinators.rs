//! Which box coordinates the load of each engine.

use std::collections::HashMap;
use std::time::Duration;

use trackfront_core::quota::{BoxId, rank_coordinators};
use trackfront_core::serving::permits::Coordinator;
use trackfront_core::units::Moment;

/// How long a coordinator that did not answer is left out.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(3);

/// How long the coordinator of an engine is kept, since ranking all boxes for each request would cost processor time.
const CACHE_TIME: Duration = Duration::from_millis(300);

/// The coordinators that this box found lately, and those that did not answer.
#[derive(Debug, Default)]
pub(super) struct Coordinators {
    cached: HashMap<u32, CachedCoordinator>,
    /// Until when each box is left out.
    unresponsive: HashMap<BoxId, Moment>,
}

#[derive(Clone, Copy, Debug)]
struct CachedCoordinator {
    coordinator: Coordinator,
    expires_at: Moment,
}

impl Coordinators {
    /// Returns the coordinator of an engine if it was found lately.
    pub fn cached(&self, engine: u32, now: Moment) -> Option<Coordinator> {
        let cached = self.cached.get(&engine)?;
        (now < cached.expires_at).then_some(cached.coordinator)
    }

    /// Finds the coordinator of an engine among `boxes`.
    pub fn find(
        &mut self,
        engine: u32,
        boxes: impl Iterator<Item = BoxId>,
        now: Moment,
    ) -> Option<Coordinator> {
        let answers = |(_, id): &(usize, BoxId)| !self.is_unresponsive(*id, now);
        let mut ranked = rank_coordinators(engine as usize, boxes).into_iter().enumerate();
        let (rank, id) = ranked.find(answers)?;
        let coordinator = Coordinator { id, is_standby: rank > 0 };
        self.cached.insert(engine, CachedCoordinator { coordinator, expires_at: now + CACHE_TIME });
        Some(coordinator)
    }

    /// Leaves out a box that did not answer. Returns whether it answered until now.
    pub fn mark_unresponsive(&mut self, id: BoxId, now: Moment) -> bool {
        let answered = !self.is_unresponsive(id, now);
        if answered {
            self.unresponsive.insert(id, now + UNRESPONSIVE_FOR);
            self.cached.retain(|_, cached| cached.coordinator.id != id);
        }
        answered
    }

    fn is_unresponsive(&self, id: BoxId, now: Moment) -> bool {
        self.unresponsive.get(&id).is_some_and(|until| now < *until)
    }

    /// Drops what no longer counts.
    pub fn forget_old(&mut self, now: Moment) {
        self.cached.retain(|_, cached| now < cached.expires_at);
        self.unresponsive.retain(|_, until| now < *until);
    }
}

#[cfg(test)]
mod tests;
