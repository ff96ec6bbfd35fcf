//! The shared state of a serving node and the ports to its surroundings.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use trackfront_adapters::connect::Connect;
use trackfront_adapters::interface::{ClientInterface, ServerInterface};
use trackfront_adapters::serving_metrics::{KindLabel, ServingMetrics};
use trackfront_adapters::tunnel::TunnelClient;
use trackfront_adapters::upstream::UpstreamPool;
use trackfront_core::ports::{Clock, Knowledge, Table};
use trackfront_core::serving::adapter_use::AdapterUse;
use trackfront_core::serving::affinity::PrefixIndex;
use trackfront_core::serving::cold::ColdTracker;
use trackfront_core::serving::config::ServingConfig;
use trackfront_core::serving::demand::DemandMeter;
use trackfront_core::serving::directory::{Directory, KnownServer};
use trackfront_core::serving::halls::Evacuations;
use trackfront_core::serving::load::LoadTracker;
use trackfront_core::serving::memory_budget::MemoryBudget;
use trackfront_core::serving::notices::NoticeTracker;
use trackfront_core::serving::overload::ConnectionGate;
use trackfront_core::serving::reach::ReachTracker;
use trackfront_core::serving::refusal_retries::RefusalRetries;
use trackfront_core::serving::relays::RelaySelector;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::serving::retry_budget::RetryBudgets;
use trackfront_core::serving::saturation::Saturation;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::{Moment, scaled};

use crate::quotas::Quotas;

use super::config_freshness::ConfigFreshness;
use super::config_rows::{ConfigOutcome, ConfigRows};
use super::crashes::Crashes;
use super::engine_loads::EngineLoads;
use super::exchange::Exchange;
use super::exit::Exit;
use super::feed_relay::FeedState;
use super::missing_items::MissingItems;
use super::notices::NoticeOutbox;
use super::overlay::Overlay;
use super::peer_tracker::PeerTracker;
use super::permits::ServerPermits;
use super::quota::box_id;
use super::reach::carry::CarriedConnections;
use super::restoration::StoreEra;
use super::room::ServerRoom;
use super::settings::ServingSettings;
use super::short_names::ShortNames;
use super::stream_origins::StreamVersions;
use super::suspension::Suspensions;
use super::unusable_rows::UnusableRows;

/// The fraction of the drain time, from when this box learned of the drain, during which a draining
/// server may still be sent requests that no other server can answer.
const DRAIN_GRACE_FRACTION: f64 = 0.25;

/// The fraction of the drain time, from when the server may have begun to drain, after which it is
/// sent nothing. A box whose hall's reader failed learns of the drain up to 0.85 of the drain time
/// late; with [`DRAIN_GRACE_FRACTION`] alone it would send the last request 1.1 drain times after
/// the server announced the drain.
const DRAIN_END_FRACTION: f64 = 0.6;

/// The longest time after its start that a node waits to discover its peers before it acts for the
/// whole deployment.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_000);

/// The time after the peers were listed until their digests have arrived: a round of digests in a
/// large fleet.
const FIRST_DIGEST_TIME: Duration = Duration::from_millis(800);

/// The interfaces of a serving node to its surroundings.
#[derive(Clone)]
pub struct ServingPorts {
    /// The source of the configuration and the server list.
    pub knowledge: Arc<dyn Knowledge>,
    /// The platform's table, which stores the order lease and the rows of boxes.
    pub table: Arc<dyn Table>,
    /// The interface to clients.
    pub clients: Arc<dyn ClientInterface>,
    /// The interface to backend servers.
    pub servers: Arc<dyn ServerInterface>,
    /// The clock that all decisions use.
    pub clock: Arc<dyn Clock>,
    /// Opens the connections to backend servers.
    pub connect: Arc<dyn Connect>,
}

