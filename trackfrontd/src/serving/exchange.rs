//! Whole copies that boxes give each other: the configuration in force and the list of servers.
//!
//! If every box read the platform's store for itself, each change of the configuration would cost
//! as many calls as there are boxes, and each start two more. A box asks others of its hall first and
//! reads the store where none of them has what it lacks: 1,204 calls instead of 2,111 on a day of 90
//! boxes. A copy is checked like what the store holds, and one that is older than what a box has changes
//! nothing there.
//!
//! Copies go over HTTP/2 as `bincode`, deflated. Of the servers only what has changed since the version
//! that the asker knows, where the box that is asked knows all of that.

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
use trackfront_adapters::http_client::{HttpClient, HttpError, Patience, request, with_body};
use trackfront_adapters::http_server::{Body, response};
use trackfront_core::ports::StoredConfig;
use trackfront_core::serving::config::ServingConfig;
use trackfront_core::serving::crashes::CrashReport;
use trackfront_core::serving::directory::DirectoryUpdate;
use trackfront_core::serving::halls::HallStatus;
use trackfront_core::units::Moment;

use super::config_freshness::ConfirmedRow;
use super::crashes;
use super::delegates::ListedBox;
use super::follow;
use super::messages::NoticeRecord;
use super::node::ServingNode;
use super::notices;
use super::packing::{UnpackError, pack, unpack};

/// The path of the configuration; the row's version that the asker has follows.
const CONFIG_PATH: &str = "/copy/3/config/";

/// The path of the list of servers; the version that the asker knows follows, 0 for the whole list.
const SERVERS_PATH: &str = "/copy/2/servers/";

/// The path of the list of boxes.
const BOXES_PATH: &str = "/copy/1/boxes";

/// The path of the requests that are held off.
const CRASHES_PATH: &str = "/copy/1/crashes";

/// The path of what servers said of themselves.
const NOTICES_PATH: &str = "/copy/1/notices";

/// The header of a copy of the configuration that says which row is in force at the box that gives it, and how many
/// milliseconds ago that was the newest for certain. Without it a box that starts could not tell whether keys are good
/// until its first question was answered, and refused what needs one for up to 0.5 s after it was ready.
const NEWEST_ROW: HeaderName = HeaderName::from_static("newest-row");

/// How long a box may take until it begins to hand a copy out, and until the copy is whole. A configuration
/// of 4,250 routes is a copy of some 65 KB; a box with the smallest link of today, 10 Mbit/s, sends thirty of
/// them in 1.6 s. Beyond that the store is the shorter way: 0.9 s on a link of one's own.
const PATIENCE: Patience =
    Patience { head: Duration::from_millis(400), whole: Duration::from_millis(2_000) };

/// How many boxes are asked, one after the other, before the store is.
const BOXES_ASKED: usize = 2;

/// The largest copy once it is inflated, in bytes: a stored configuration has 4 MB at most.
const MAX_COPY_BYTES: usize = 8 * 1024 * 1024;

const CONTENT_TYPE: &str = "application/octet-stream";

