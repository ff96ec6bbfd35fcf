//! The shards that this box looks after: their leases, their placement, their claims.

pub mod claims;
mod lease;
mod placement;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use trackfront_core::ids::ShardId;
use trackfront_core::tree::{Service, ServiceKind};

use crate::shared::Shared;
use claims::ClaimKeeper;
use placement::PlacementKeeper;

/// How often new shards are looked for.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// What a task does for its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    /// Places models on engines.
    Placement,
    /// Keeps the claims of calls that may run once.
    Claims,
}

/// Looks after all shards of this box's region until the task is stopped.
pub async fn run(shared: Arc<Shared>, tasks: Arc<ShardTasks>) {
    loop {
        if let Some(current) = shared.in_force.current() {
            let here =
                current.tree.shards().filter(|(shard, _)| shard.region == shared.place.region);
            for (shard, service) in here {
                tasks.ensure(&shared, shard, job(service));
            }
        }
        for shard in shared.claims.take_wanted() {
            tasks.ensure(&shared, shard, Job::Claims);
        }
        tokio::select! {
            () = shared.rest(LOOK_EVERY) => {},
            () = shared.claims.wanted() => {},
        }
    }
}

/// Returns the job that a service always needs. The claims of a service with models are kept
/// only once somebody claims, since few of its callers ever do.
fn job(service: &Service) -> Job {
    match service.kind {
        ServiceKind::Engines { .. } => Job::Placement,
        ServiceKind::Plain { .. } => Job::Claims,
    }
}

/// The tasks of all shards.
#[derive(Default)]
pub struct ShardTasks {
    tasks: Mutex<BTreeMap<(ShardId, Job), ShardTask>>,
}

struct ShardTask {
    handle: JoinHandle<()>,
    release: watch::Sender<bool>,
}

impl ShardTasks {
    /// Starts a shard's task unless it runs.
    fn ensure(&self, shared: &Arc<Shared>, shard: ShardId, job: Job) {
        let mut tasks = self.tasks.lock();
        if tasks.contains_key(&(shard.clone(), job)) {
            return;
        }
        let (release, released) = watch::channel(false);
        let handle = match job {
            Job::Placement => {
                tokio::spawn(PlacementKeeper::new(shared.clone(), shard.clone()).run(released))
            }
            Job::Claims => {
                tokio::spawn(ClaimKeeper::new(shared.clone(), shard.clone()).run(released))
            }
        };
        tasks.insert((shard, job), ShardTask { handle, release });
    }

    /// Stops all tasks at once, without giving leases up.
    pub fn abort(&self) {
        for task in self.tasks.lock().values() {
            task.handle.abort();
        }
    }

    /// Gives all leases up and waits for that.
    pub async fn release(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock());
        for task in tasks.values() {
            task.release.send_replace(true);
        }
        join_all(tasks.into_values().map(|task| task.handle)).await;
    }
}
