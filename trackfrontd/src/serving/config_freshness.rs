//! Tracks when the configuration in force was last confirmed to be the newest, by asking the store
//! and other boxes.
//!
//! The feed reader of a hall asks the store. The others ask the reader, further boxes if its
//! replies are missing, and the store if no box replies in time. Requests are sent several times
//! within the bound on the use of removed keys, and only if such a bound is set and requests need
//! keys: 1.25 a second from each box for a bound of 5 s.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tokio::time::sleep;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::serving::key_freshness::{KeyFreshness, RevocationTerms};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::feed_relay::{HallPeers, hall_peers, record_config_row};
use super::messages::{ConfigVersionReply, ConfigVersionRequest, Message};
use super::node::ServingNode;
use super::peer_socket::PeerSocket;

/// The most requests that wait for a reply. Older ones are dropped.
const MAX_OPEN_REQUESTS: usize = 64;

/// The number of additional boxes that are asked while the reader's replies are missing.
const ADDITIONAL_BOXES: usize = 2;

/// The factor by which requests are sent more often while replies are missing.
const LATE_RATE_FACTOR: u32 = 4;

/// The interval at which a box checks whether it has to track freshness at all.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The dependency's name in logs and metrics.
const DEPENDENCY: &str = "store_newest";

/// The row in force at a box, and when it was last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowConfirmation {
    /// The row in force.
    pub row: StoreVersion,
    /// The time since the row was last confirmed to be the newest, in milliseconds.
    pub age_ms: u32,
}

/// The freshness of the configuration in force, and the open requests to other boxes.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    freshness: Mutex<KeyFreshness>,
    requests: Mutex<Requests>,
}

#[derive(Debug, Default)]
struct Requests {
    last_number: u32,
    /// When another box last replied.
    replied_at: Option<Moment>,
    open: VecDeque<(u32, Moment)>,
}

impl Requests {
    /// Adds a request that is about to be sent, and returns its number.
    fn add(&mut self, now: Moment) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.open.push_back((self.last_number, now));
        if self.open.len() > MAX_OPEN_REQUESTS {
            self.open.pop_front();
        }
        self.last_number
    }

    /// Returns when a request was sent. It stays open, since several boxes may reply to it.
    fn sent_at(&self, number: u32) -> Option<Moment> {
        self.open.iter().find(|(open, _)| *open == number).map(|(_, at)| *at)
    }
}

impl ConfigFreshness {
    /// Records the row whose configuration is in force.
    pub fn set_in_force(&self, row: StoreVersion) {
        self.freshness.lock().set_in_force(row);
    }

    /// Records that `row` was the newest at `as_of` or later.
    pub fn confirm(&self, row: StoreVersion, as_of: Moment) {
        self.freshness.lock().confirm_newest(row, as_of);
    }

    /// Returns the row in force and its age at `now`, or `None` if it was never confirmed.
    pub fn confirmed_row(&self, now: Moment) -> Option<RowConfirmation> {
        let freshness = self.freshness.lock();
        let age = freshness.age(now)?;
        // Rounded up, since too small an age would prolong the use of a removed key.
        let age_ms = u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
        Some(RowConfirmation { row: freshness.row_in_force(), age_ms })
    }

    /// Merges the confirmation of another box that was asked for it at `requested_at`.
    pub fn merge_report(&self, report: RowConfirmation, requested_at: Moment) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        self.freshness.lock().apply_peer_answer(report.row, age, requested_at);
    }

    /// Returns whether the keys in force may be used at `now`.
    pub fn is_usable(&self, terms: RevocationTerms, now: Moment) -> bool {
        self.freshness.lock().is_usable(terms, now)
    }

    /// Returns the time since the configuration in force was last confirmed to be the newest.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.freshness.lock().age(now)
    }
}

/// Keeps asking for the newest row for as long as the node runs.
pub async fn track_config_freshness(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut store = StoreCheck { node: node.clone(), is_failing: false };
    let mut was_usable = true;
    let mut suspension = node.suspensions.subscribe();
    loop {
        let needs_keys =
            node.config.load().as_ref().is_some_and(|config| config.accounts.is_some());
        let terms = node.settings.load().promises.keys();
        let Some(terms) = terms.filter(|_| needs_keys) else {
            sleep(CHECK_INTERVAL).await;
            continue;
        };
        // Confirmations from before a suspension are too old, and a request that it interrupted may
        // stay open.
        suspension.acknowledge();
        let started_at = node.now();
        let hall = hall_peers(&node);
        let age = node.config_freshness.age(started_at);
        log_change(&node, terms, age, &mut was_usable);
        send_request(&node, &socket, terms, &hall, age).await;
        if must_ask_store(&node, terms, &hall, age)
            && suspension.unless_suspended(store.check()).await.is_none()
        {
            continue;
        }
        let is_late =
            node.config_freshness.age(node.now()).is_none_or(|age| age >= terms.wider_query_age());
        let delay = if is_late {
            terms.query_interval() / LATE_RATE_FACTOR
        } else {
            terms.query_interval()
        };
        // The next round starts after the delay, or at once after a suspension.
        let _ = suspension
            .unless_suspended(sleep(delay.saturating_sub(node.now().since(started_at))))
            .await;
    }
}