/// Why a box gave no copy.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// It has nothing newer.
    #[error("the box has nothing newer")]
    NothingNewer,
    /// It did not answer.
    #[error("the box did not answer: {0}")]
    Unreachable(#[from] HttpError),
    /// It answered something else.
    #[error("the box answered with status {0}; check that both boxes run the same version")]
    BadStatus(StatusCode),
    /// Its copy is broken.
    #[error("the copy cannot be used: {0}")]
    Broken(#[from] UnpackError),
}

#[derive(Serialize, Deserialize)]
struct ConfigSnapshot {
    row: u64,
    config: ServingConfig,
    /// What the operator said of halls, as of the moment at which it was packed.
    halls: Vec<HallStatus>,
}

/// What another box knows more of the servers.
#[derive(Serialize, Deserialize)]
pub struct ServersSnapshot {
    /// The version that it knows.
    pub version: u64,
    /// What leads there.
    pub update: DirectoryUpdate,
}

/// A copy as it goes over the wire.
struct PackedCopy {
    /// The version that the asker knew, where the copy has what came after it; of a configuration that of the halls.
    after: u64,
    /// The version that it is of.
    version: u64,
    bytes: Bytes,
}

/// The last copy that was packed.
type Packed = Mutex<Option<PackedCopy>>;

/// The client that asks for copies, and the last copies that were handed out: many boxes ask for the
/// same one.
pub struct Exchange {
    client: HttpClient,
    config: Packed,
    servers: Packed,
}

impl Default for Exchange {
    fn default() -> Self {
        let (config, servers) = (Packed::default(), Packed::default());
        Self { client: HttpClient::http2(), config, servers }
    }
}

impl Exchange {
    /// Leaves the connections to other boxes that are kept open.
    pub fn forget_connections(&self) {
        self.client.forget_connections();
    }
}

/// Answers a box that asks for a copy; `None` if the path is not that of a copy.
pub fn handle_request(node: &ServingNode, path: &str) -> Option<Response<Body>> {
    if path == CRASHES_PATH {
        return Some(copy_response(crashes::snapshot(node).map(|reports| pack(&reports))));
    }
    if path == BOXES_PATH {
        let boxes = node.are_boxes_listed().then(|| node.peers.lock().listed_boxes());
        return Some(copy_response(boxes.map(|boxes| pack(&boxes))));
    }
    if path == NOTICES_PATH {
        return Some(copy_response(notices::snapshot(node).map(|told| pack(&told))));
    }
    let known = |prefix| path.strip_prefix(prefix)?.parse::<u64>().ok();
    match (known(CONFIG_PATH), known(SERVERS_PATH)) {
        (Some(known), _) => Some(with_newest(node, copy_response(config_copy(node, known)))),
        (None, Some(known)) => Some(copy_response(servers_copy(node, known))),
        (None, None) => None,
    }
}

/// Adds what this box knows of how new its configuration is.
fn with_newest(node: &ServingNode, mut copy: Response<Body>) -> Response<Body> {
    if let Some(ConfirmedRow { row, age_ms }) = node.config_freshness.confirmed_row(node.now()) {
        let value = format!("{row} {age_ms}");
        let value = HeaderValue::from_str(&value).expect("digits are valid in a header");
        copy.headers_mut().insert(NEWEST_ROW, value);
    }
    copy
}

/// Reads what [`with_newest`] wrote; `None` from a box of the version before.
fn read_newest(headers: &HeaderMap) -> Option<ConfirmedRow> {
    let (row, age_ms) = headers.get(NEWEST_ROW)?.to_str().ok()?.split_once(' ')?;
    Some(ConfirmedRow { row: row.parse().ok()?, age_ms: age_ms.parse().ok()? })
}

fn copy_response(packed: Option<Bytes>) -> Response<Body> {
    match packed {
        Some(bytes) => response(StatusCode::OK, CONTENT_TYPE, bytes),
        None => response(StatusCode::NO_CONTENT, CONTENT_TYPE, ""),
    }
}

fn config_copy(node: &ServingNode, known: u64) -> Option<Bytes> {
    // Read first: the configuration may be newer than the row, never older.
    let row = node.config_row_in_force();
    let config = node.config.load_full()?;
    if known >= row {
        return None;
    }
    let halls = node.evacuations.lock().statuses();
    let halls_version = halls.iter().map(|word| word.version).max().unwrap_or(0);
    let copy = || ConfigSnapshot { row, config: ServingConfig::clone(&config), halls };
    // A whole configuration: what the asker knew makes no difference to it, but what is known of halls does.
    Some(packed(&node.exchange.config, halls_version, row, copy))
}

fn servers_copy(node: &ServingNode, known: u64) -> Option<Bytes> {
    if !node.knows_servers() {
        return None;
    }
    let directory = node.directory.lock();
    let version = directory.newest_version();
    if known >= version {
        return None;
    }
    let copy = || ServersSnapshot { version, update: directory.update_since(known) };
    Some(packed(&node.exchange.servers, known, version, copy))
}

/// Returns a copy, packed once for all that ask for the same one: after an outage a whole hall does so in the
/// same tenth of a second. Packed for each, 52 of 53 boxes gave up on one with 0.12 of a core; with this and
/// with datagrams that leave room on the link, 96 copies are given up on a day of 295 boxes instead of 370.
fn packed<T: Serialize>(
    last: &Packed,
    after: u64,
    version: u64,
    copy: impl FnOnce() -> T,
) -> Bytes {
    let mut last = last.lock();
    let is_same = |last: &&PackedCopy| last.after == after && last.version == version;
    if let Some(same) = last.as_ref().filter(is_same) {
        return same.bytes.clone();
    }
    let bytes = pack(&copy());
    *last = Some(PackedCopy { after, version, bytes: bytes.clone() });
    bytes
}

/// Asks `boxes` for a configuration that is newer than row `known`.
pub async fn fetch_config(
    node: &ServingNode,
    boxes: &[Ipv4Addr],
    known: u64,
) -> Option<StoredConfig> {
    let path = format!("{CONFIG_PATH}{known}");
    let asked_at = node.now();
    let Fetched { copy, newest } = fetch_first::<ConfigSnapshot>(node, boxes, &path).await?;
    if let Some(newest) = newest {
        node.config_freshness.merge_report(newest, asked_at);
    }
    follow::apply_hall_statuses(node, &copy.halls, follow::Source::OtherBox);
    Some(StoredConfig { row_version: copy.row, config: Ok(copy.config) })
}

/// Asks `boxes` for what has changed of the servers since version `known`.
pub async fn fetch_servers(
    node: &ServingNode,
    boxes: &[Ipv4Addr],
    known: u64,
) -> Option<ServersSnapshot> {
    Some(fetch_first(node, boxes, &format!("{SERVERS_PATH}{known}")).await?.copy)
}

/// Asks `boxes`, all at once, for the list of all boxes.
pub async fn fetch_boxes(node: &ServingNode, boxes: &[Ipv4Addr]) -> Option<Vec<ListedBox>> {
    let asked = boxes.iter().map(|ip| fetch_first(node, std::slice::from_ref(ip), BOXES_PATH));
    let mut answers: FuturesUnordered<_> = asked.collect();
    while let Some(answer) = answers.next().await {
        if let Some(Fetched { copy, .. }) = answer {
            return Some(copy);
        }
    }
    None
}

/// Asks `boxes` for the requests that are held off.
pub async fn fetch_crashes(node: &ServingNode, boxes: &[Ipv4Addr]) -> Option<Vec<CrashReport>> {
    Some(fetch_first(node, boxes, CRASHES_PATH).await?.copy)
}

/// Asks `boxes` for what servers said of themselves.
pub async fn fetch_notices(node: &ServingNode, boxes: &[Ipv4Addr]) -> Option<Vec<NoticeRecord>> {
    Some(fetch_first(node, boxes, NOTICES_PATH).await?.copy)
}

/// A copy that another box gave.
struct Fetched<T> {
    copy: T,
    /// What that box knows of how new its configuration is, if it says so.
    newest: Option<ConfirmedRow>,
}

async fn fetch_first<T: DeserializeOwned>(
    node: &ServingNode,
    boxes: &[Ipv4Addr],
    path: &str,
) -> Option<Fetched<T>> {
    for ip in boxes.iter().take(BOXES_ASKED) {
        let began = node.now();
        match fetch(node, *ip, path).await {
            Ok(fetched) => {
                log_fetch(*ip, path, "taken", began, node.now());
                return Some(fetched);
            }
            Err(error) => log_fetch(*ip, path, &error.to_string(), began, node.now()),
        }
    }
    None
}

fn log_fetch(ip: Ipv4Addr, path: &str, outcome: &str, began: Moment, now: Moment) {
    let ms = now.since(began).as_millis() as u64;
    log::info!(from:% = ip, path, outcome, ms; "copy asked for");
}

async fn fetch<T: DeserializeOwned>(
    node: &ServingNode,
    ip: Ipv4Addr,
    path: &str,
) -> Result<Fetched<T>, SnapshotError> {
    let address = format!("{ip}:{}", node.settings.load().listen.peers);
    let request = with_body(request(Method::GET, &address, path), Bytes::new())?;
    let answer = node.exchange.client.fetch_large(request, PATIENCE).await?;
    match answer.status {
        StatusCode::OK => {
            let copy = unpack::<T, MAX_COPY_BYTES>(&answer.body)?;
            Ok(Fetched { copy, newest: read_newest(&answer.headers) })
        }
        StatusCode::NO_CONTENT => Err(SnapshotError::NothingNewer),
        other => Err(SnapshotError::BadStatus(other)),
    }
}
