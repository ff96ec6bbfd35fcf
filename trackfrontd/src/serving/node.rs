//! What a serving node knows, and the ports through which it acts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use trackfront_adapters::interface::{ClientInterface, ServerInterface};
use trackfront_adapters::serving_metrics::{KindLabel, ServingMetrics};
use trackfront_adapters::upstream::UpstreamPool;
use trackfront_core::ids::{BackendId, HallName};
use trackfront_core::ports::{Clock, Knowledge, Table};
use trackfront_core::serving::adapter_use::AdapterUse;
use trackfront_core::serving::affinity::PrefixIndex;
use trackfront_core::serving::cold::ColdTracker;
use trackfront_core::serving::config::ServingConfig;
use trackfront_core::serving::demand::DemandMeter;
use trackfront_core::serving::directory::{Directory, KnownServer};
use trackfront_core::serving::halls::Evacuations;
use trackfront_core::serving::load::LoadTracker;
use trackfront_core::serving::notices::NoticeTracker;
use trackfront_core::serving::refusal_retries::RefusalRetries;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::serving::retry_budget::RetryBudgets;
use trackfront_core::serving::saturation::Saturation;
use trackfront_core::units::Moment;

use crate::quotas::Quotas;

use super::config_freshness::ConfigFreshness;
use super::crashes::Crashes;
use super::exchange::Exchange;
use super::feed_relay::FeedState;
use super::missing_items::MissingItems;
use super::notices::NoticeOutbox;
use super::overlay::Overlay;
use super::peer_tracker::PeerTracker;
use super::permits::ServerPermits;
use super::quota::box_id;
use super::settings::ServingSettings;
use super::suspension::Suspensions;
use super::unusable_rows::UnusableRows;

/// The part of the time that a draining server goes on for, in which it is still sent what no
/// other can answer.
const DRAIN_PART: f64 = 0.25;

/// The part of that time, from when the server may have begun to drain, after which nothing is sent to it. A box
/// whose hall is read late learns late, 0.85 of the time after the server's word at the worst that is waited for: with
/// the part above alone the last request would go there 1.1 times the promised time after it.
const DRAIN_END_PART: f64 = 0.6;

/// How long after its start a node waits to learn of the others before it acts alone.
const ALONE_FOR: Duration = Duration::from_millis(2_000);

/// How long after the others were listed they have been heard: a round of digests to many nodes.
const HEARD_AFTER: Duration = Duration::from_millis(800);

