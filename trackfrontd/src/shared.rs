//! What the tasks of one box share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_adapters::metrics::Metrics;
use trackfront_adapters::wire::operator::ShardStatus;
use trackfront_core::audit::AuditSink;
use trackfront_core::demand::DemandMeter;
use trackfront_core::fleet::Fleet;
use trackfront_core::ids::{NodeId, ShardId, draw_id};
use trackfront_core::members::Members;
use trackfront_core::ports::peers::PeerState;
use trackfront_core::retry::RetryBudget;
use trackfront_core::routing::ChooseEngine;

use crate::in_force::InForce;
use crate::limits;
use crate::outputs::OutputMeans;
use crate::outside::Outside;
use crate::quotas::Quotas;
use crate::settings::Place;
use crate::shards::claims::ClaimDesks;

/// The share by which a period is varied, so that boxes do not act in step.
const JITTER: f64 = 0.2;

/// The state of one box.
pub struct Shared {
    /// The identity of this run of the box.
    pub me: NodeId,
    /// Where the box is.
    pub place: Place,
    /// The address by which peers reach this box.
    pub peer_address: String,
    /// Everything outside.
    pub outside: Outside,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The audit trail.
    pub audit: Arc<dyn AuditSink>,
    /// The tree in force.
    pub in_force: InForce,
    /// The engines.
    pub fleet: Arc<Fleet>,
    /// Chooses engines.
    pub router: Box<dyn ChooseEngine>,
    /// How long answers of each model are, on average.
    pub outputs: OutputMeans,
    /// How much models and adapters are asked for.
    pub demand: DemandMeter,
    /// The limits of callers.
    pub quotas: Quotas,
    /// How many retries may be sent.
    pub retries: RetryBudget,
    /// Where claims of calls that may run once come in.
    pub claims: ClaimDesks,
    /// The other boxes.
    pub members: Mutex<Members>,
    /// The shards that this box owns, for the status.
    pub owned: Mutex<BTreeMap<ShardId, ShardStatus>>,
    leaving: AtomicBool,
    rng: Mutex<ChaCha8Rng>,
}

impl Shared {
    /// Makes the state of a box.
    pub fn new(
        me: NodeId,
        place: Place,
        peer_address: String,
        outside: Outside,
        metrics: Arc<Metrics>,
        audit: Arc<dyn AuditSink>,
        seed: u64,
    ) -> Self {
        let fleet = Arc::new(Fleet::default());
        Self {
            // Questions of an earlier process at this address had other numbers.
            quotas: Quotas::new(limits::box_id(&peer_address), seed as u32),
            me,
            peer_address,
            metrics,
            audit,
            in_force: InForce::default(),
            router: outside.chooser(fleet.clone(), &place.hall),
            outputs: OutputMeans::default(),
            demand: DemandMeter::default(),
            retries: RetryBudget::default(),
            claims: ClaimDesks::default(),
            place,
            fleet,
            outside,
            members: Mutex::default(),
            owned: Mutex::default(),
            leaving: AtomicBool::new(false),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Returns the state that this box tells its peers.
    pub fn state(&self) -> PeerState {
        if self.leaving.load(Ordering::SeqCst) {
            PeerState::Leaving
        } else if self.in_force.current().is_some() {
            PeerState::Serving
        } else {
            PeerState::Joining
        }
    }

    /// Makes this box leave; that is never taken back.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Draws a new identifier.
    pub fn draw_id(&self, prefix: &str) -> String {
        draw_id(prefix, &mut *self.rng.lock())
    }

    /// Uses the box's source of random numbers.
    pub fn with_rng<T>(&self, job: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        job(&mut self.rng.lock())
    }

    /// Waits for about `period`.
    pub async fn rest(&self, period: Duration) {
        let factor = self.rng.lock().random_range(1.0 - JITTER..1.0 + JITTER);
        self.outside.clock.sleep(period.mul_f64(factor)).await;
    }
}
