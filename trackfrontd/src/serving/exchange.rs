//! Snapshots that boxes fetch from each other, such as the configuration in force and the server
//! list.
//!
//! If every box read the platform's store itself, each change of the configuration would cost one
//! call for each box, and each start of a box two more. A box asks others of its hall first and
//! reads the store only if none of them has what it is missing: 1,204 calls instead of 2,111 on a
//! day of 90 boxes. A snapshot is checked like the content of the store, and one that is older than
//! a box's state changes nothing.
//!
//! Snapshots are encoded with `bincode`, compressed with deflate and sent over HTTP/2. A snapshot
//! of the servers holds only the changes since the version that the client knows, if the other box
//! knows all of them.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Response, StatusCode};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;
use trackfront_adapters::http_client::{AnswerTimeouts, HttpClient, HttpError, request, with_body};
use trackfront_adapters::http_server::{Body, response};
use trackfront_core::ports::StoredConfig;
use trackfront_core::serving::config::ServingConfig;
use trackfront_core::serving::crashes::CrashReport;
use trackfront_core::serving::directory::DirectoryUpdate;
use trackfront_core::serving::halls::HallStatus;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::{Moment, secs_to_duration};

use super::config_freshness::RowConfirmation;
use super::crashes;
use super::delegates::ListedBox;
use super::follow;
use super::messages::NoticeRecord;
use super::node::ServingNode;
use super::notices;
use super::packing::{UnpackError, pack, unpack};

/// The path of the configuration, followed by the bits of the row version that the client has.
const CONFIG_PATH: &str = "/copy/3/config/";

/// The path of the server list, followed by the bits of the version that the client knows, 0 for
/// the whole list.
const SERVERS_PATH: &str = "/copy/3/servers/";

/// The path of the list of boxes.
const BOXES_PATH: &str = "/copy/1/boxes";

/// The path of the quarantined requests.
const CRASHES_PATH: &str = "/copy/1/crashes";

/// The path of the servers' notices.
const NOTICES_PATH: &str = "/copy/1/notices";

/// The header of a configuration snapshot with the row in force at the serving box and the
/// milliseconds since that row was confirmed to be the newest. Without it, a starting box could not
/// validate keys until the first reply to its request for the newest row, and refused requests that
/// need a key for up to 0.5 s after it was ready.
const NEWEST_ROW: HeaderName = HeaderName::from_static("newest-row");

/// The timeouts for the head and the whole of a response. The snapshot of a configuration of 4,250
/// routes takes some 65 KB; a box with the smallest link in use, 10 Mbit/s, sends thirty of them in
/// 1.6 s. Beyond that, reading the store is faster: it takes 0.9 s over a box's own link.
const SNAPSHOT_TIMEOUTS: AnswerTimeouts =
    AnswerTimeouts { head: Duration::from_millis(400), whole: Duration::from_millis(2_000) };

/// The number of boxes that are asked for a snapshot before the store is read.
const MAX_SOURCES: usize = 2;

/// The delay after which the next box is asked as well while the ones before are silent.
const NEXT_SOURCE_DELAY: Duration = Duration::from_millis(200);

/// The longest time for which the link may be taken by configurations before further boxes are sent away.
const MAX_LINK_BACKLOG: Duration = Duration::from_millis(150);

/// The largest uncompressed snapshot in bytes. A stored configuration has 4 MB at most.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

const CONTENT_TYPE: &str = "application/octet-stream";