/// The outside of a serving node.
#[derive(Clone)]
pub struct ServingPorts {
    /// The configuration and the servers.
    pub knowledge: Arc<dyn Knowledge>,
    /// The platform's table, for the lease and the nodes.
    pub table: Arc<dyn Table>,
    /// The interface to clients.
    pub clients: Arc<dyn ClientInterface>,
    /// The interface to servers.
    pub servers: Arc<dyn ServerInterface>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// A serving node. Each part of the state stands under its own lock; no lock is held over a wait.
pub struct ServingNode {
    /// The settings.
    pub settings: ArcSwap<ServingSettings>,
    /// The outside.
    pub ports: ServingPorts,
    /// Connections to servers.
    pub pool: UpstreamPool,
    /// The metrics.
    pub metrics: ServingMetrics,
    /// The configuration in force.
    pub config: ArcSwapOption<ServingConfig>,
    /// How new it is.
    pub config_freshness: ConfigFreshness,
    /// The servers.
    pub directory: Mutex<Directory>,
    /// The halls that the operator empties.
    pub evacuations: Mutex<Evacuations>,
    /// The load of servers.
    pub loads: Mutex<LoadTracker>,
    /// The servers that are cold.
    pub cold: Mutex<ColdTracker>,
    /// What servers said of themselves in their answers.
    pub notices: Mutex<NoticeTracker>,
    /// What of that other boxes are yet to be told.
    pub notice_outbox: NoticeOutbox,
    /// Turns at servers that named a limit.
    pub permits: ServerPermits,
    /// Prompts that engines keep.
    pub prompt_memory: Mutex<PrefixIndex>,
    /// The budget of retries.
    pub retry_budgets: Mutex<RetryBudgets>,
    /// What share of requests found no free server.
    pub saturation: Mutex<Saturation>,
    /// Which requests come back after a refusal.
    pub refusal_retries: Mutex<RefusalRetries>,
    /// The demand for models.
    pub demand: Mutex<DemandMeter>,
    /// The adapters that requests in progress use.
    pub adapter_use: Mutex<AdapterUse>,
    /// What is lacking, and who lacks it.
    pub missing_items: MissingItems,
    /// Notes of the giver of orders.
    pub overlay: Mutex<Overlay>,
    /// The limits of client accounts.
    pub quotas: Quotas,
    /// Requests that crash servers.
    pub crashes: Crashes,
    /// The other nodes.
    pub peers: Mutex<PeerTracker>,
    /// What readers of this hall relay from the platform.
    pub feed_state: Mutex<FeedState>,
    /// Rows of the platform that name no server.
    pub unusable_rows: UnusableRows,
    /// Copies that boxes give each other.
    pub exchange: Exchange,
    /// Told when something came from a reader.
    pub feed_update_received: Notify,
    /// Told when the machine was suspended.
    pub suspensions: Suspensions,
    /// Short names of servers and items.
    pub names: Mutex<ShortNames>,
    /// Told when servers or notes have changed.
    pub servers_changed: Notify,
    /// Told when peers should hear of something at once.
    pub digest_requested: Notify,
    /// Told when something is asked for that no engine holds.
    pub missing_item_added: Notify,
    started: Moment,
    /// Until when a box that knows no other does not act alone.
    not_alone_until: Mutex<Moment>,
    knows_servers: AtomicBool,
    nodes_listed_at: Mutex<Option<Moment>>,
    first_list_over: watch::Sender<bool>,
    told_of_boxes: AtomicBool,
    is_one_of_many: AtomicBool,
    config_row: AtomicU64,
    config_row_in_force: AtomicU64,
    store_lost: AtomicBool,
    store_failed_at: Mutex<Option<Moment>>,
    stopping: AtomicBool,
}

impl ServingNode {
    /// Makes a node that knows nothing yet.
    pub fn new(settings: ServingSettings, ports: ServingPorts) -> Arc<Self> {
        let budgets = RetryBudgets::new(settings.promises.budget());
        let directory = Directory::new(settings.promises.heartbeat());
        let started = ports.clock.now();
        let peers = Mutex::new(PeerTracker::new(settings.listed_box()));
        // Questions of an earlier process at this address had other numbers, those for turns as well.
        let quotas = Quotas::new(box_id(settings.node.ip), rand::random());
        Arc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            pool: UpstreamPool::new(ports.clock.clone()),
            ports,
            metrics: ServingMetrics::default(),
            config: ArcSwapOption::empty(),
            config_freshness: ConfigFreshness::default(),
            directory: Mutex::new(directory),
            evacuations: Mutex::default(),
            loads: Mutex::default(),
            cold: Mutex::default(),
            notices: Mutex::default(),
            notice_outbox: NoticeOutbox::default(),
            permits: ServerPermits::new(rand::random()),
            prompt_memory: Mutex::default(),
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
            not_alone_until: Mutex::new(started + ALONE_FOR),
            knows_servers: AtomicBool::new(false),
            nodes_listed_at: Mutex::default(),
            first_list_over: watch::Sender::new(false),
            told_of_boxes: AtomicBool::new(false),
            is_one_of_many: AtomicBool::new(false),
            config_row: AtomicU64::new(0),
            config_row_in_force: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
            store_failed_at: Mutex::default(),
            stopping: AtomicBool::new(false),
        })
    }

    /// Returns how long ago the node started.
    pub fn age(&self) -> Duration {
        self.now().since(self.started)
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        self.ports.clock.now()
    }

    /// Returns whether the node takes new connections.
    pub fn is_ready(&self) -> bool {
        let knows = self.knows_servers() && self.config.load().is_some();
        knows && !self.is_stopping()
    }

    /// Notes that the servers are known.
    pub fn set_knows_servers(&self) {
        self.knows_servers.store(true, Ordering::Relaxed);
    }

    /// Returns whether the servers are known.
    pub fn knows_servers(&self) -> bool {
        self.knows_servers.load(Ordering::Relaxed)
    }

    /// Notes that the other boxes were listed, all that start together among them.
    pub fn set_boxes_listed(&self) {
        self.nodes_listed_at.lock().get_or_insert(self.now());
    }

    /// Returns whether all other boxes were listed.
    pub fn are_boxes_listed(&self) -> bool {
        self.nodes_listed_at.lock().is_some()
    }

    /// Notes that the first attempt to list the other boxes is over, whatever came of it.
    pub fn finish_first_listing(&self) {
        self.first_list_over.send_replace(true);
    }

    /// Waits for the end of the first attempt to list the other boxes.
    pub async fn first_listing_finished(&self) {
        let mut over = self.first_list_over.subscribe();
        // The sender lives as long as this node, so the wait cannot fail.
        let _ = over.wait_for(|over| *over).await;
    }

    /// Notes that another box told of all.
    pub fn set_box_list_received(&self) {
        self.told_of_boxes.store(true, Ordering::Relaxed);
    }

    /// Returns whether another box told of all, this one among them.
    pub fn has_received_box_list(&self) -> bool {
        self.told_of_boxes.load(Ordering::Relaxed)
    }

    /// Notes that others start with this box, or are so many that it takes from them what it lacks.
    pub fn set_prefers_snapshots(&self) {
        self.is_one_of_many.store(true, Ordering::Relaxed);
    }

    /// Returns whether this box should have what it lacks from others, though they may not have it yet.
    pub fn prefers_snapshots(&self) -> bool {
        self.is_one_of_many.load(Ordering::Relaxed)
    }

    /// Returns the newest row of the configuration that was looked at, put in force or refused.
    pub fn config_row(&self) -> u64 {
        self.config_row.load(Ordering::Relaxed)
    }

    /// Returns the row of the configuration in force. What is in force may be newer, never older.
    pub fn config_row_in_force(&self) -> u64 {
        self.config_row_in_force.load(Ordering::Relaxed)
    }

    /// Notes a row of the configuration, and whether it is in force.
    pub fn record_config_row(&self, row: u64, in_force: bool) {
        self.config_row.fetch_max(row, Ordering::Relaxed);
        if in_force {
            self.config_row_in_force.fetch_max(row, Ordering::Relaxed);
            self.config_freshness.set_in_force(row);
        }
    }

    /// Returns whether the box can tell at `now` that the keys in force are good. Asked before the accounts are looked
    /// at, since those that are put in force meanwhile are newer.
    pub fn has_current_keys(&self, now: Moment) -> bool {
        let terms = self.settings.load().promises.keys();
        terms.is_none_or(|terms| self.config_freshness.is_usable(terms, now))
    }

    /// Returns whether the node has just started and does not know the others yet. What one node
    /// does for all is not begun then, or every node of a deployment that starts would do it.
    pub fn is_discovering_peers(&self) -> bool {
        let now = self.now();
        let listed_at = *self.nodes_listed_at.lock();
        let is_listed = listed_at.is_some_and(|at| now.since(at) >= HEARD_AFTER);
        now < *self.not_alone_until.lock() && !is_listed
    }

    /// Notes that for so long it will not be known whether there are others.
    pub fn extend_discovery(&self, span: Duration) {
        *self.not_alone_until.lock() = self.now() + span + ALONE_FOR;
    }

    /// Notes whether the platform's store last failed this node.
    pub fn set_store_lost(&self, lost: bool) {
        self.store_lost.store(lost, Ordering::Relaxed);
        if lost {
            *self.store_failed_at.lock() = Some(self.now());
        }
    }

    /// Returns when the platform's store last failed this node.
    pub fn store_failed_at(&self) -> Option<Moment> {
        *self.store_failed_at.lock()
    }

    /// Returns whether the platform's store last failed this node.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Notes that an item is asked for that no engine holds, and has the holder of the lease told.
    pub fn add_missing_item(&self, item: &ModelRef) {
        self.missing_items.record(item);
        self.missing_item_added.notify_one();
        self.digest_requested.notify_one();
    }

    /// Returns whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins to stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        // Requests that are held for something are refused now.
        self.servers_changed.notify_waiters();
    }

    /// Returns whether a server takes new requests, by its row and by its own word.
    pub fn accepts_new(&self, server: &KnownServer) -> bool {
        server.is_ready() && self.notices.lock().leaving_since(&server.entry.id).is_none()
    }

    /// Returns how long after this box learned that it drains a server may still be sent what no other answers.
    pub fn drain_grace(&self) -> Duration {
        self.settings.load().promises.drain().mul_f64(DRAIN_PART)
    }

    /// Returns how long after it may have begun to drain.
    pub fn drain_end(&self) -> Duration {
        self.settings.load().promises.drain().mul_f64(DRAIN_END_PART)
    }

    /// Notes whether a dependency is there.
    pub fn set_dependency(&self, kind: &'static str, is_there: bool) {
        self.metrics.dependencies.get_or_create(&KindLabel { kind }).set(i64::from(is_there));
    }
}

