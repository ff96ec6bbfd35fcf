//! Opens connections to servers through other boxes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::time::timeout;
use trackfront_adapters::connect::ByteStream;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_adapters::tunnel::TunnelError;
use trackfront_adapters::upstream::{Carried, Connection};
use trackfront_core::ids::HallName;
use trackfront_core::serving::directory::ServerEntry;
use trackfront_core::serving::relays::{RelayCandidates, RelayFailure};

use super::carry::{self, REQUEST_HEADER, WORKING_BOX_HEADER};
use super::{Purpose, record};
use crate::serving::node::ServingNode;
use crate::serving::short_names::short_hall;

/// The timeout for opening a connection through a box, of which that box has [`carry::CONNECT_TIMEOUT`].
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);

/// The delay after which the next box is asked as well.
const NEXT_BOX_DELAY: Duration = Duration::from_millis(80);

/// The timeout for opening a connection through any box.
const RELAYED_TIMEOUT: Duration = Duration::from_millis(500);

/// Why no connection was opened through another box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayedError {
    /// The server refuses connections of another box: it has ended.
    ServerRefuses,
    /// The server does not answer another box either.
    ServerSilent,
    /// No box that reaches the server was found.
    NoBox,
}

/// The bytes of a connection, and the box that carries it.
type CarriedStream = (Ipv4Addr, Box<dyn ByteStream>);

/// What a box answered.
enum Answer {
    Opened(Box<dyn ByteStream>),
    ServerRefuses,
    ServerSilent,
    Failed(RelayFailure, Option<Ipv4Addr>),
}

/// Returns whether there is another box to ask.
pub(super) fn has_candidates(node: &ServingNode) -> bool {
    let RelayCandidates { own_hall, other_halls, other_regions } =
        candidates(node, Purpose::check(""));
    !(own_hall.is_empty() && other_halls.is_empty() && other_regions.is_empty())
}

/// Opens a connection to a server through another box.
pub(super) async fn open_relayed(
    node: &ServingNode,
    server: &ServerEntry,
    purpose: Purpose<'_>,
) -> Result<Connection, RelayedError> {
    let began = node.now();
    let candidates = candidates(node, purpose);
    let boxes = node.relays.lock().select(&candidates, &mut rand::rng(), node.now());
    let asked = boxes.len();
    let asking = ask_all(node, server, purpose, boxes);
    let result = timeout(RELAYED_TIMEOUT, asking).await.unwrap_or(Err(RelayedError::NoBox));
    let ms = node.now().since(began).as_millis() as u64;
    let (request, id) = (purpose.request, &server.id);
    let (kind, result) = match result {
        Ok((ip, stream)) => {
            log::info!(request, server:% = id, by:% = ip, ms; "connection carried by another box");
            // The next request may be restricted to regions that exclude a box elsewhere.
            let is_reusable = !candidates.other_regions.contains(&ip);
            let carried = Carried { by: ip, is_reusable, opened_at: node.now() };
            let connection = node.pool.use_carried(stream, carried).await;
            ("opened", connection.map_err(|_| RelayedError::NoBox))
        }
        Err(RelayedError::ServerRefuses) => ("server_refuses", Err(RelayedError::ServerRefuses)),
        Err(RelayedError::ServerSilent) => ("server_silent", Err(RelayedError::ServerSilent)),
        Err(RelayedError::NoBox) => {
            log::info!(request, server:% = id, asked, ms; "no other box carries the connection");
            ("no_box", Err(RelayedError::NoBox))
        }
    };
    node.metrics.relayed.get_or_create(&KindLabel { kind }).inc();
    result
}

/// Asks boxes one after the other, the next one as soon as one fails or takes long.
async fn ask_all(
    node: &ServingNode,
    server: &ServerEntry,
    purpose: Purpose<'_>,
    boxes: Vec<Ipv4Addr>,
) -> Result<CarriedStream, RelayedError> {
    let mut asking = FuturesUnordered::new();
    for ip in boxes {
        asking.push(async move { (ip, ask(node, ip, server, purpose).await) });
        let Ok(Some((ip, answer))) = timeout(NEXT_BOX_DELAY, asking.next()).await else {
            continue;
        };
        if let Some(result) = settle(node, server, ip, answer) {
            return result;
        }
    }
    while let Some((ip, answer)) = asking.next().await {
        if let Some(result) = settle(node, server, ip, answer) {
            return result;
        }
    }
    Err(RelayedError::NoBox)
}

