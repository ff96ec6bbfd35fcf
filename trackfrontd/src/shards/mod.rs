//! The shards that this box may own: their leases, placement and claims.

pub mod claims;
mod lease;
mod placement;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use trackfront_core::ids::ShardId;
use trackfront_core::tree::{Service, ServiceKind};

use crate::shared::Shared;
use claims::ClaimOwner;
use placement::PlacementOwner;

/// The interval at which new shards are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The job of a task for its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    /// To place models on engines.
    Placement,
    /// To grant the claims of calls that may run once.
    Claims,
}

/// Starts the tasks of all shards of this box's region, until the task is stopped.
pub async fn run_shards(shared: Arc<Shared>, tasks: Arc<ShardTasks>) {
    loop {
        if let Some(current) = shared.in_force.current() {
            let own =
                current.tree.shards().filter(|(shard, _)| shard.region == shared.place.region);
            for (shard, service) in own {
                tasks.ensure(&shared, shard, job(service));
            }
        }
        for shard in shared.claims.take_unowned() {
            tasks.ensure(&shared, shard, Job::Claims);
        }
        tokio::select! {
            () = shared.sleep_about(CHECK_INTERVAL) => {},
            () = shared.claims.owner_wanted() => {},
        }
    }
}

/// Returns the job that a service always needs. The claims of a service with models only have an owner
/// after the first claim, since few of its callers send one.
fn job(service: &Service) -> Job {
    match service.kind {
        ServiceKind::Engines { .. } => Job::Placement,
        ServiceKind::Plain { .. } => Job::Claims,
    }
}

/// Waits for `pause` or until the task is released. Returns whether the task should continue.
async fn should_continue(
    pause: impl Future<Output = ()>,
    released: &mut watch::Receiver<bool>,
) -> bool {
    tokio::select! {
        () = pause => true,
        // A dropped sender also releases the task.
        _ = released.wait_for(|released| *released) => false,
    }
}

/// The tasks of all shards.
#[derive(Default)]
pub struct ShardTasks {
    tasks: Mutex<Tasks>,
}

#[derive(Default)]
struct Tasks {
    running: BTreeMap<(ShardId, Job), ShardTask>,
    /// Whether the box is leaving, so no more tasks are started.
    closed: bool,
}

/// A running task, which ends when it is released or this is dropped.
struct ShardTask {
    handle: JoinHandle<()>,
    release: watch::Sender<bool>,
}

impl ShardTasks {
    /// Starts the task of a shard unless it is running.
    fn ensure(&self, shared: &Arc<Shared>, shard: ShardId, job: Job) {
        let mut tasks = self.tasks.lock();
        if tasks.closed || tasks.running.contains_key(&(shard.clone(), job)) {
            return;
        }
        let (release, released) = watch::channel(false);
        let handle = match job {
            Job::Placement => {
                tokio::spawn(PlacementOwner::new(shared.clone(), shard.clone()).run(released))
            }
            Job::Claims => {
                tokio::spawn(ClaimOwner::new(shared.clone(), shard.clone()).run(released))
            }
        };
        tasks.running.insert((shard, job), ShardTask { handle, release });
    }

    /// Stops all tasks at once, without releasing leases.
    pub fn abort(&self) {
        let mut tasks = self.tasks.lock();
        tasks.closed = true;
        for task in tasks.running.values() {
            task.handle.abort();
        }
    }

    /// Releases all leases, and waits until the tasks have ended.
    pub async fn release(&self) {
        let running = {
            let mut tasks = self.tasks.lock();
            tasks.closed = true;
            std::mem::take(&mut tasks.running)
        };
        for task in running.values() {
            task.release.send_replace(true);
        }
        // The senders are kept until the tasks have ended, since dropping them would release the tasks.
        let ended: Vec<_> = running.into_values().map(|task| (task.release, task.handle)).collect();
        for (_release, handle) in ended {
            if handle.await.is_err() {
                log::error!("a shard's task has failed");
            }
        }
    }
}
