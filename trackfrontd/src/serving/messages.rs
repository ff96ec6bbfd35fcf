//! What nodes send to each other, in one datagram each.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::quota::{Answer, Ask};
use trackfront_core::serving::crashes::CrashReport;
use trackfront_core::serving::load::{InFlight, RankInFlight};
use trackfront_core::units::Moment;

use super::delegates::{CapacityClass, ListedBox};
use super::feed_relay::FeedUpdate;
use super::missing_items::PendingItem;

/// How many requests of one rank a box can have under way at a server: more than it takes connections. What
/// is told beyond that is wrong, and sums over all boxes stay far from the end of their range.
const MAX_TOLD_REQUESTS: u32 = 10_000;

/// What nodes send to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The load at a node.
    Digest(Digest),
    /// The demand at a node, for the giver of orders.
    Demand(DemandReport),
    /// What a box learned from the platform, for those in its hall.
    FeedUpdate(FeedUpdate),
    /// The same, packed.
    PackedFeedUpdate(Vec<u8>),
    /// Items that are on their way, for a box that lacks them.
    PendingItems(Vec<PendingItem>),
    /// All boxes that a list had.
    BoxList(BoxListUpdate),
    /// A question for the newest row of the configuration.
    ConfigVersionRequest(ConfigVersionRequest),
    /// The answer to it.
    ConfigVersionReply(ConfigVersionReply),
    /// A question to the keeper of some accounts' limits.
    QuotaRequest(Ask),
    /// The answer to it.
    QuotaReply(Answer),
    /// What is known of requests that crash servers.
    CrashReports(Vec<CrashReport>),
    /// Servers that have ended, by their short names.
    ServersEnded(Vec<u32>),
    /// What the giver of orders did, passed on by the first box of a hall.
    OverlayEntries(Vec<OverlayEntry>),
    /// What servers said of themselves.
    Notices(NoticeBatch),
    /// A question to the keeper of a server's turns.
    PermitRequest(PermitRequest),
    /// The answer to it.
    PermitReply(PermitReply),
}

/// All boxes that a list had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxListUpdate {
    /// The boxes.
    pub boxes: Vec<ListedBox>,
    /// Whether the box that gets this is to hand it on to its hall.
    pub forward: bool,
}

/// What servers said of themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeBatch {
    /// What each said.
    pub notices: Vec<NoticeRecord>,
    /// Whether the box that gets this is to hand it on to its hall.
    pub forward: bool,
}

/// What a server said of itself, and how many milliseconds ago.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeRecord {
    /// The server's short name.
    pub server: u32,
    /// What it said.
    pub kind: NoticeKind,
    /// How long ago it last did, in milliseconds.
    pub age_ms: u32,
}

/// What a server said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum NoticeKind {
    /// It leaves.
    Leaves,
    /// It takes so many requests a second from all boxes together.
    Limit(f64),
    /// It names no limit any more.
    LimitOver,
    /// It is cold for so many milliseconds more.
    Cold(u32),
}

/// A question for a turn at a server that named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Which question it is of those of the box that asks.
    pub number: u32,
    /// The server's short name.
    pub server: u32,
    /// Its limit in requests a second, as the box that asks knows it.
    pub per_s: f64,
    /// How long the box would wait for the turn, in milliseconds.
    pub max_wait_ms: u32,
    /// Whether the first keeper did not answer.
    pub is_standby: bool,
}

/// The answer to a question for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The question that this answers.
    pub number: u32,
    /// Whether the box has the turn; else it comes too late.
    pub is_granted: bool,
    /// In how many milliseconds it comes.
    pub wait_ms: u32,
}

/// Something that the giver of orders did: server, item, whether it was added (else withdrawn).
pub type OverlayEntry = (u32, u32, bool);

/// Who gives orders, as a box last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether it gives orders, by its own word.
    pub holds_lease: bool,
    /// How many milliseconds ago it said so.
    pub age_ms: u32,
    /// Until when it may.
    pub lease: Option<LeaseReport>,
}

