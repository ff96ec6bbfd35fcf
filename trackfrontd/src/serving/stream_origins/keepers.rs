//! The boxes that keep the origins of streams that others relay.
//!
//! Streams are grouped into buckets. The boxes that are up are ranked for each bucket by rendezvous hashing, and the first
//! ones keep its streams. A box that stops, or whose ranking changes, tells the next ones; one that starts asks for what
//! it is to keep.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::quota::{BoxId, rank_coordinators};
use trackfront_core::serving::stream_origins::{
    AgedOrigin, STREAM_BUCKETS, STREAM_TTL, StreamId, StreamOrigin,
};
use trackfront_core::units::Moment;

use super::StreamVersions;
use crate::serving::messages::{KeptOrigin, Message};
use crate::serving::node::ServingNode;
use crate::serving::quota::box_id;

/// The number of other boxes that are told of a stream.
const KEEPERS: usize = 2;

/// The number of other boxes that are asked: one more, since the ranking may have changed by a box.
pub(super) const ASKED: usize = 3;

/// The interval at which keepers are told again of the streams that this box relays.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// How long after their end these streams are still told.
const REFRESH_TIME: Duration = Duration::from_secs(20);

/// How many times a box asks for what it is to keep, once a tick, after its start and when it becomes a keeper.
const REQUESTS: u32 = 3;

/// The most streams in one message, at up to 17 bytes each.
const STREAMS_PER_MESSAGE: usize = 256;

/// The boxes, this one among them, ranked for each bucket.
#[derive(Debug, Default)]
pub struct KeeperRanking {
    boxes: BTreeSet<Ipv4Addr>,
    by_bucket: Vec<Vec<Ipv4Addr>>,
}

impl KeeperRanking {
    fn new(boxes: BTreeSet<Ipv4Addr>) -> Self {
        let by_bucket = (0..STREAM_BUCKETS).map(|bucket| rank(bucket, boxes.iter().copied()));
        Self { by_bucket: by_bucket.collect(), boxes }
    }

    /// Returns the first boxes for a bucket, without `me`.
    fn others(&self, bucket: usize, me: Ipv4Addr) -> impl Iterator<Item = Ipv4Addr> {
        let ranked = self.by_bucket.get(bucket).into_iter().flatten().copied();
        ranked.filter(move |ip| *ip != me)
    }

    fn first(&self, bucket: usize) -> Option<Ipv4Addr> {
        self.by_bucket.get(bucket)?.first().copied()
    }
}

/// Returns the first boxes for a bucket: as many as are ever told or asked, and one more, which may be this box.
fn rank(bucket: usize, boxes: impl Iterator<Item = Ipv4Addr>) -> Vec<Ipv4Addr> {
    let ranked = rank_coordinators(bucket, boxes.map(box_id)).into_iter().take(ASKED + 1);
    ranked.map(|BoxId(bits)| Ipv4Addr::from_bits(bits)).collect()
}

/// Returns the boxes that are asked about a stream: the first ones of those that are up, and of those that may be. A box
/// that has just started has not heard of all that are up.
pub(super) fn asked(node: &ServingNode, stream: StreamId) -> Vec<Ipv4Addr> {
    let me = node.settings.load().node.ip;
    let bucket = stream.bucket();
    let reachable = node.peers.lock().reachable(node.now());
    let mut asked: Vec<_> =
        node.stream_versions.ranking.lock().others(bucket, me).take(ASKED).collect();
    for ip in rank(bucket, reachable.into_iter()).into_iter().take(ASKED) {
        if !asked.contains(&ip) {
            asked.push(ip);
        }
    }
    asked
}

/// Returns whether this box writes the row of a bucket.
pub(super) fn is_first(node: &ServingNode, bucket: usize) -> bool {
    let me = node.settings.load().node.ip;
    node.stream_versions.ranking.lock().first(bucket) == Some(me)
}

/// Returns the position of this box among all that are up for a partition, such as a service.
pub(super) fn position(node: &ServingNode, partition: usize) -> Option<usize> {
    let me = node.settings.load().node.ip;
    let boxes = node.stream_versions.ranking.lock().boxes.clone();
    rank(partition, boxes.into_iter()).iter().position(|ip| *ip == me)
}

/// Tells the keepers of a stream which software began it.
pub(super) fn tell_new(node: &ServingNode, origin: StreamOrigin) {
    let me = node.settings.load().node.ip;
    let keepers: Vec<_> = {
        let ranking = node.stream_versions.ranking.lock();
        ranking.others(origin.stream.bucket(), me).take(KEEPERS).collect()
    };
    let messages = keepers.into_iter().map(|ip| (ip, Message::StreamOrigins(vec![origin])));
    node.stream_versions.send(messages);
}

/// Tells the keepers of streams which software began them, and how old that is.
fn tell(node: &ServingNode, origins: impl IntoIterator<Item = AgedOrigin>) {
    let me = node.settings.load().node.ip;
    let mut by_box: BTreeMap<Ipv4Addr, Vec<KeptOrigin>> = BTreeMap::new();
    {
        let ranking = node.stream_versions.ranking.lock();
        for aged in origins {
            for ip in ranking.others(aged.origin.stream.bucket(), me).take(KEEPERS) {
                by_box.entry(ip).or_default().push(KeptOrigin::new(aged));
            }
        }
    }
    by_box.into_iter().for_each(|(ip, origins)| send(&node.stream_versions, ip, &origins));
}

