//! Opens connections to servers: directly, or through another box if this one cannot reach them.
//!
//! A connection that does not open soon is opened through another box as well, and the first one is used. What this
//! shows about the box's own links is tracked by [`ReachTracker`]; [`watch`] finds out when they work again.

pub mod carry;
mod relayed;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use relayed::{RelayedError, open_relayed};
use tokio::time::{sleep, timeout};
use trackfront_adapters::connect::ByteStream;
use trackfront_adapters::upstream::{Connection, UpstreamError};
use trackfront_core::ids::{BackendId, RegionName};
use trackfront_core::serving::directory::{KnownServer, ServerEntry};
use trackfront_core::serving::reach::{Path, ReachChange};
use trackfront_core::units::Moment;

use super::node::ServingNode;

/// How long a direct connection may take before one through another box is opened as well: several times the round trip
/// between the farthest regions.
const RELAY_DELAY: Duration = Duration::from_millis(60);

/// The timeout for opening a connection directly: many times the round trip within a region.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval at which [`watch`] looks for servers that are not reached.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The number of these intervals between direct attempts of a box that is cut off.
const ATTEMPT_INTERVALS: u32 = 2;

/// The number of other servers that are tried at once to find out whether this box's own links work.
const CONTROL_SERVERS: usize = 3;

/// The timeout of these attempts.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(100);

/// The time without a server reached directly after which a box tries one, so that it learns of a cut before a client
/// does. In the largest fleet this opens 500 connections a second, to 10,000 servers.
const MAX_UNCHECKED: Duration = Duration::from_millis(2_000);

/// The longest time from the loss of this box's links, which breaks open connections, to the first one that does not open.
const MAX_DETECTION_DELAY: Duration = Duration::from_millis(1_000);

/// The name of the servers among the dependencies, in logs and metrics.
const SERVERS: &str = "servers";

/// What a connection is for.
#[derive(Clone, Copy, Debug)]
pub struct Purpose<'a> {
    /// The request that is sent over it, or what else it is for, for logs.
    pub request: &'a str,
    /// The regions that may see the request, if it is restricted; all restrictions apply.
    pub regions: [Option<&'a BTreeSet<RegionName>>; 2],
}

impl Purpose<'static> {
    /// Returns the purpose of a connection over which no request of a client is sent.
    pub fn check(what: &'static str) -> Self {
        Self { request: what, regions: [None, None] }
    }
}

/// Opens a connection for a request. An error says that nothing was sent; `ConnectionRefused` also that the server has
/// ended, as other boxes see it.
pub async fn open(
    node: &ServingNode,
    server: &ServerEntry,
    purpose: Purpose<'_>,
) -> Result<Connection, UpstreamError> {
    let path = node.reach.lock().path(&server.id, node.now());
    let relayed = open_relayed(node, server, purpose);
    if path == Path::Relayed {
        return match relayed.await {
            Ok(connection) => Ok(connection),
            Err(RelayedError::ServerRefuses) => Err(refused_elsewhere()),
            Err(_) if node.is_failing() => Err(not_reached()),
            Err(_) => unconfirmed(node, open_direct(node, server).await),
        };
    }
    let direct = open_direct(node, server);
    tokio::pin!(direct);
    match timeout(RELAY_DELAY, &mut direct).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => return or_error(node, relayed.await, error),
        Err(_) => record_direct(node, &server.id, false),
    }
    tokio::pin!(relayed);
    tokio::select! {
        biased;
        result = &mut direct => match result {
            Ok(connection) => Ok(connection),
            Err(error) => or_error(node, relayed.await, error),
        },
        result = &mut relayed => match result {
            Ok(connection) => Ok(connection),
            Err(RelayedError::ServerRefuses) => Err(refused_elsewhere()),
            Err(RelayedError::ServerSilent) => Err(not_reached()),
            Err(RelayedError::NoBox) => unconfirmed(node, direct.await),
        },
    }
}

/// Returns the connection through another box, or else the error of the direct attempt.
fn or_error(
    node: &ServingNode,
    relayed: Result<Connection, RelayedError>,
    error: UpstreamError,
) -> Result<Connection, UpstreamError> {
    match relayed {
        Ok(connection) => Ok(connection),
        Err(RelayedError::ServerRefuses) => Err(refused_elsewhere()),
        Err(RelayedError::ServerSilent | RelayedError::NoBox) => unconfirmed(node, Err(error)),
    }
}

fn refused_elsewhere() -> UpstreamError {
    UpstreamError::ConnectionRefused("the server refuses connections of another box as well".into())
}

fn not_reached() -> UpstreamError {
    UpstreamError::NotSent(
        "neither this box nor another one that answered reaches the server".into(),
    )
}

/// Turns a refusal that no other box confirmed into a failure that says nothing about the server.
fn unconfirmed(
    node: &ServingNode,
    result: Result<Connection, UpstreamError>,
) -> Result<Connection, UpstreamError> {
    result.map_err(|error| match error {
        UpstreamError::ConnectionRefused(cause) if relayed::has_candidates(node) => {
            UpstreamError::NotSent(format!("{cause}; no other box could confirm it"))
        }
        other => other,
    })
}

/// Opens a connection directly and records whether it opened.
pub async fn open_direct(
    node: &ServingNode,
    server: &ServerEntry,
) -> Result<Connection, UpstreamError> {
    open_direct_within(node, server, CONNECT_TIMEOUT).await
}

async fn open_direct_within(
    node: &ServingNode,
    server: &ServerEntry,
    time: Duration,
) -> Result<Connection, UpstreamError> {
    let result = node.pool.open(&server.address, time).await;
    record_direct(node, &server.id, result.is_ok());
    result
}