/// Logs when the keys in force are no longer known to be current, and when they are again.
fn log_change(
    node: &ServingNode,
    terms: RevocationTerms,
    age: Option<Duration>,
    was_usable: &mut bool,
) {
    let is_usable = age.is_some_and(|age| age < terms.max_age());
    node.set_dependency("current_keys", is_usable);
    if is_usable == *was_usable {
        return;
    }
    *was_usable = is_usable;
    let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
    let row = node.config_row_in_force();
    let end_ms = terms.bound.as_millis() as u64;
    match is_usable {
        true => log::info!(age_ms, row, end_ms; "keys known to be current"),
        false => log::warn!(age_ms, row, end_ms; "keys not known to be current"),
    }
}

/// Sends a request to other boxes.
async fn send_request(
    node: &ServingNode,
    socket: &PeerSocket,
    terms: RevocationTerms,
    hall: &HallPeers,
    age: Option<Duration>,
) {
    let mut boxes: Vec<Ipv4Addr> = hall.reader.into_iter().collect();
    if age.is_none_or(|age| age >= terms.wider_query_age()) {
        let reachable = node.peers.lock().reachable(node.now());
        boxes.extend(reachable.sample(&mut rand::rng(), ADDITIONAL_BOXES));
    }
    if boxes.is_empty() {
        return;
    }
    let number = node.config_freshness.requests.lock().add(node.now());
    socket.send(&Message::ConfigVersionRequest(ConfigVersionRequest { number }), &boxes).await;
}

/// Returns whether this box asks the store: as its hall's feed reader; as the reader's first
/// successor, if its confirmation is too old; or if no other box replies. Otherwise, during an
/// outage of the store, all boxes would ask it in vain.
fn must_ask_store(
    node: &ServingNode,
    terms: RevocationTerms,
    hall: &HallPeers,
    age: Option<Duration>,
) -> bool {
    let is_late = age.is_none_or(|age| age >= terms.store_query_age());
    let replied_at = node.config_freshness.requests.lock().replied_at;
    let is_alone = replied_at.is_none_or(|at| node.now().since(at) >= terms.wider_query_age());
    hall.is_reader() || (is_late && (hall.rank == 1 || is_alone))
}

/// Asks the store, and keeps whether the last call failed.
struct StoreCheck {
    node: Arc<ServingNode>,
    is_failing: bool,
}

impl StoreCheck {
    async fn check(&mut self) {
        let node = &self.node;
        node.metrics.store_calls.get_or_create(&KindLabel { kind: "is_newest_config" }).inc();
        let row = node.config_row_in_force();
        let requested_at = node.now();
        match node.ports.knowledge.is_newest_config(row).await {
            Ok(is_newest) => {
                if self.is_failing {
                    log::info!(dependency = DEPENDENCY; "dependency regained");
                }
                self.is_failing = false;
                match is_newest {
                    true => node.config_freshness.confirm(row, requested_at),
                    // A newer row has a larger version, which makes the follower read it without
                    // the feed.
                    false => {
                        let era = StoreVersion::start_of(node.ports.knowledge.era().unwrap_or(0));
                        let newer = row.next().max(era);
                        record_config_row(node, newer, None);
                    }
                }
            }
            Err(error) => {
                if !self.is_failing {
                    log::warn!(dependency = DEPENDENCY, error:% = error; "dependency lost");
                }
                self.is_failing = true;
            }
        }
        node.set_dependency(DEPENDENCY, !self.is_failing);
    }
}

/// Replies to another box's request, if the row in force was ever confirmed.
pub fn handle_request(
    node: &ServingNode,
    socket: &PeerSocket,
    ip: Ipv4Addr,
    request: ConfigVersionRequest,
) {
    let Some(RowConfirmation { row, age_ms }) = node.config_freshness.confirmed_row(node.now())
    else {
        return;
    };
    let reply = ConfigVersionReply { number: request.number, row, age_ms };
    socket.send_now(&Message::ConfigVersionReply(reply), ip);
}

/// Handles the reply of another box.
pub fn handle_reply(node: &ServingNode, ip: Ipv4Addr, reply: ConfigVersionReply) {
    let sent_at = {
        let mut requests = node.config_freshness.requests.lock();
        let sent_at = requests.sent_at(reply.number);
        requests.replied_at = sent_at.map_or(requests.replied_at, |_| Some(node.now()));
        sent_at
    };
    let Some(sent_at) = sent_at else {
        return;
    };
    let report = RowConfirmation { row: reply.row, age_ms: reply.age_ms };
    node.config_freshness.merge_report(report, sent_at);
    if reply.row > node.config_row() {
        record_config_row(node, reply.row, Some(ip));
        node.feed_update_received.notify_waiters();
    }
}