/// Names of 32 bits for servers and items, for messages between nodes.
#[derive(Debug, Default)]
pub struct ShortNames {
    servers: HashMap<u32, BackendId>,
    items: HashMap<u32, ModelRef>,
}

impl ShortNames {
    /// Learns a server.
    pub fn add_server(&mut self, id: &BackendId) {
        self.servers.insert(short_server(id), id.clone());
    }

    /// Forgets a server that left.
    pub fn remove_server(&mut self, id: &BackendId) {
        let short = short_server(id);
        if self.servers.get(&short) == Some(id) {
            self.servers.remove(&short);
        }
    }

    /// Learns the items of a configuration.
    pub fn set_items(&mut self, config: &ServingConfig) {
        let engines = config.services.values().filter_map(|service| service.engine.as_ref());
        let mut items = HashMap::new();
        for (name, model) in engines.flat_map(|engine| &engine.models) {
            let plain = ModelRef { model: name.clone(), adapter: None };
            items.insert(short_item(&plain), plain);
            for adapter in &model.adapters {
                let item = ModelRef { model: name.clone(), adapter: Some(adapter.clone()) };
                items.insert(short_item(&item), item);
            }
        }
        self.items = items;
    }

    /// Returns the server with a short name.
    pub fn server(&self, short: u32) -> Option<&BackendId> {
        self.servers.get(&short)
    }

    /// Returns the item with a short name.
    pub fn item(&self, short: u32) -> Option<&ModelRef> {
        self.items.get(&short)
    }
}

/// Returns a server's short name.
pub fn short_server(id: &BackendId) -> u32 {
    short(id.as_str().as_bytes())
}

/// Returns a zone's short name.
pub fn short_hall(zone: &HallName) -> u32 {
    short(zone.as_str().as_bytes())
}

/// Returns an item's short name.
pub fn short_item(item: &ModelRef) -> u32 {
    let adapter = item.adapter.as_ref().map_or("", |adapter| adapter.as_str());
    short(format!("{}/{adapter}", item.model).as_bytes())
}

fn short(bytes: &[u8]) -> u32 {
    let hash = blake3::hash(bytes);
    u32::from_le_bytes(hash.as_bytes()[..4].try_into().expect("a hash has 32 bytes"))
}
