//! Which engine gets a request.

use std::sync::Arc;

use crate::fleet::{EngineEntry, Fleet};
use crate::ids::{BackendId, HallName, ItemKey};
use crate::units::Moment;

/// How many requests ahead an engine in the caller's own hall may have before one in another
/// hall is taken: crossing halls costs about a millisecond, a place in the batch more.
const OTHER_HALL_LOAD: u32 = 1;

/// Chooses engines for a box.
pub struct Router {
    fleet: Arc<Fleet>,
    hall: HallName,
}

impl Router {
    /// Makes a router for a box in `hall`.
    pub fn new(fleet: Arc<Fleet>, hall: HallName) -> Self {
        Self { fleet, hall }
    }

    /// Returns the engine with the least expected load on which `item` answers, none of
    /// `tried`. An engine that could not be reached lately is taken only if no other is left.
    pub fn choose(
        &self,
        item: &ItemKey,
        tried: &[BackendId],
        now: Moment,
    ) -> Option<Arc<EngineEntry>> {
        let mut best: Option<(bool, u32)> = None;
        let mut chosen = None;
        self.fleet.for_each_ready(item, |entry| {
            if tried.contains(&entry.id) || entry.is_leaving() {
                return;
            }
            let hall_load = if entry.hall == self.hall { 0 } else { OTHER_HALL_LOAD };
            let score = (!entry.takes_new_work(now), entry.expected_load() + hall_load);
            if best.is_none_or(|least| score < least) {
                best = Some(score);
                chosen = Some(entry.clone());
            }
        });
        chosen
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::EngineDigest;

    #[test]
    fn the_least_loaded_engine_is_chosen_and_its_load_is_corrected() {
        let item = ItemKey { model: "m".into(), adapter: None, version: "1".into() };
        let fleet = Arc::new(Fleet::default());
        fleet.set_engines(&[("a".into(), "h".into()), ("b".into(), "h".into())]);
        for (engine, running) in [("a", 1), ("b", 2)] {
            let digest = EngineDigest {
                engine: engine.into(),
                incarnation: 1,
                sequence: 1,
                age_ms: 0,
                ready: vec![item.clone()],
                running,
                queued: 0,
            };
            fleet.observe(&digest, Moment::default());
        }
        let router = Router::new(fleet, "h".into());
        let first = router.choose(&item, &[], Moment::default()).expect("an engine");
        assert_eq!(first.id.as_str(), "a");
        first.begin();
        first.begin();
        let second = router.choose(&item, &[], Moment::default()).expect("an engine");
        assert_eq!(second.id.as_str(), "b");
        assert!(router.choose(&item, &["a".into(), "b".into()], Moment::default()).is_none());
    }
}