/// Opens a connection directly for any bytes, and records whether it opened.
async fn open_bytes_direct(
    node: &ServingNode,
    server: &ServerEntry,
    time: Duration,
) -> Result<Box<dyn ByteStream>, UpstreamError> {
    let result = node.pool.open_bytes(&server.address, time).await;
    record_direct(node, &server.id, result.is_ok());
    result
}

fn record_direct(node: &ServingNode, server: &BackendId, opened: bool) {
    let now = node.now();
    let mut reach = node.reach.lock();
    let change = match opened {
        true => reach.record_opened(server, now),
        false => reach.record_failed(server, now),
    };
    drop(reach);
    record(node, change);
}

/// Logs a change of what this box believes about its links, and drops what it learned of servers from its own failures.
fn record(node: &ServingNode, change: Option<ReachChange>) {
    match change {
        None => {}
        Some(ReachChange::CutOff { failed_servers, since }) => {
            node.set_dependency(SERVERS, false);
            let lost_since = Moment(since.0.saturating_sub(MAX_DETECTION_DELAY));
            node.loads.lock().forget_failures_since(lost_since);
            node.crashes.forget_breaks_since(lost_since);
            log::warn!(dependency = SERVERS, failed_servers; "cut off from all servers");
            node.servers_changed.notify_waiters();
        }
        Some(ReachChange::Restored { after }) => {
            node.set_dependency(SERVERS, true);
            let ms = after.as_millis() as u64;
            log::info!(dependency = SERVERS, ms; "servers reached again");
        }
    }
}

/// Returns whether a server that refused a connection of this box also refuses one that comes through another box, so
/// that it has ended. Without another box, this one's view counts.
pub async fn is_refused_elsewhere(node: &ServingNode, server: &ServerEntry) -> bool {
    if !relayed::has_candidates(node) {
        return true;
    }
    let purpose = Purpose::check("a server that refused a connection");
    matches!(open_relayed(node, server, purpose).await, Err(RelayedError::ServerRefuses))
}

/// Finds out whether servers that are not reached are reached by other boxes, and whether this box reaches servers again,
/// for as long as the node runs.
pub async fn watch(node: Arc<ServingNode>) {
    node.set_dependency(SERVERS, true);
    let mut round = 0u32;
    loop {
        sleep(WATCH_INTERVAL).await;
        round = round.wrapping_add(1);
        node.tunnels.close_idle();
        let is_cut_off = node.is_cut_off();
        if !node.is_failing() {
            check_links(&node).await;
        } else if !is_cut_off || round.is_multiple_of(ATTEMPT_INTERVALS) {
            for server in random_servers(&node, 1, None) {
                attempt_direct(&node, &server).await;
            }
        }
        if !is_cut_off {
            check_failed_servers(&node).await;
        } else if node.relays.lock().working(node.now()).is_none() {
            search_box(&node).await;
        }
    }
}

/// Tries a server if none was reached for a while, and others if it is not reached.
async fn check_links(node: &ServingNode) {
    let unchecked = node.reach.lock().time_since_reached(node.now());
    if unchecked.is_some_and(|time| time < MAX_UNCHECKED) {
        return;
    }
    let servers = random_servers(node, 1, None);
    if let Some(server) = servers.first()
        && !attempt_direct(node, server).await
    {
        reaches_another(node, &server.entry.id).await;
    }
}

/// Reaches a server through another box if connections to it and others failed.
async fn check_failed_servers(node: &ServingNode) {
    let unconfirmed = node.reach.lock().unconfirmed(node.now());
    let server = unconfirmed.and_then(|id| node.directory.lock().get(&id).cloned());
    if let Some(server) = server {
        // The connection is closed at once; what counts is whether it opened.
        let _ = open_relayed(node, &server.entry, Purpose::check("a server not reached")).await;
    }
}

/// Looks whether a server that was not reached is reached again.
pub async fn check_again(node: Arc<ServingNode>, server: Arc<KnownServer>) {
    if attempt_direct(&node, &server).await {
        node.loads.lock().mark_reachable(&server.entry.id);
        log::info!(server:% = server.entry.id; "server reached again");
    }
}

/// Opens a connection to a server, and keeps it for the next request there. Returns whether it opened.
async fn attempt_direct(node: &ServingNode, server: &KnownServer) -> bool {
    let opened = open_direct(node, &server.entry).await;
    let is_open = opened.is_ok();
    if let Ok(connection) = opened {
        node.pool.add_spare(&server.entry.address, connection);
    }
    is_open
}

/// Looks for a box that carries connections, so that the next request need not.
async fn search_box(node: &ServingNode) {
    if let Some(server) = random_servers(node, 1, None).first() {
        let _ =
            open_relayed(node, &server.entry, Purpose::check("a box that reaches servers")).await;
    }
}

/// Returns whether this box reaches a server other than `except`, or there is none. If not, its own links may be at
/// fault for what it sees of `except`.
async fn reaches_another(node: &ServingNode, except: &BackendId) -> bool {
    let others = random_servers(node, CONTROL_SERVERS, Some(except));
    let is_alone = others.is_empty();
    let attempts =
        others.iter().map(|server| open_direct_within(node, &server.entry, CONTROL_TIMEOUT));
    let mut attempts: FuturesUnordered<_> = attempts.collect();
    while let Some(result) = attempts.next().await {
        if result.is_ok() {
            return true;
        }
    }
    is_alone
}

/// Returns random servers that accept new requests.
fn random_servers(
    node: &ServingNode,
    count: usize,
    except: Option<&BackendId>,
) -> Vec<Arc<KnownServer>> {
    let directory = node.directory.lock();
    let is_candidate =
        |server: &&Arc<KnownServer>| Some(&server.entry.id) != except && node.accepts_new(server);
    directory.all().filter(is_candidate).cloned().sample(&mut rand::rng(), count)
}
