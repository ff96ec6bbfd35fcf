//! One box without its listeners: its state and its background tasks.

use std::sync::Arc;

use tokio::task::JoinHandle;
use trackfront_adapters::audit::AuditWriter;
use trackfront_adapters::metrics::Metrics;
use trackfront_core::ids::NodeId;

use crate::outside::Outside;
use crate::settings::Place;
use crate::shards::ShardTasks;
use crate::shared::Shared;
use crate::{cache_events, follower, limits, peering, reader, shards};

/// A running box without listeners. Tests and benchmarks run it with in-memory ports.
pub struct Node {
    /// The state of the box.
    pub shared: Arc<Shared>,
    audit: Arc<AuditWriter>,
    shards: Arc<ShardTasks>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a box that peers reach at `peer_address`. Its identity is derived from `seed`.
    pub fn start(
        place: Place,
        peer_address: String,
        outside: Outside,
        metrics: Arc<Metrics>,
        seed: u64,
    ) -> Node {
        let me = NodeId::from(format!("{}-{seed:016x}", place.name));
        let audit =
            Arc::new(AuditWriter::new(me.clone(), outside.clock.clone(), outside.objects.clone()));
        let sink = audit.clone();
        let shared = Arc::new(Shared::new(me, place, peer_address, outside, metrics, sink, seed));
        let shards = Arc::new(ShardTasks::default());
        let writer = audit.clone();
        let tasks = vec![
            tokio::spawn(follower::follow_tree(shared.clone())),
            tokio::spawn(peering::follow_box_list(shared.clone())),
            tokio::spawn(peering::send_heartbeats(shared.clone())),
            tokio::spawn(limits::maintain_quotas(shared.clone())),
            tokio::spawn(reader::read_stale_loads(shared.clone())),
            tokio::spawn(cache_events::read_events(shared.clone())),
            tokio::spawn(shards::run_shards(shared.clone(), shards.clone())),
            tokio::spawn(async move { writer.run().await }),
        ];
        Node { shared, audit, shards, tasks }
    }

    /// Starts to leave: refuses new work, notifies the peers, and releases the leases.
    pub async fn leave(&self) {
        log::info!("box {} is leaving", self.shared.me);
        self.shared.leave();
        peering::send_heartbeat(&self.shared).await;
        self.shards.release().await;
    }

    /// Stops the background tasks, after the last request was answered.
    pub async fn finish(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.audit.flush().await;
        log::info!("box {} has left", self.shared.me);
    }

    /// Stops at once, like a killed process.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shards.abort();
    }
}