/// Why a box sent no usable snapshot.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The box has nothing newer.
    #[error("the box has nothing newer")]
    NothingNewer,
    /// The box hands out as many snapshots as its link carries.
    #[error("the box is handing out others")]
    Busy,
    /// The request failed or timed out.
    #[error("the box did not answer: {0}")]
    Unreachable(#[from] HttpError),
    /// The box answered with an unexpected status.
    #[error("the box answered with status {0}; check that both boxes run the same version")]
    BadStatus(StatusCode),
    /// The snapshot cannot be decoded.
    #[error("the copy cannot be used: {0}")]
    Broken(#[from] UnpackError),
}

#[derive(Serialize, Deserialize)]
struct ConfigSnapshot {
    row: StoreVersion,
    config: ServingConfig,
    /// The operator's statuses of halls when the snapshot was packed.
    halls: Vec<HallStatus>,
}

/// The difference between another box's server list and the client's.
#[derive(Serialize, Deserialize)]
pub struct ServersSnapshot {
    /// The version of the other box's list.
    pub version: StoreVersion,
    /// The changes that lead to this version.
    pub update: DirectoryUpdate,
}

/// An encoded snapshot.
struct PackedSnapshot {
    /// For the servers, the version that the client knew; for the configuration, the version of the
    /// halls.
    base: StoreVersion,
    /// The version of the snapshot.
    version: StoreVersion,
    bytes: Bytes,
}

/// The last encoded snapshot of one kind.
type SnapshotCache = Mutex<Option<PackedSnapshot>>;

/// The client that fetches snapshots, and the snapshots that were served last: many boxes request
/// the same one.
pub struct Exchange {
    client: HttpClient,
    config: SnapshotCache,
    servers: SnapshotCache,
    /// When the link will have carried the configurations that are being handed out.
    config_sent_at: Mutex<Moment>,
}

impl Default for Exchange {
    fn default() -> Self {
        Self {
            client: HttpClient::http2(),
            config: SnapshotCache::default(),
            servers: SnapshotCache::default(),
            config_sent_at: Mutex::default(),
        }
    }
}

impl Exchange {
    /// Returns the client for calls to other boxes.
    pub fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Drops the open connections to other boxes.
    pub fn forget_connections(&self) {
        self.client.forget_connections();
    }
}

/// Answers a request for a snapshot, or returns `None` if the path is not that of one.
pub fn handle_request(node: &ServingNode, path: &str) -> Option<Response<Body>> {
    if path == CRASHES_PATH {
        return Some(snapshot_response(crashes::snapshot(node).map(|reports| pack(&reports))));
    }
    if path == BOXES_PATH {
        let boxes = node.are_boxes_listed().then(|| node.peers.lock().listed_boxes());
        return Some(snapshot_response(boxes.map(|boxes| pack(&boxes))));
    }
    if path == NOTICES_PATH {
        return Some(snapshot_response(notices::snapshot(node).map(|notices| pack(&notices))));
    }
    let known =
        |prefix| path.strip_prefix(prefix)?.parse::<u64>().ok().map(StoreVersion::from_bits);
    match (known(CONFIG_PATH), known(SERVERS_PATH)) {
        (Some(known), _) => Some(with_confirmed_row(node, config_response(node, known))),
        (None, Some(known)) => Some(snapshot_response(servers_snapshot(node, known))),
        (None, None) => None,
    }
}

/// Adds the header that says when the row in force was last confirmed to be the newest.
fn with_confirmed_row(node: &ServingNode, mut response: Response<Body>) -> Response<Body> {
    if let Some(RowConfirmation { row, age_ms }) = node.config_freshness.confirmed_row(node.now()) {
        let value = format!("{} {age_ms}", row.to_bits());
        let value = HeaderValue::from_str(&value).expect("digits are valid in a header");
        response.headers_mut().insert(NEWEST_ROW, value);
    }
    response
}

/// Parses the header of [`with_confirmed_row`]. Boxes of the previous version do not send it.
fn parse_confirmed_row(headers: &HeaderMap) -> Option<RowConfirmation> {
    let (row, age_ms) = headers.get(NEWEST_ROW)?.to_str().ok()?.split_once(' ')?;
    let row = StoreVersion::from_bits(row.parse().ok()?);
    Some(RowConfirmation { row, age_ms: age_ms.parse().ok()? })
}

fn snapshot_response(packed: Option<Bytes>) -> Response<Body> {
    match packed {
        Some(bytes) => response(StatusCode::OK, CONTENT_TYPE, bytes),
        None => response(StatusCode::NO_CONTENT, CONTENT_TYPE, ""),
    }
}

/// Answers a request for the configuration. While the link carries others, the requesting box is sent away: of thirty
/// transfers at once over a link of 10 Mbit/s none would end before 1.6 s, whereas the first boxes to have the
/// configuration hand it on.
fn config_response(node: &ServingNode, known: StoreVersion) -> Response<Body> {
    let Some(bytes) = config_snapshot(node, known) else {
        return snapshot_response(None);
    };
    let link_mbps = node.settings.load().resources.link_mbps;
    let time = secs_to_duration(bytes.len() as f64 * 8.0 / (link_mbps * 1e6));
    let now = node.now();
    let mut sent_at = node.exchange.config_sent_at.lock();
    if sent_at.since(now) > MAX_LINK_BACKLOG {
        return response(StatusCode::SERVICE_UNAVAILABLE, CONTENT_TYPE, "");
    }
    *sent_at = (*sent_at).max(now) + time;
    snapshot_response(Some(bytes))
}

fn config_snapshot(node: &ServingNode, known: StoreVersion) -> Option<Bytes> {
    // The row is read first, so that the configuration may be newer than the row but never older.
    let row = node.config_row_in_force();
    let config = node.config.load_full()?;
    if known >= row {
        return None;
    }
    let halls = node.evacuations.lock().statuses();
    let halls_version = version_of(&halls);
    let snapshot = || ConfigSnapshot { row, config: ServingConfig::clone(&config), halls };
    // The snapshot holds the whole configuration, so it depends on the halls but not on the
    // client's version.
    Some(cached(&node.exchange.config, halls_version, row, snapshot))
}

/// Returns the newest version of halls' statuses.
fn version_of(halls: &[HallStatus]) -> StoreVersion {
    halls.iter().map(|status| status.version).max().unwrap_or_default()
}

fn servers_snapshot(node: &ServingNode, known: StoreVersion) -> Option<Bytes> {
    if !node.knows_servers() {
        return None;
    }
    let directory = node.directory.lock();
    let version = directory.newest_version();
    if known >= version {
        return None;
    }
    let snapshot = || ServersSnapshot { version, update: directory.update_since(known) };
    Some(cached(&node.exchange.servers, known, version, snapshot))
}

/// Returns an encoded snapshot, cached for all boxes that request the same one: after an outage a
/// whole hall does so within a tenth of a second. Without the cache, 52 of 53 boxes timed out at a
/// box with 0.12 of a core. The cache and datagrams that leave room on the link reduced the
/// snapshots that timed out on a day of 295 boxes from 370 to 96.
fn cached<T: Serialize>(
    cache: &SnapshotCache,
    base: StoreVersion,
    version: StoreVersion,
    snapshot: impl FnOnce() -> T,
) -> Bytes {
    let mut last = cache.lock();
    let is_same = |last: &&PackedSnapshot| last.base == base && last.version == version;
    if let Some(same) = last.as_ref().filter(is_same) {
        return same.bytes.clone();
    }
    let bytes = pack(&snapshot());
    *last = Some(PackedSnapshot { base, version, bytes: bytes.clone() });
    bytes
}

/// Fetches a configuration that is newer than row `known` from one of `boxes`.
pub async fn fetch_config(
    node: &ServingNode,
    boxes: &[Ipv4Addr],
    known: StoreVersion,
) -> Result<(Ipv4Addr, StoredConfig), NotFetched> {
    let path = format!("{CONFIG_PATH}{}", known.to_bits());
    let requested_at = node.now();
    let Fetched { source, snapshot, packed, confirmed_row } =
        fetch_first::<ConfigSnapshot>(node, boxes, &path).await?;
    if let Some(confirmed_row) = confirmed_row {
        node.config_freshness.merge_report(confirmed_row, requested_at);
    }
    follow::apply_hall_statuses(node, &snapshot.halls, follow::Source::OtherBox);
    // Packing it again would take a box with 0.12 of a core longer than handing it out.
    let base = version_of(&snapshot.halls);
    *node.exchange.config.lock() =
        Some(PackedSnapshot { base, version: snapshot.row, bytes: packed });
    Ok((source, StoredConfig { row_version: snapshot.row, config: Ok(snapshot.config) }))
}

/// Fetches the changes of the servers since version `known` from one of `boxes`.
pub async fn fetch_servers(
    node: &ServingNode,
    boxes: &[Ipv4Addr],
    known: StoreVersion,
) -> Option<ServersSnapshot> {
    let path = format!("{SERVERS_PATH}{}", known.to_bits());
    Some(fetch_first(node, first(boxes), &path).await.ok()?.snapshot)
}

/// Fetches the list of all boxes from `boxes`, asking all of them at once.
pub async fn fetch_boxes(node: &ServingNode, boxes: &[Ipv4Addr]) -> Option<Vec<ListedBox>> {
    let requests = boxes.iter().map(|ip| fetch_first(node, std::slice::from_ref(ip), BOXES_PATH));
    let mut answers: FuturesUnordered<_> = requests.collect();
    while let Some(answer) = answers.next().await {
        if let Ok(Fetched { snapshot, .. }) = answer {
            return Some(snapshot);
        }
    }
    None
}

/// Fetches the quarantined requests from one of `boxes`.
pub async fn fetch_crashes(node: &ServingNode, boxes: &[Ipv4Addr]) -> Option<Vec<CrashReport>> {
    Some(fetch_first(node, first(boxes), CRASHES_PATH).await.ok()?.snapshot)
}

/// Fetches the servers' notices from one of `boxes`.
pub async fn fetch_notices(node: &ServingNode, boxes: &[Ipv4Addr]) -> Option<Vec<NoticeRecord>> {
    Some(fetch_first(node, first(boxes), NOTICES_PATH).await.ok()?.snapshot)
}

/// Returns the boxes that are asked.
fn first(boxes: &[Ipv4Addr]) -> &[Ipv4Addr] {
    &boxes[..boxes.len().min(MAX_SOURCES)]
}

/// Why no box sent a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFetched {
    /// A box that has it is handing out others.
    Busy,
    /// No box that was asked has it, as far as they answered.
    NoneHasIt,
}

