//! Which box coordinates the load of each engine.

use std::collections::HashMap;
use std::time::Duration;

use trackfront_core::quota::{BoxId, rank_coordinators};
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
    id: BoxId,
    expires_at: Moment,
}

impl Coordinators {
    /// Returns the coordinator of an engine if it was found lately.
    pub fn cached(&self, engine: u32, now: Moment) -> Option<BoxId> {
        let cached = self.cached.get(&engine)?;
        (now < cached.expires_at).then_some(cached.id)
    }

    /// Finds the coordinator of an engine among `boxes`.
    pub fn find(
        &mut self,
        engine: u32,
        boxes: impl Iterator<Item = BoxId>,
        now: Moment,
    ) -> Option<BoxId> {
        let answers = |id: &BoxId| !self.is_unresponsive(*id, now);
        let id = rank_coordinators(engine as usize, boxes).into_iter().find(answers)?;
        self.cached.insert(engine, CachedCoordinator { id, expires_at: now + CACHE_TIME });
        Some(id)
    }

    /// Leaves out a box that did not answer. Returns whether it answered until now.
    pub fn mark_unresponsive(&mut self, id: BoxId, now: Moment) -> bool {
        let answered = !self.is_unresponsive(id, now);
        if answered {
            self.unresponsive.insert(id, now + UNRESPONSIVE_FOR);
            self.cached.retain(|_, cached| cached.id != id);
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
mod tests {
    use super::*;

    const ENGINE: u32 = 7;

    fn boxes() -> impl Iterator<Item = BoxId> {
        (1..=20).map(BoxId)
    }

    /// Guards against requests that each wait for a coordinator that is gone.
    #[test]
    fn unresponsive_coordinator_is_left_out_for_a_while() {
        let mut coordinators = Coordinators::default();
        let start = Moment::default();
        let first = coordinators.find(ENGINE, boxes(), start).expect("boxes");
        assert!(coordinators.mark_unresponsive(first, start));
        assert!(!coordinators.mark_unresponsive(first, start), "it was known already");
        assert_eq!(coordinators.cached(ENGINE, start), None);
        assert_ne!(coordinators.find(ENGINE, boxes(), start), Some(first));
        let later = start + UNRESPONSIVE_FOR;
        assert_eq!(coordinators.find(ENGINE, boxes(), later), Some(first));
    }

    /// Guards against a coordinator that is kept after another box has taken its place.
    #[test]
    fn cached_coordinator_expires() {
        let mut coordinators = Coordinators::default();
        let start = Moment::default();
        let first = coordinators.find(ENGINE, boxes(), start);
        assert_eq!(coordinators.cached(ENGINE, start), first);
        assert_eq!(coordinators.cached(ENGINE, start + CACHE_TIME), None);
    }
}
