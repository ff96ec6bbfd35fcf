//! A few servers at random instead of all, for a box that does not know what the others send where.
//!
//! Where each of many boxes takes what looks least loaded to it, they take the same server, and what one knows of the
//! load is old by the time that it acts on it. Two at random, the better of which is taken, spread the requests of
//! boxes that know nothing of each other almost as evenly as one that knows all.

use std::sync::Arc;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::ids::HallName;
use crate::serving::directory::KnownServer;

/// How many servers are compared.
const COMPARED: usize = 2;

/// Returns a few of the servers that are `usable`, of those in the box's own hall if there are any.
pub fn sample_servers<'a>(
    servers: impl Iterator<Item = &'a Arc<KnownServer>>,
    hall: &HallName,
    usable: impl Fn(&KnownServer) -> bool,
    rng: &mut impl Rng,
) -> Vec<&'a Arc<KnownServer>> {
    let usable: Vec<&Arc<KnownServer>> = servers.filter(|server| usable(server)).collect();
    let near: Vec<&Arc<KnownServer>> =
        usable.iter().filter(|server| server.entry.hall == *hall).copied().collect();
    let from = if near.is_empty() { usable } else { near };
    from.sample(rng, COMPARED).copied().collect()
}
