//! The datagrams that boxes exchange.
//!
//! They are encoded by position: fields and variants may be renamed, but not reordered or removed.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::quota::{QuotaReply, QuotaRequest};
use trackfront_core::serving::coordinated_load::{DeclaredWork, EngineLoad, LoadQuestion};
use trackfront_core::serving::crashes::{BreakTimes, CrashReport};
use trackfront_core::serving::load::{InFlight, RankInFlight};
use trackfront_core::serving::stream_origins::{AgedOrigin, SoftwareId, StreamId, StreamOrigin};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::delegates::{CapacityClass, ListedBox};
use super::feed_relay::FeedUpdate;
use super::missing_items::PendingItem;

/// The most requests of one rank that a report may claim for a server: more than a box accepts
/// connections. Larger counts are bogus, and capping them keeps sums over all boxes far from
/// overflow.
const MAX_REPORTED_REQUESTS: u32 = 10_000;

/// A message between boxes, sent in one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The periodic state and load of a box.
    Digest(Digest),
    /// The demand at a box, for the holder of the order lease.
    Demand(DemandReport),
    /// An update from the feeds in the form of earlier versions, whose servers have no software version. It is ignored;
    /// the receiver learns of the changes from the store.
    FormerFeedUpdate,
    /// The same, compressed.
    FormerPackedFeedUpdate,
    /// Items that engines are loading, for a box that is missing them.
    PendingItems(Vec<PendingItem>),
    /// The full list of boxes.
    BoxList(BoxListUpdate),
    /// A request for the newest configuration row.
    ConfigVersionRequest(ConfigVersionRequest),
    /// The reply to a [`ConfigVersionRequest`].
    ConfigVersionReply(ConfigVersionReply),
    /// A request to the coordinator of some accounts' limits.
    QuotaRequest(QuotaRequest),
    /// The reply to a quota request.
    QuotaReply(QuotaReply),
    /// Requests that are suspected of crashing servers.
    CrashReports(Vec<CrashReport>),
    /// Short names of servers that have ended.
    ServersEnded(Vec<u32>),
    /// Overlay entries of the order holder, forwarded within a hall by its first delegate.
    OverlayEntries(Vec<OverlayEntry>),
    /// Notices that servers gave in their responses.
    Notices(NoticeBatch),
    /// A request to the coordinator of a server's permits.
    PermitRequest(PermitRequest),
    /// The reply to a [`PermitRequest`].
    PermitReply(PermitReply),
    /// A request to the coordinator of a brittle server's room.
    RoomRequest(RoomRequest),
    /// The reply to a [`RoomRequest`].
    RoomReply(RoomReply),
    /// The return of room at a brittle server.
    RoomRelease(RoomRelease),
    /// The software that began streams, for a box that keeps that.
    StreamOrigins(Vec<StreamOrigin>),
    /// A question which software began a stream.
    StreamOriginRequest(StreamOriginRequest),
    /// The reply to a [`StreamOriginRequest`].
    StreamOriginReply(StreamOriginReply),
    /// An update from the platform's feeds, for the boxes of the sender's hall.
    FeedUpdate(FeedUpdate),
    /// A [`FeedUpdate`], compressed.
    PackedFeedUpdate(Vec<u8>),
    /// A question to the coordinator of an engine's load.
    LoadRequest(LoadRequest),
    /// The reply to a [`LoadRequest`].
    LoadReply(LoadReply),
    /// How a request at an engine goes on, for the coordinator of its load.
    LoadChange(LoadChange),
    /// When connections broke under the requests of [`Message::CrashReports`], which are sent before.
    BreakTimes(Vec<BreakTimes>),
    /// The software that began streams, with the age of what is known, for a box that keeps that.
    KeptOrigins(Vec<KeptOrigin>),
    /// A question for all that the receiver knows of the streams that the sender keeps.
    KeptOriginsRequest,
    /// A question for [`Message::CrashReports`] on the requests whose crashes the sender counts.
    CrashReportsRequest,
}

/// The software that began a stream, and how long ago the box that relays it gave a sign of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// The age of the last sign, in seconds.
    pub age_s: u16,
}

impl KeptOrigin {
    /// Creates the message of an origin.
    pub fn new(aged: AgedOrigin) -> Self {
        let age_s = u16::try_from(aged.age.as_secs()).unwrap_or(u16::MAX);
        Self { origin: aged.origin, age_s }
    }

    /// Returns the origin and its age.
    pub fn aged(&self) -> AgedOrigin {
        AgedOrigin { origin: self.origin, age: Duration::from_secs(u64::from(self.age_s)) }
    }
}

/// A question to the coordinator of an engine's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The number of the question, unique at the asking box.
    pub number: u32,
    /// The engine's short name.
    pub server: u32,
    /// For which request it is asked.
    pub question: LoadQuestion,
}