/// A snapshot from another box.
struct Fetched<T> {
    source: Ipv4Addr,
    snapshot: T,
    /// The snapshot as it was sent.
    packed: Bytes,
    /// The row in force at that box, if it sent one.
    confirmed_row: Option<RowConfirmation>,
}

/// Fetches a snapshot from the first of `boxes` that answers with one. Each next box is asked once the ones before have
/// failed or were silent for a while; the slower answers are dropped.
async fn fetch_first<T: DeserializeOwned>(
    node: &ServingNode,
    boxes: &[Ipv4Addr],
    path: &str,
) -> Result<Fetched<T>, NotFetched> {
    let mut rest = boxes.iter();
    let mut requests = FuturesUnordered::new();
    let mut failure = NotFetched::NoneHasIt;
    loop {
        if let Some(ip) = rest.next() {
            requests.push(fetch_logged(node, *ip, path));
        }
        let has_rest = !rest.as_slice().is_empty();
        tokio::select! {
            answer = requests.next() => match answer {
                Some(Ok(fetched)) => return Ok(fetched),
                Some(Err(SnapshotError::Busy)) => failure = NotFetched::Busy,
                Some(Err(_)) => {}
                None => return Err(failure),
            },
            () = sleep(NEXT_SOURCE_DELAY), if has_rest => {}
        }
    }
}