/// Records what a box answered. Returns the result if no other box needs to be asked.
fn settle(
    node: &ServingNode,
    server: &ServerEntry,
    ip: Ipv4Addr,
    answer: Answer,
) -> Option<Result<CarriedStream, RelayedError>> {
    let now = node.now();
    match answer {
        Answer::Opened(stream) => {
            node.relays.lock().record_working(ip, now);
            let change = node.reach.lock().record_relayed(&server.id, now);
            record(node, change);
            Some(Ok((ip, stream)))
        }
        Answer::ServerRefuses => Some(Err(RelayedError::ServerRefuses)),
        // That box reaches another server, so this one does not answer anybody.
        Answer::ServerSilent => Some(Err(RelayedError::ServerSilent)),
        Answer::Failed(failure, referral) => {
            let mut relays = node.relays.lock();
            relays.record_failure(ip, failure, now);
            if let Some(other) = referral.filter(|other| *other != node.settings.load().node.ip) {
                relays.record_referral(other, now);
            }
            None
        }
    }
}

/// Asks one box.
async fn ask(
    node: &ServingNode,
    ip: Ipv4Addr,
    server: &ServerEntry,
    purpose: Purpose<'_>,
) -> Answer {
    let address = SocketAddr::from((ip, node.settings.load().listen.peers));
    let mut headers = HeaderMap::new();
    if let Ok(request) = HeaderValue::from_str(purpose.request) {
        headers.insert(REQUEST_HEADER, request);
    }
    let path = carry::path(&server.id);
    match node.tunnels.open(address, &path, headers, TUNNEL_TIMEOUT).await {
        Ok(stream) => Answer::Opened(stream),
        Err(TunnelError::Refused { status: StatusCode::BAD_GATEWAY, .. }) => Answer::ServerRefuses,
        Err(TunnelError::Refused { status: StatusCode::GATEWAY_TIMEOUT, .. }) => {
            Answer::ServerSilent
        }
        Err(TunnelError::Refused { status: StatusCode::TOO_MANY_REQUESTS, .. }) => {
            Answer::Failed(RelayFailure::Busy, None)
        }
        Err(TunnelError::Refused { headers, .. }) => {
            let referral = headers.get(WORKING_BOX_HEADER).and_then(|ip| ip.to_str().ok());
            Answer::Failed(RelayFailure::Unusable, referral.and_then(|ip| ip.parse().ok()))
        }
        Err(TunnelError::Unreachable(_)) => Answer::Failed(RelayFailure::Silent, None),
    }
}

/// Returns the boxes that may see a request: those of this hall, through which the client sent it, and of other halls
/// unless its regions are restricted to others.
fn candidates(node: &ServingNode, purpose: Purpose<'_>) -> RelayCandidates {
    let settings = node.settings.load();
    let own_region = &settings.node.region;
    let mut allowed: Vec<(u32, bool)> = Vec::new();
    for (hall, region) in &settings.halls {
        let is_allowed = purpose.regions.iter().flatten().all(|regions| regions.contains(region));
        if region == own_region || is_allowed {
            allowed.push((short_hall(hall), region == own_region));
        }
    }
    let is_restricted = purpose.regions.iter().any(Option::is_some);
    let own_hall: &HallName = &settings.node.hall;
    let own = short_hall(own_hall);
    let mut candidates = RelayCandidates::default();
    for listed in node.peers.lock().relay_candidates(node.now()) {
        let known = allowed.iter().find(|(hall, _)| *hall == listed.hall);
        match known {
            _ if listed.hall == own => candidates.own_hall.push(listed.ip),
            Some((_, true)) => candidates.other_halls.push(listed.ip),
            Some((_, false)) => candidates.other_regions.push(listed.ip),
            // A hall whose region is unknown, as in a deployment that lists none.
            None if !is_restricted && settings.halls.is_empty() => {
                candidates.other_halls.push(listed.ip);
            }
            None => {}
        }
    }
    candidates
}