/// The reply to a [`LoadRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReply {
    /// The number of the question.
    pub number: u32,
    /// The load of the engine.
    pub load: EngineLoad,
}

/// How a request at an engine goes on, for the coordinator of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChange {
    /// The number of the request, unique at the box that sends it.
    pub number: u32,
    /// The engine's short name.
    pub server: u32,
    /// What happened.
    pub kind: LoadChangeKind,
}

/// What happened to a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadChangeKind {
    /// It is being sent.
    Begun(DeclaredWork),
    /// The first event of its answer arrived.
    FirstEvent {
        /// How long work takes at the engine, in percent of the usual time, if the engine reported that.
        pace: Option<u32>,
    },
    /// It ended, however that was.
    Ended,
}

/// A question which software began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginRequest {
    /// The number of the question, unique at the asking box.
    pub number: u32,
    /// The stream.
    pub stream: StreamId,
}

/// The reply to a [`StreamOriginRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginReply {
    /// The number of the question.
    pub number: u32,
    /// The software; `None` if the box does not know it.
    pub software: Option<SoftwareId>,
}

/// The full list of boxes, as one box read it from the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxListUpdate {
    /// All boxes, the receiver among them.
    pub boxes: Vec<ListedBox>,
    /// Whether the receiver forwards the list to its part of its hall.
    pub forward: bool,
}

/// Notices that servers gave in their responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeBatch {
    /// The notices, one for each server and kind.
    pub notices: Vec<NoticeRecord>,
    /// Whether the receiver forwards them to its part of its hall.
    pub forward: bool,
}

/// A notice of one server and its age.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeRecord {
    /// The server's short name.
    pub server: u32,
    /// The content of the notice.
    pub kind: NoticeKind,
    /// The time since the server last gave it, in milliseconds.
    pub age_ms: u32,
}

/// The content of a server's notice.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum NoticeKind {
    /// The server is leaving.
    Leaves,
    /// The server accepts this many requests a second from all boxes together.
    Limit(f64),
    /// The server no longer names a limit.
    LimitOver,
    /// The server stays cold for this many more milliseconds.
    Cold(u32),
    /// The server falls over if it rejects more than this many requests a second.
    Brittle(f64),
    /// The server is no longer brittle.
    Sturdy,
    /// The server asks the receiver, which carried a request to it, to send nothing for this many milliseconds.
    BacksOff(u32),
}

/// A request for a permit to send one request to a server that named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The number of the permit request, unique at the requesting box.
    pub number: u32,
    /// The server's short name.
    pub server: u32,
    /// The server's limit in requests a second, as the requesting box knows it.
    pub per_s: f64,
    /// The longest time that the request can wait for the permit, in milliseconds.
    pub max_wait_ms: u32,
    /// Whether this goes to the standby because the coordinator did not reply.
    pub is_standby: bool,
}

/// The reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The number of the permit request.
    pub number: u32,
    /// Whether the permit is granted; otherwise it would come too late.
    pub is_granted: bool,
    /// The time until the permit is valid, in milliseconds.
    pub wait_ms: u32,
}

/// A request for room for one request at a brittle server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRequest {
    /// The number of the request for room, unique at the requesting box.
    pub number: u32,
    /// The server's short name.
    pub server: u32,
    /// The slots in the server's row.
    pub slots: u32,
    /// The longest time that the request can wait for room, in milliseconds.
    pub max_wait_ms: u32,
    /// The longest time that the request can be at the server, in milliseconds.
    pub max_time_ms: u32,
    /// Whether this goes to the standby because the coordinator did not reply.
    pub is_standby: bool,
}

/// The reply to a [`RoomRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomReply {
    /// The number of the request for room.
    pub number: u32,
    /// Whether the request may be sent.
    pub is_granted: bool,
    /// The time until room may be requested again, in milliseconds.
    pub wait_ms: u32,
}

/// The return of room: the request has ended at the server, or no longer waits for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRelease {
    /// The number of the request for room.
    pub number: u32,
    /// The server's short name.
    pub server: u32,
    /// Whether the server rejected the request for want of room.
    pub was_rejected: bool,
}

/// A change by the order holder: server, item, and whether the item was added (otherwise
/// withdrawn).
pub type OverlayEntry = (u32, u32, bool);

/// The sender's latest information on the holder of the order lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// The address of the box.
    pub ip: Ipv4Addr,
    /// Whether that box last announced that it holds the lease.
    pub holds_lease: bool,
    /// The age of that announcement in milliseconds.
    pub age_ms: u32,
    /// The end of its lease, if known.
    pub lease: Option<LeaseReport>,
}