/// A question for the newest row of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersionRequest {
    /// Which question it is of those of the box that asks.
    pub number: u32,
}

/// What a box knows of the newest row of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersionReply {
    /// The question that this answers.
    pub number: u32,
    /// The row that is in force at the box which answers.
    pub row: u64,
    /// How many milliseconds before the answer it was the newest for certain.
    pub age_ms: u32,
}

/// What a node tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The short name of the node's zone.
    pub hall: u32,
    /// How much the node can bear.
    pub capacity: CapacityClass,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// Whether the node holds the lease on orders.
    pub holds_order_lease: bool,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// Whether the platform's store last failed the node.
    pub store_lost: bool,
    /// Until when it may give orders, if it held the lease last.
    pub lease: Option<LeaseReport>,
    /// Who gives orders, where that is another.
    pub holder: Option<HolderReport>,
    /// Requests under way.
    pub server_loads: Vec<ServerLoadReport>,
    /// What it did, if it gives orders.
    pub overlay_entries: Vec<OverlayEntry>,
}

/// What a node is asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Item, hundredths of requests a second, milliseconds of work a second.
    pub rates: Vec<(u32, u32, u32)>,
    /// Items that were asked for and that no engine holds.
    pub missing_items: Vec<u32>,
    /// Adapters that requests in progress use: server, item.
    pub in_use: Vec<(u32, u32)>,
}

/// Until when a node may give orders under a version of the lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// The version of the row.
    pub version: u64,
    /// The milliseconds that are left; negative once they are over.
    pub remaining_ms: i64,
}

impl LeaseReport {
    /// Returns what is told of a right at `now`; `None` for one that was over long before any box started.
    pub fn from_announcement(word: LeaseAnnouncement, now: Moment) -> Option<Self> {
        let LeaseAnnouncement { version, ends_at } = word;
        let (left, over) = (ends_at.since(now).as_millis(), now.since(ends_at).as_millis());
        let left_ms = i64::try_from(left).ok()? - i64::try_from(over).ok()?;
        Some(Self { version, remaining_ms: left_ms })
    }

    /// Returns the word as of the moment at which it came. It was said before, so the right ends no
    /// later than that.
    pub fn announcement(self, now: Moment) -> LeaseAnnouncement {
        let left = Duration::from_millis(self.remaining_ms.max(0).unsigned_abs());
        let over = Duration::from_millis(self.remaining_ms.min(0).unsigned_abs());
        LeaseAnnouncement {
            version: self.version,
            ends_at: Moment((now + left).0.saturating_sub(over)),
        }
    }
}

/// What a node has under way at one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoadReport {
    /// The server's short name.
    pub server: u32,
    /// For each rank that has some.
    pub ranks: Vec<RankLoadReport>,
}

/// What is under way for requests of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoadReport {
    /// The rank.
    pub rank: u8,
    /// Requests.
    pub requests: u32,
    /// Milliseconds of reading.
    pub prefill_ms: u32,
    /// Milliseconds of making answers.
    pub decode_ms: u32,
}

impl ServerLoadReport {
    /// Makes it out of a share, to the millisecond.
    pub fn new(server: u32, share: &InFlight) -> Self {
        let ranks = share.by_rank.iter().enumerate().filter(|(_, one)| one.requests > 0);
        let told = |(rank, one): (usize, &RankInFlight)| RankLoadReport {
            rank: rank as u8,
            requests: one.requests,
            prefill_ms: one.prefill_ms.round() as u32,
            decode_ms: one.decode_ms.round() as u32,
        };
        Self { server, ranks: ranks.map(told).collect() }
    }

    /// Returns the share.
    pub fn in_flight(&self) -> InFlight {
        let mut share = InFlight::default();
        for told in &self.ranks {
            if let Some(rank) = share.by_rank.get_mut(usize::from(told.rank)) {
                *rank = RankInFlight {
                    requests: told.requests.min(MAX_TOLD_REQUESTS),
                    prefill_ms: f64::from(told.prefill_ms),
                    decode_ms: f64::from(told.decode_ms),
                };
            }
        }
        share
    }
}