/// The shared state of a serving node. Each part has its own lock, and no lock is held across an
/// await.
pub struct ServingNode {
    /// The settings, replaced on reload.
    pub settings: ArcSwap<ServingSettings>,
    /// The interfaces to the node's surroundings.
    pub ports: ServingPorts,
    /// The connections to backend servers.
    pub pool: UpstreamPool,
    /// The metrics.
    pub metrics: ServingMetrics,
    /// The configuration in force, if any.
    pub config: ArcSwapOption<ServingConfig>,
    /// The time since the configuration in force was confirmed to be the newest.
    pub config_freshness: ConfigFreshness,
    /// The known backend servers.
    pub directory: Mutex<Directory>,
    /// The halls that the operator has evacuated.
    pub evacuations: Mutex<Evacuations>,
    /// The load of each server.
    pub loads: Mutex<LoadTracker>,
    /// The servers that are cold, and what they may be sent.
    pub cold: Mutex<ColdTracker>,
    /// Notices that servers gave in their responses.
    pub notices: Mutex<NoticeTracker>,
    /// Whether the other boxes were asked for the notices that they know.
    pub notices_fetched: watch::Sender<bool>,
    /// Notices that are yet to be sent to other boxes.
    pub notice_outbox: NoticeOutbox,
    /// Permits for servers that named a limit.
    pub permits: ServerPermits,
    /// Room at brittle servers.
    pub room: ServerRoom,
    /// The load of engines, as their coordinators know it.
    pub engine_loads: EngineLoads,
    /// The bytes of requests and answers that this box holds.
    pub memory: Arc<MemoryBudget>,
    /// Which software began the streams that clients may continue.
    pub stream_versions: StreamVersions,
    /// Prompt prefixes that engines have cached.
    pub prompt_memory: Mutex<PrefixIndex>,
    /// Which servers this box reaches by itself.
    pub reach: Mutex<ReachTracker>,
    /// Which boxes carry connections for this one.
    pub relays: Mutex<RelaySelector>,
    /// The connections to servers that other boxes carry for this one.
    pub tunnels: TunnelClient,
    /// The connections that this box carries for others.
    pub carried: CarriedConnections,
    /// The retry budgets of the services.
    pub retry_budgets: Mutex<RetryBudgets>,
    /// The fraction of requests that found no free server.
    pub saturation: Mutex<Saturation>,
    /// Requests that clients send again after a refusal.
    pub refusal_retries: Mutex<RefusalRetries>,
    /// The demand for models and adapters.
    pub demand: Mutex<DemandMeter>,
    /// The adapters that requests in progress use.
    pub adapter_use: Mutex<AdapterUse>,
    /// Requested items that no engine holds, and the boxes that are missing them.
    pub missing_items: MissingItems,
    /// Changes by the order holder that the server list does not show yet.
    pub overlay: Mutex<Overlay>,
    /// The limits of client accounts.
    pub quotas: Quotas,
    /// Requests that crash servers.
    pub crashes: Crashes,
    /// Bounds the new connections of clients while this box has too much work.
    pub connection_gate: Mutex<ConnectionGate>,
    /// The other boxes.
    pub peers: Mutex<PeerTracker>,
    /// The progress of the platform's feeds, as this box and its hall's reader see it.
    pub feed_state: Mutex<FeedState>,
    /// Rows of the server list that do not describe a usable server.
    pub unusable_rows: UnusableRows,
    /// The snapshots that boxes fetch from each other.
    pub exchange: Exchange,
    /// Notified when an update from a feed reader has arrived.
    pub feed_update_received: Notify,
    /// Notified when the machine was suspended.
    pub suspensions: Suspensions,
    /// The short names of servers and items.
    pub names: Mutex<ShortNames>,
    /// Notified when servers or overlay entries have changed.
    pub servers_changed: Notify,
    /// Notified when a digest should be sent early.
    pub digest_requested: Notify,
    /// Notified when an item is requested that no engine holds.
    pub missing_item_added: Notify,
    started: Moment,
    /// Until when a box that knows no peers leaves work for the whole deployment alone.
    discovery_ends_at: Mutex<Moment>,
    knows_servers: AtomicBool,
    boxes_listed_at: Mutex<Option<Moment>>,
    first_listing_over: watch::Sender<bool>,
    box_list_received: AtomicBool,
    new_to_store: AtomicBool,
    has_run_before: AtomicBool,
    prefers_snapshots: AtomicBool,
    config_rows: Mutex<ConfigRows>,
    /// The era of the platform's store.
    pub store_era: StoreEra,
    /// When this box last wrote its row.
    pub box_row_written_at: Mutex<Option<Moment>>,
    store_lost: AtomicBool,
    store_failed_at: Mutex<Option<Moment>>,
    stopping: AtomicBool,
    /// When this box exits, if it is stopping.
    pub exit: Exit,
}

