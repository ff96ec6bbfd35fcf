//! Random sampling of servers, for a box that does not know the load of the others ("power of two choices").
//!
//! If each of many boxes chose the least loaded of all servers, they would all choose the same one, by load figures that
//! are outdated when they act on them. Choosing the better of two random servers spreads the requests of boxes that know
//! nothing of each other almost as evenly as one box with full knowledge would.

use std::sync::Arc;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::ids::HallName;
use crate::serving::directory::KnownServer;

/// The number of servers in a sample.
const SAMPLE_SIZE: usize = 2;

/// Returns a random sample of the `usable` servers, only of those in `hall` if it has any.
pub fn sample_servers<'a>(
    servers: impl Iterator<Item = &'a Arc<KnownServer>>,
    hall: &HallName,
    usable: impl Fn(&KnownServer) -> bool,
    rng: &mut impl Rng,
) -> Vec<&'a Arc<KnownServer>> {
    let usable: Vec<&Arc<KnownServer>> = servers.filter(|server| usable(server)).collect();
    let sample = sample_in_hall(&usable, |server| &server.entry.hall, hall, rng);
    sample.into_iter().copied().collect()
}

/// Returns a random sample of `items`, only of those in `hall` if any is there.
pub(super) fn sample_in_hall<'a, T>(
    items: &'a [T],
    hall_of: impl Fn(&T) -> &HallName,
    hall: &HallName,
    rng: &mut impl Rng,
) -> Vec<&'a T> {
    let in_hall: Vec<&T> = items.iter().filter(|item| hall_of(item) == hall).collect();
    let candidates = if in_hall.is_empty() { items.iter().collect() } else { in_hall };
    candidates.sample(rng, SAMPLE_SIZE).copied().collect()
}
