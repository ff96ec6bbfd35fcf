//! Shares among all boxes which software began a stream, so that a client may continue it at any of them.
//!
//! Each box remembers the streams that it relays and tells two keepers ([`keepers`]). While a service uses several versions
//! of its software, the streams are in the platform's table as well, and the versions of each service always are ([`rows`]).
//! A box that is asked to continue a stream asks its keepers ([`lookup`]), and continues it only with the software that
//! began it.

pub mod keepers;
pub mod lookup;
mod rows;

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;
use trackfront_core::ids::ServiceName;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::stream_origins::{
    RelayedStreams, SoftwareId, SoftwareInUse, StreamId, StreamOrigin, StreamOrigins,
};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::messages::Message;
use super::node::ServingNode;
use keepers::KeeperRanking;
use rows::StreamRows;

/// The interval at which a box looks whether anything is due.
const TICK: Duration = Duration::from_millis(200);

/// The minimum interval between two looks at the versions of all servers of a service.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// What a box knows about the streams that clients may continue.
pub struct StreamVersions {
    /// The streams that this box relays or did so lately.
    own: Mutex<RelayedStreams>,
    /// The streams that other boxes told this one, and those in rows that it read.
    told: Mutex<StreamOrigins>,
    in_use: Mutex<SoftwareInUse>,
    looks: Mutex<HashMap<ServiceName, Look>>,
    first_list: Mutex<Option<FirstList>>,
    ranking: Mutex<KeeperRanking>,
    rows: StreamRows,
    pending: Mutex<HashMap<u32, mpsc::UnboundedSender<Option<SoftwareId>>>>,
    last_number: AtomicU32,
    outgoing: Mutex<Vec<(Ipv4Addr, Message)>>,
    wake: Notify,
}

/// The last look at the versions of a service's servers.
#[derive(Clone, Copy, Debug)]
struct Look {
    list: StoreVersion,
    at: Moment,
    is_mixed: bool,
}

/// The versions in the first list of servers that this box had.
#[derive(Clone, Debug)]
struct FirstList {
    version: StoreVersion,
    at: Moment,
    versions: HashMap<ServiceName, BTreeSet<SoftwareId>>,
}

impl StreamVersions {
    /// Creates the state of a box that knows no streams. Requests are numbered from `number`, which should differ between
    /// starts of the box.
    pub fn new(number: u32) -> Self {
        Self {
            own: Mutex::default(),
            told: Mutex::default(),
            in_use: Mutex::default(),
            looks: Mutex::default(),
            first_list: Mutex::default(),
            ranking: Mutex::default(),
            rows: StreamRows::default(),
            pending: Mutex::default(),
            last_number: AtomicU32::new(number),
            outgoing: Mutex::default(),
            wake: Notify::new(),
        }
    }

    fn send(&self, messages: impl IntoIterator<Item = (Ipv4Addr, Message)>) {
        self.outgoing.lock().extend(messages);
        self.wake.notify_one();
    }

    fn known(&self, stream: StreamId, now: Moment) -> Option<SoftwareId> {
        let own = self.own.lock().get(stream, now);
        own.or_else(|| self.told.lock().get(stream, now))
    }
}

/// A stream that this box relays, until this is dropped.
pub struct RelayedStream {
    node: Arc<ServingNode>,
    stream: StreamId,
}

impl RelayedStream {
    /// Records that this box relays a stream, and tells its keepers.
    pub fn begin(node: Arc<ServingNode>, service: &ServiceName, origin: StreamOrigin) -> Self {
        node.stream_versions.own.lock().begin(origin);
        look(&node, service, node.now());
        keepers::tell_new(&node, origin);
        node.stream_versions.rows.add(origin.stream);
        Self { node, stream: origin.stream }
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        self.node.stream_versions.own.lock().end(self.stream, self.node.now());
    }
}

/// Keeps the origins of streams known, by other boxes and in the platform's table. Runs as long as the box does.
pub async fn maintain(node: Arc<ServingNode>) {
    let mut keepers = keepers::KeeperTask::default();
    let mut rows = rows::RowTask::default();
    loop {
        sleep(TICK).await;
        if !node.knows_servers() {
            continue;
        }
        look_at_services(&node);
        keepers.run(&node);
        rows.run(&node).await;
    }
}

/// Looks at the versions of all services with such streams. Another version may come when no stream begins.
fn look_at_services(node: &ServingNode) {
    let Some(config) = node.config.load_full() else { return };
    let now = node.now();
    let services = config.resumable_services();
    services.iter().for_each(|service| _ = look(node, service, now));
    record_first_list(node, &services, now);
}

fn record_first_list(node: &ServingNode, services: &BTreeSet<&ServiceName>, now: Moment) {
    let mut first_list = node.stream_versions.first_list.lock();
    if first_list.is_some() {
        return;
    }
    let directory = node.directory.lock();
    let versions_of = |service| versions(directory.of_service(service));
    let versions = services.iter().map(|service| ((*service).clone(), versions_of(service)));
    let versions = versions.collect();
    let version = directory.newest_version();
    *first_list = Some(FirstList { version, at: now, versions });
}

/// Returns the software versions of servers.
fn versions(servers: &[Arc<KnownServer>]) -> BTreeSet<SoftwareId> {
    let names: BTreeSet<_> = servers.iter().map(|server| &server.entry.software).collect();
    names.into_iter().map(SoftwareId::of).collect()
}

/// Returns whether a service uses several versions, or did so lately, as far as this box saw.
fn look(node: &ServingNode, service: &ServiceName, now: Moment) -> bool {
    let state = &node.stream_versions;
    let list = node.directory.lock().newest_version();
    let last = state.looks.lock().get(service).copied();
    if let Some(last) = last
        && (last.list == list || now.since(last.at) < LOOK_INTERVAL)
        && !(last.is_mixed && now.since(last.at) >= LOOK_INTERVAL)
    {
        return last.is_mixed;
    }
    let software = versions(node.directory.lock().of_service(service));
    let is_mixed = {
        let mut in_use = state.in_use.lock();
        in_use.record(service, software, now);
        in_use.is_mixed(service)
    };
    state.looks.lock().insert(service.clone(), Look { list, at: now, is_mixed });
    if is_mixed && !last.is_some_and(|last| last.is_mixed) {
        log::info!(service:%; "service uses several versions of its software");
        state.rows.add_all();
    }
    is_mixed
}
