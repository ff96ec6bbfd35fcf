//! The state that the tasks of one box share.

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
use crate::shards::claims::ClaimRegistry;
use trackfront_core::units::scaled;

/// The fraction by which intervals vary at random, so that boxes do not act in step.
const JITTER: f64 = 0.2;

/// The state of one box.
pub struct Shared {
    /// The identity of this run of the box.
    pub me: NodeId,
    /// The location of the box.
    pub place: Place,
    /// The address by which peers reach this box.
    pub peer_address: String,
    /// The ports to everything outside.
    pub outside: Outside,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The audit trail.
    pub audit: Arc<dyn AuditSink>,
    /// The tree in force.
    pub in_force: InForce,
    /// The engines.
    pub fleet: Arc<Fleet>,
    /// The router that chooses engines.
    pub router: Box<dyn ChooseEngine>,
    /// The mean length of answers of each model.
    pub outputs: OutputMeans,
    /// The demand for models and adapters.
    pub demand: DemandMeter,
    /// The limits of callers.
    pub quotas: Quotas,
    /// The retry budget.
    pub retries: RetryBudget,
    /// The claims of calls that may run once.
    pub claims: ClaimRegistry,
    /// The other boxes.
    pub members: Mutex<Members>,
    /// The shards that this box owns, for the status page.
    pub owned: Mutex<BTreeMap<ShardId, ShardStatus>>,
    leaving: AtomicBool,
    rng: Mutex<ChaCha8Rng>,
}

impl Shared {
    /// Creates the state of a box.
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
            // Quota requests of an earlier process at this address had other numbers.
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
            claims: ClaimRegistry::default(),
            place,
            fleet,
            outside,
            members: Mutex::default(),
            owned: Mutex::default(),
            leaving: AtomicBool::new(false),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Returns the state of this box, as sent to its peers.
    pub fn state(&self) -> PeerState {
        if self.leaving.load(Ordering::SeqCst) {
            PeerState::Leaving
        } else if self.in_force.current().is_some() {
            PeerState::Serving
        } else {
            PeerState::Joining
        }
    }

    /// Sets the state to leaving, which is final.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns a new random identifier.
    pub fn draw_id(&self, prefix: &str) -> String {
        draw_id(prefix, &mut *self.rng.lock())
    }

    /// Calls `use_rng` with the random number generator of the box.
    pub fn with_rng<T>(&self, use_rng: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        use_rng(&mut self.rng.lock())
    }

    /// Sleeps for about `period`, with jitter.
    pub async fn sleep_about(&self, period: Duration) {
        let factor = self.rng.lock().random_range(1.0 - JITTER..1.0 + JITTER);
        self.outside.clock.sleep(scaled(period, factor)).await;
    }
}