impl ServingNode {
    /// Creates a node without configuration, servers or peers.
    pub fn new(settings: ServingSettings, ports: ServingPorts) -> Arc<Self> {
        let budgets = RetryBudgets::new(settings.promises.budget());
        let directory = Directory::new(settings.promises.heartbeat());
        let started = ports.clock.now();
        let peers = Mutex::new(PeerTracker::new(settings.listed_box()));
        // Random first numbers keep replies to an earlier process at this address apart, for
        // permits as well.
        let quotas = Quotas::new(box_id(settings.node.ip), rand::random());
        let memory = MemoryBudget::new(settings.resources.held_bytes());
        Arc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            memory,
            pool: UpstreamPool::new(ports.clock.clone(), ports.connect.clone()),
            ports,
            metrics: ServingMetrics::default(),
            config: ArcSwapOption::empty(),
            config_freshness: ConfigFreshness::default(),
            directory: Mutex::new(directory),
            evacuations: Mutex::default(),
            loads: Mutex::default(),
            cold: Mutex::default(),
            notices: Mutex::default(),
            notices_fetched: watch::Sender::new(false),
            notice_outbox: NoticeOutbox::default(),
            permits: ServerPermits::new(rand::random()),
            room: ServerRoom::new(rand::random()),
            engine_loads: EngineLoads::new(rand::random()),
            stream_versions: StreamVersions::new(rand::random()),
            connection_gate: Mutex::default(),
            prompt_memory: Mutex::default(),
            reach: Mutex::default(),
            relays: Mutex::default(),
            tunnels: TunnelClient::default(),
            carried: CarriedConnections::default(),
            retry_budgets: Mutex::new(budgets),
            saturation: Mutex::default(),
            refusal_retries: Mutex::default(),
            demand: Mutex::default(),
            adapter_use: Mutex::default(),
            missing_items: MissingItems::default(),
            overlay: Mutex::default(),
            quotas,
            crashes: Crashes::default(),
            peers,
            feed_state: Mutex::default(),
            feed_update_received: Notify::new(),
            suspensions: Suspensions::default(),
            unusable_rows: UnusableRows::default(),
            exchange: Exchange::default(),
            names: Mutex::default(),
            servers_changed: Notify::new(),
            digest_requested: Notify::new(),
            missing_item_added: Notify::new(),
            started,
            discovery_ends_at: Mutex::new(started + PEER_DISCOVERY_TIME),
            knows_servers: AtomicBool::new(false),
            boxes_listed_at: Mutex::default(),
            first_listing_over: watch::Sender::new(false),
            box_list_received: AtomicBool::new(false),
            new_to_store: AtomicBool::new(false),
            has_run_before: AtomicBool::new(false),
            prefers_snapshots: AtomicBool::new(false),
            config_rows: Mutex::default(),
            store_era: StoreEra::default(),
            box_row_written_at: Mutex::default(),
            store_lost: AtomicBool::new(false),
            store_failed_at: Mutex::default(),
            stopping: AtomicBool::new(false),
            exit: Exit::default(),
        })
    }

    /// Returns the time since the node started.
    pub fn age(&self) -> Duration {
        self.now().since(self.started)
    }

    /// Returns the current time of the node's clock.
    pub fn now(&self) -> Moment {
        self.ports.clock.now()
    }

    /// Returns whether the node accepts new connections.
    pub fn is_ready(&self) -> bool {
        let is_informed = self.knows_servers() && self.config.load().is_some();
        is_informed && !self.is_stopping()
    }

    /// Records that the server list is known.
    pub fn set_knows_servers(&self) {
        self.knows_servers.store(true, Ordering::Relaxed);
    }

    /// Returns whether the server list is known.
    pub fn knows_servers(&self) -> bool {
        self.knows_servers.load(Ordering::Relaxed)
    }

    /// Records that all other boxes were listed, including those that start together with this one.
    pub fn set_boxes_listed(&self) {
        self.boxes_listed_at.lock().get_or_insert(self.now());
    }

    /// Returns whether all other boxes were listed.
    pub fn are_boxes_listed(&self) -> bool {
        self.boxes_listed_at.lock().is_some()
    }

    /// Records that the first attempt to list the other boxes has finished, successfully or not.
    pub fn finish_first_listing(&self) {
        self.first_listing_over.send_replace(true);
    }

    /// Waits until the first attempt to list the other boxes has finished.
    pub async fn first_listing_finished(&self) {
        let mut over = self.first_listing_over.subscribe();
        // The sender lives as long as this node, so the wait cannot fail.
        let _ = over.wait_for(|is_over| *is_over).await;
    }

    /// Records that another box sent the full list of boxes.
    pub fn set_box_list_received(&self) {
        self.box_list_received.store(true, Ordering::Relaxed);
    }

    /// Returns whether another box sent a full list of boxes that contains this one.
    pub fn has_received_box_list(&self) -> bool {
        self.box_list_received.load(Ordering::Relaxed)
    }

    /// Records that the platform's store had no row of this box when it started.
    pub fn set_new_to_store(&self) {
        self.new_to_store.store(true, Ordering::Relaxed);
    }

    /// Returns whether the platform's store had no row of this box when it started.
    pub fn is_new_to_store(&self) -> bool {
        self.new_to_store.load(Ordering::Relaxed)
    }

    /// Records that the platform's store had a row of this box when it started.
    pub fn set_has_run_before(&self) {
        self.has_run_before.store(true, Ordering::Relaxed);
    }

    /// Returns whether this box is known to have run before its start. `false` also if the store could not be read.
    pub fn has_run_before(&self) -> bool {
        self.has_run_before.load(Ordering::Relaxed)
    }

    /// Makes this box wait for snapshots from its peers, because they start together with it or are
    /// many.
    pub fn set_prefers_snapshots(&self) {
        self.prefers_snapshots.store(true, Ordering::Relaxed);
    }

    /// Returns whether this box waits for snapshots from its peers, which may not have them yet.
    pub fn prefers_snapshots(&self) -> bool {
        self.prefers_snapshots.load(Ordering::Relaxed)
    }

    /// Returns the newest configuration row that was examined, whether it was put in force or not.
    pub fn config_row(&self) -> StoreVersion {
        self.config_rows.lock().examined
    }

    /// Returns the row of the configuration in force. The configuration itself may be newer, but
    /// never older.
    pub fn config_row_in_force(&self) -> StoreVersion {
        self.config_rows.lock().in_force
    }

    /// Returns the newest examined row that other boxes have to examine as well.
    pub fn config_row_to_relay(&self) -> StoreVersion {
        self.config_rows.lock().to_relay
    }

    /// Records an examined configuration row and what became of it.
    pub fn record_config_row(&self, row: StoreVersion, outcome: ConfigOutcome) {
        self.config_rows.lock().record(row, outcome);
        if outcome == ConfigOutcome::InForce {
            self.config_freshness.set_in_force(row);
        }
    }

    /// Returns whether the keys in force are known at `now` to be current. Call this before looking
    /// up accounts: those that are put in force in between are only newer.
    pub fn has_current_keys(&self, now: Moment) -> bool {
        let terms = self.settings.load().promises.keys();
        terms.is_none_or(|terms| self.config_freshness.is_usable(terms, now))
    }

    /// Returns whether the node has just started and does not know its peers yet. It leaves work
    /// for the whole deployment alone until then; otherwise every node of a starting deployment
    /// would do it.
    pub fn is_discovering_peers(&self) -> bool {
        let now = self.now();
        let listed_at = *self.boxes_listed_at.lock();
        let has_digests = listed_at.is_some_and(|at| now.since(at) >= FIRST_DIGEST_TIME);
        now < *self.discovery_ends_at.lock() && !has_digests
    }

    /// Extends peer discovery, because the peers will not be listed for another `span`.
    pub fn extend_discovery(&self, span: Duration) {
        *self.discovery_ends_at.lock() = self.now() + span + PEER_DISCOVERY_TIME;
    }

    /// Records whether this node's last call to the platform's store failed.
    pub fn set_store_lost(&self, lost: bool) {
        self.store_lost.store(lost, Ordering::Relaxed);
        if lost {
            *self.store_failed_at.lock() = Some(self.now());
        }
    }

    /// Returns when a call to the platform's store last failed.
    pub fn store_failed_at(&self) -> Option<Moment> {
        *self.store_failed_at.lock()
    }

    /// Returns whether this node's last call to the platform's store failed.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Records that an item was requested that no engine holds, and requests an early report to the
    /// order holder.
    pub fn add_missing_item(&self, item: &ModelRef) {
        self.missing_items.record(item);
        self.missing_item_added.notify_one();
        self.digest_requested.notify_one();
    }

    /// Returns whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Starts stopping the node.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        // Wakes held requests, which are refused from now on.
        self.servers_changed.notify_waiters();
    }

    /// Returns whether this box is cut off from all servers.
    pub fn is_cut_off(&self) -> bool {
        self.reach.lock().cut_off_since().is_some()
    }

    /// Returns whether connections to several servers fail and none has opened since, so that this box may be cut off.
    pub fn is_failing(&self) -> bool {
        self.reach.lock().failing_since().is_some()
    }

    /// Returns whether a server accepts new requests, according to its row and its notices.
    pub fn accepts_new(&self, server: &KnownServer) -> bool {
        server.is_ready() && self.notices.lock().leaving_since(&server.entry.id).is_none()
    }

    /// Returns the time after this box learned of a drain during which the server may still be sent
    /// requests that no other server can answer.
    pub fn drain_grace(&self) -> Duration {
        scaled(self.settings.load().promises.drain(), DRAIN_GRACE_FRACTION)
    }

    /// Returns the time after a server may have begun to drain from which it is sent nothing.
    pub fn drain_end(&self) -> Duration {
        scaled(self.settings.load().promises.drain(), DRAIN_END_FRACTION)
    }

    /// Sets the metric that says whether a dependency is available.
    pub fn set_dependency(&self, kind: &'static str, is_available: bool) {
        self.metrics.dependencies.get_or_create(&KindLabel { kind }).set(i64::from(is_available));
    }
}
