//! The shards that this box looks after: their leases, their placement, their claims.

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

/// Waits for `pause`, or until the task is released. Returns whether it goes on.
async fn goes_on(pause: impl Future<Output = ()>, released: &mut watch::Receiver<bool>) -> bool {
    tokio::select! {
        () = pause => true,
        // A sender that is gone releases the task, too.
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
    /// Whether the box is leaving and starts no more tasks.
    closed: bool,
}

/// A running task. It ends when it is released, or by itself when this is dropped.
struct ShardTask {
    handle: JoinHandle<()>,
    release: watch::Sender<bool>,
}

impl ShardTasks {
    /// Starts a shard's task unless it runs.
    fn ensure(&self, shared: &Arc<Shared>, shard: ShardId, job: Job) {
        let mut tasks = self.tasks.lock();
        if tasks.closed || tasks.running.contains_key(&(shard.clone(), job)) {
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
        tasks.running.insert((shard, job), ShardTask { handle, release });
    }

    /// Stops all tasks at once, without giving leases up.
    pub fn abort(&self) {
        let mut tasks = self.tasks.lock();
        tasks.closed = true;
        for task in tasks.running.values() {
            task.handle.abort();
        }
    }

    /// Gives all leases up and waits for that.
    pub async fn release(&self) {
        let running = {
            let mut tasks = self.tasks.lock();
            tasks.closed = true;
            std::mem::take(&mut tasks.running)
        };
        for task in running.values() {
            task.release.send_replace(true);
        }
        // The senders live until the tasks have ended, so that none sees its own dropped.
        let ended: Vec<_> = running.into_values().map(|task| (task.release, task.handle)).collect();
        for (_release, handle) in ended {
            if handle.await.is_err() {
                log::error!("a shard's task has failed");
            }
        }
    }
}