/// A request for the newest configuration row that a box knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersionRequest {
    /// The number of the request, unique at the requesting box.
    pub number: u32,
}

/// The reply to a [`ConfigVersionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersionReply {
    /// The number of the request.
    pub number: u32,
    /// The row in force at the replying box.
    pub row: StoreVersion,
    /// The time since that row was last confirmed to be the newest, in milliseconds.
    pub age_ms: u32,
}

/// The periodic state and load of a box.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The short name of the box's hall.
    pub hall: u32,
    /// The capacity of the box, which orders the boxes of a hall.
    pub capacity: CapacityClass,
    /// The store's row of the configuration in force. Boxes of earlier versions send the version of the configuration
    /// here, a small number.
    pub config_row: StoreVersion,
    /// Whether the box holds the order lease.
    pub holds_order_lease: bool,
    /// Whether the box is stopping.
    pub stopping: bool,
    /// Whether the box's last call to the platform's store failed.
    pub store_lost: bool,
    /// The end of the box's own order lease, also after it lost the lease.
    pub lease: Option<LeaseReport>,
    /// The holder of the order lease, if that is another box.
    pub holder: Option<HolderReport>,
    /// The requests that the box has in flight at each server.
    pub server_loads: Vec<ServerLoadReport>,
    /// The overlay entries of the box, if it holds the order lease.
    pub overlay_entries: Vec<OverlayEntry>,
}

/// The demand at a box.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Item, hundredths of requests a second, milliseconds of work a second.
    pub rates: Vec<(u32, u32, u32)>,
    /// Requested items that no engine holds.
    pub missing_items: Vec<u32>,
    /// Adapters that requests in progress use: server, item.
    pub in_use: Vec<(u32, u32)>,
}

/// The end of an order lease, relative to the moment of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// The version of the lease's row.
    pub version: StoreVersion,
    /// The remaining milliseconds, negative once the lease has ended.
    pub remaining_ms: i64,
}

impl LeaseReport {
    /// Returns the report of an announcement as of `now`, or `None` if its times are out of range.
    pub fn from_announcement(announcement: LeaseAnnouncement, now: Moment) -> Option<Self> {
        let LeaseAnnouncement { version, ends_at } = announcement;
        let (remaining, over) = (ends_at.since(now).as_millis(), now.since(ends_at).as_millis());
        let remaining_ms = i64::try_from(remaining).ok()? - i64::try_from(over).ok()?;
        Some(Self { version, remaining_ms })
    }

    /// Returns the announcement as of its receipt at `now`. The report was sent earlier, so the
    /// lease ends no later than the returned moment.
    pub fn announcement(self, now: Moment) -> LeaseAnnouncement {
        let remaining = Duration::from_millis(self.remaining_ms.max(0).unsigned_abs());
        let over = Duration::from_millis(self.remaining_ms.min(0).unsigned_abs());
        LeaseAnnouncement {
            version: self.version,
            ends_at: Moment((now + remaining).0.saturating_sub(over)),
        }
    }
}

/// The requests that a box has in flight at one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoadReport {
    /// The server's short name.
    pub server: u32,
    /// The load of each rank that has requests in flight.
    pub ranks: Vec<RankLoadReport>,
}

/// The requests of one rank in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoadReport {
    /// The rank, an index into the ranks of [`InFlight`].
    pub rank: u8,
    /// The number of requests.
    pub requests: u32,
    /// Expected prefill work in milliseconds.
    pub prefill_ms: u32,
    /// Expected decode work in milliseconds.
    pub decode_ms: u32,
}

impl ServerLoadReport {
    /// Creates a report of the load at a server, rounded to milliseconds.
    pub fn new(server: u32, in_flight: &InFlight) -> Self {
        let ranks = in_flight.by_rank.iter().enumerate().filter(|(_, load)| load.requests > 0);
        let report = |(rank, load): (usize, &RankInFlight)| RankLoadReport {
            rank: rank as u8,
            requests: load.requests,
            prefill_ms: load.prefill_ms.round() as u32,
            decode_ms: load.decode_ms.round() as u32,
        };
        Self { server, ranks: ranks.map(report).collect() }
    }

    /// Returns the reported load, with unknown ranks left out and request counts capped.
    pub fn in_flight(&self) -> InFlight {
        let mut in_flight = InFlight::default();
        for report in &self.ranks {
            if let Some(load) = in_flight.by_rank.get_mut(usize::from(report.rank)) {
                *load = RankInFlight {
                    requests: report.requests.min(MAX_REPORTED_REQUESTS),
                    prefill_ms: f64::from(report.prefill_ms),
                    decode_ms: f64::from(report.decode_ms),
                };
            }
        }
        in_flight
    }
}