async fn fetch_logged<T: DeserializeOwned>(
    node: &ServingNode,
    ip: Ipv4Addr,
    path: &str,
) -> Result<Fetched<T>, SnapshotError> {
    let started_at = node.now();
    let offered_row = node.peers.lock().config_row_of(ip);
    let fetched = fetch(node, ip, path).await;
    let outcome = fetched.as_ref().err().map_or("taken".to_owned(), SnapshotError::to_string);
    log_fetch(ip, path, &outcome, started_at, node.now());
    let is_denied = matches!(fetched, Err(SnapshotError::NothingNewer));
    if is_denied && path.starts_with(CONFIG_PATH) {
        node.peers.lock().deny_config(ip, offered_row);
    }
    fetched
}

fn log_fetch(ip: Ipv4Addr, path: &str, outcome: &str, started_at: Moment, now: Moment) {
    let ms = now.since(started_at).as_millis() as u64;
    log::info!(from:% = ip, path, outcome, ms; "snapshot requested");
}

async fn fetch<T: DeserializeOwned>(
    node: &ServingNode,
    ip: Ipv4Addr,
    path: &str,
) -> Result<Fetched<T>, SnapshotError> {
    let address = format!("{ip}:{}", node.settings.load().listen.peers);
    let request = with_body(request(Method::GET, &address, path), Bytes::new())?;
    let answer = node.exchange.client.fetch_large(request, SNAPSHOT_TIMEOUTS).await?;
    match answer.status {
        StatusCode::OK => {
            let snapshot = unpack::<T, MAX_SNAPSHOT_BYTES>(&answer.body)?;
            let confirmed_row = parse_confirmed_row(&answer.headers);
            Ok(Fetched { source: ip, snapshot, packed: answer.body, confirmed_row })
        }
        StatusCode::NO_CONTENT => Err(SnapshotError::NothingNewer),
        StatusCode::SERVICE_UNAVAILABLE => Err(SnapshotError::Busy),
        other => Err(SnapshotError::BadStatus(other)),
    }
}