fn send(state: &StreamVersions, ip: Ipv4Addr, origins: &[KeptOrigin]) {
    let chunks = origins.chunks(STREAMS_PER_MESSAGE).map(<[_]>::to_vec);
    state.send(chunks.map(|chunk| (ip, Message::KeptOrigins(chunk))));
}

/// Returns all that this box knows of streams.
pub(super) fn all_known(node: &ServingNode) -> Vec<AgedOrigin> {
    let (state, now) = (&node.stream_versions, node.now());
    let mut all: Vec<_> = state.told.lock().within(STREAM_TTL, now).collect();
    all.extend(state.own.lock().within(STREAM_TTL, now));
    all
}

/// Tells the keepers of streams all that this box knows of them, before it ends.
pub fn hand_over(node: &ServingNode) {
    let all = all_known(node);
    log::info!(streams = all.len(); "origins of streams handed over");
    tell(node, all);
}

/// What a box does from time to time for the streams that it relays or keeps.
#[derive(Debug, Default)]
pub(super) struct KeeperTask {
    /// When the keepers were last told of all streams that this box relays.
    refreshed_at: Moment,
    requests_sent: u32,
}

impl KeeperTask {
    pub(super) fn run(&mut self, node: &ServingNode) {
        let now = node.now();
        let changed = update_ranking(node, now);
        if !changed.buckets.is_empty() {
            // What the former keepers knew may be known to nobody that will be asked.
            let mut known = all_known(node);
            known.retain(|aged| changed.buckets.contains(&aged.origin.stream.bucket()));
            tell(node, known);
            changed.buckets.iter().for_each(|bucket| node.stream_versions.rows.add_bucket(*bucket));
        }
        if changed.has_own {
            self.requests_sent = 0;
        }
        if now.since(self.refreshed_at) >= REFRESH_INTERVAL {
            self.refreshed_at = now;
            let own: Vec<_> = node.stream_versions.own.lock().within(REFRESH_TIME, now).collect();
            tell(node, own);
        }
        if self.requests_sent < REQUESTS {
            self.requests_sent += 1;
            request_kept(node);
        }
    }
}

/// The buckets whose first boxes have changed.
#[derive(Debug, Default)]
struct ChangedBuckets {
    buckets: BTreeSet<usize>,
    /// Whether this box is among the first ones of any of them.
    has_own: bool,
}

/// Ranks the boxes that are up.
fn update_ranking(node: &ServingNode, now: Moment) -> ChangedBuckets {
    let me = node.settings.load().node.ip;
    let up = node.peers.lock().relay_candidates(now);
    let boxes: BTreeSet<_> = up.iter().map(|listed| listed.ip).chain([me]).collect();
    let mut ranking = node.stream_versions.ranking.lock();
    if ranking.boxes == boxes {
        return ChangedBuckets::default();
    }
    let before = std::mem::replace(&mut *ranking, KeeperRanking::new(boxes));
    let differs = |bucket: &usize| before.by_bucket.get(*bucket) != ranking.by_bucket.get(*bucket);
    let buckets: BTreeSet<_> = (0..STREAM_BUCKETS).filter(differs).collect();
    let has_own = buckets.iter().any(|bucket| ranking.by_bucket[*bucket].contains(&me));
    ChangedBuckets { buckets, has_own }
}

/// Asks the other boxes of the buckets that this one keeps for what they know.
fn request_kept(node: &ServingNode) {
    let me = node.settings.load().node.ip;
    let others: BTreeSet<_> = {
        let ranking = node.stream_versions.ranking.lock();
        let buckets = ranking.by_bucket.iter().filter(|ranked| ranked.contains(&me));
        buckets.flatten().copied().filter(|ip| *ip != me).collect()
    };
    let messages = others.into_iter().map(|ip| (ip, Message::KeptOriginsRequest));
    node.stream_versions.send(messages);
}

/// Answers a box that asks for what it is to keep.
pub fn handle_kept_request(node: &ServingNode, from: Ipv4Addr) {
    let all = all_known(node);
    if all.is_empty() {
        return;
    }
    let boxes = node.stream_versions.ranking.lock().boxes.clone();
    let with_sender = || boxes.iter().copied().chain([from]).collect::<BTreeSet<_>>().into_iter();
    let kept: Vec<bool> =
        (0..STREAM_BUCKETS).map(|bucket| rank(bucket, with_sender()).contains(&from)).collect();
    let own = all.into_iter().filter(|aged| kept[aged.origin.stream.bucket()]);
    let own: Vec<_> = own.map(KeptOrigin::new).collect();
    send(&node.stream_versions, from, &own);
}

/// Records the streams that another box began to relay.
pub fn handle_origins(node: &ServingNode, origins: &[StreamOrigin]) {
    let aged = origins.iter().map(|origin| AgedOrigin { origin: *origin, age: Duration::ZERO });
    record(node, aged);
}

/// Records the streams that another box knows.
pub fn handle_kept(node: &ServingNode, origins: &[KeptOrigin]) {
    record(node, origins.iter().map(KeptOrigin::aged));
}

fn record(node: &ServingNode, origins: impl Iterator<Item = AgedOrigin>) {
    let (state, now) = (&node.stream_versions, node.now());
    let mut told = state.told.lock();
    for aged in origins {
        if told.record_aged(aged, now) {
            state.rows.add(aged.origin.stream);
        }
    }
}
