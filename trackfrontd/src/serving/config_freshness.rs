//! Keeps track of how new the configuration in force is, by asking the store and other boxes.
//!
//! The reader of a hall asks the store; the others ask the reader, more boxes if its answers are missing, and
//! the store where no box has anything newer. Questions go some times within the bound on removed keys, and
//! only where a bound is set and requests need keys: 1.25 a second and box under a bound of 5 s.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tokio::time::sleep;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::serving::key_freshness::{KeyFreshness, RevocationTerms};
use trackfront_core::units::Moment;

use super::feed_relay::{HallPeers, hall_peers};
use super::messages::{ConfigVersionReply, ConfigVersionRequest, Message};
use super::node::ServingNode;
use super::peer_socket::PeerSocket;

/// How many questions may be without an answer; older ones are forgotten.
const OPEN_QUESTIONS: usize = 64;

/// How many more boxes are asked where the reader's answers are missing.
const MORE_BOXES: usize = 2;

/// How many times more often is asked while answers are missing.
const HURRY: u32 = 4;

/// How often a box looks whether keys have to be kept track of at all.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// The dependency's name in logs and metrics.
const DEPENDENCY: &str = "store_newest";

/// What one box tells another of how new its configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRow {
    /// The row in force there.
    pub row: u64,
    /// How many milliseconds ago it was the newest for certain.
    pub age_ms: u32,
}

/// What a box knows of the age of its configuration, and its open questions.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    freshness: Mutex<KeyFreshness>,
    questions: Mutex<Questions>,
}

#[derive(Debug, Default)]
struct Questions {
    last: u32,
    /// When another box last answered.
    answered_at: Option<Moment>,
    open: VecDeque<(u32, Moment)>,
}

impl Questions {
    /// Notes a question that is about to be sent.
    fn ask(&mut self, now: Moment) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.open.push_back((self.last, now));
        if self.open.len() > OPEN_QUESTIONS {
            self.open.pop_front();
        }
        self.last
    }

    /// Returns when a question was asked; several boxes may answer it.
    fn asked_at(&self, number: u32) -> Option<Moment> {
        self.open.iter().find(|(open, _)| *open == number).map(|(_, at)| *at)
    }
}

impl ConfigFreshness {
    /// Notes that the configuration of a row is in force.
    pub fn set_in_force(&self, row: u64) {
        self.freshness.lock().set_in_force(row);
    }

    /// Notes that `row` was the newest at `as_of` or later.
    pub fn confirm(&self, row: u64, as_of: Moment) {
        self.freshness.lock().confirm_newest(row, as_of);
    }

    /// Returns what this box can tell others at `now`.
    pub fn confirmed_row(&self, now: Moment) -> Option<ConfirmedRow> {
        let freshness = self.freshness.lock();
        let age = freshness.age(now)?;
        // Rounded up: an age that is told too small would lengthen the life of a removed key.
        let age_ms = u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
        Some(ConfirmedRow { row: freshness.row_in_force(), age_ms })
    }

    /// Takes in what another box told that was asked at `asked_at`.
    pub fn merge_report(&self, told: ConfirmedRow, asked_at: Moment) {
        let age = Duration::from_millis(u64::from(told.age_ms));
        self.freshness.lock().apply_peer_answer(told.row, age, asked_at);
    }

    /// Returns whether keys may be answered at `now`.
    pub fn is_usable(&self, terms: RevocationTerms, now: Moment) -> bool {
        self.freshness.lock().is_usable(terms, now)
    }

    /// Returns how long ago the configuration in force was the newest for certain.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.freshness.lock().age(now)
    }
}

/// Asks again and again, for as long as the box lives.
pub async fn track_config_freshness(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut store = StoreCheck { node: node.clone(), fails: false };
    let mut was_usable = true;
    let mut waking = node.suspensions.subscribe();
    loop {
        let needs_keys =
            node.config.load().as_ref().is_some_and(|config| config.accounts.is_some());
        let terms = node.settings.load().promises.keys();
        let Some(terms) = terms.filter(|_| needs_keys) else {
            sleep(LOOK_EVERY).await;
            continue;
        };
        // What was found out before a suspension is too old now, and a question that it broke into may stay open.
        waking.acknowledge();
        let began = node.now();
        let mates = hall_peers(&node);
        let age = node.config_freshness.age(began);
        log_change(&node, terms, age, &mut was_usable);
        ask(&node, &socket, terms, &mates, age).await;
        if must_ask_store(&node, terms, &mates, age)
            && waking.unless_suspended(store.check()).await.is_none()
        {
            continue;
        }
        let is_late =
            node.config_freshness.age(node.now()).is_none_or(|age| age >= terms.wider_query_age());
        let pause = if is_late { terms.query_interval() / HURRY } else { terms.query_interval() };
        // Asked again in any case, at once after a suspension.
        let _ = waking.unless_suspended(sleep(pause.saturating_sub(node.now().since(began)))).await;
    }
}

/// Logs when the box can no longer tell whether keys are good, and when it can again.
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

/// Asks other boxes.
async fn ask(
    node: &ServingNode,
    socket: &PeerSocket,
    terms: RevocationTerms,
    mates: &HallPeers,
    age: Option<Duration>,
) {
    let mut boxes: Vec<Ipv4Addr> = mates.reader.into_iter().collect();
    if age.is_none_or(|age| age >= terms.wider_query_age()) {
        let reachable = node.peers.lock().reachable(node.now());
        boxes.extend(reachable.sample(&mut rand::rng(), MORE_BOXES));
    }
    if boxes.is_empty() {
        return;
    }
    let number = node.config_freshness.questions.lock().ask(node.now());
    socket.send(&Message::ConfigVersionRequest(ConfigVersionRequest { number }), &boxes).await;
}

/// Returns whether this box asks the store: as the reader of its hall; as the first after it, where its answers
/// are too old; and any box that no other answers. In an outage of the store the others would all ask in vain.
fn must_ask_store(
    node: &ServingNode,
    terms: RevocationTerms,
    mates: &HallPeers,
    age: Option<Duration>,
) -> bool {
    let is_late = age.is_none_or(|age| age >= terms.store_query_age());
    let answered_at = node.config_freshness.questions.lock().answered_at;
    let is_alone = answered_at.is_none_or(|at| node.now().since(at) >= terms.wider_query_age());
    mates.is_reader() || (is_late && (mates.rank == 1 || is_alone))
}

/// Questions to the store, and whether the last one failed.
struct StoreCheck {
    node: Arc<ServingNode>,
    fails: bool,
}

impl StoreCheck {
    async fn check(&mut self) {
        let node = &self.node;
        node.metrics.store_calls.get_or_create(&KindLabel { kind: "is_newest_config" }).inc();
        let row = node.config_row_in_force();
        let asked_at = node.now();
        match node.ports.knowledge.is_newest_config(row).await {
            Ok(is_newest) => {
                if self.fails {
                    log::info!(dependency = DEPENDENCY; "dependency regained");
                }
                self.fails = false;
                match is_newest {
                    true => node.config_freshness.confirm(row, asked_at),
                    // Whatever is newer has a larger version; it is read now, beside the feed.
                    false => node.feed_state.lock().record_config_row(row + 1, None),
                }
            }
            Err(error) => {
                if !self.fails {
                    log::warn!(dependency = DEPENDENCY, error:% = error; "dependency lost");
                }
                self.fails = true;
            }
        }
        node.set_dependency(DEPENDENCY, !self.fails);
    }
}

/// Answers a box that asks.
pub fn handle_request(
    node: &ServingNode,
    socket: &PeerSocket,
    ip: Ipv4Addr,
    question: ConfigVersionRequest,
) {
    let Some(ConfirmedRow { row, age_ms }) = node.config_freshness.confirmed_row(node.now()) else {
        return;
    };
    let told = ConfigVersionReply { number: question.number, row, age_ms };
    socket.send_now(&Message::ConfigVersionReply(told), ip);
}

/// Takes in the answer of another box.
pub fn handle_reply(node: &ServingNode, ip: Ipv4Addr, told: ConfigVersionReply) {
    let asked_at = {
        let mut questions = node.config_freshness.questions.lock();
        let asked_at = questions.asked_at(told.number);
        questions.answered_at = asked_at.map_or(questions.answered_at, |_| Some(node.now()));
        asked_at
    };
    let Some(asked_at) = asked_at else {
        return;
    };
    node.config_freshness
        .merge_report(ConfirmedRow { row: told.row, age_ms: told.age_ms }, asked_at);
    if told.row > node.config_row() {
        node.feed_state.lock().record_config_row(told.row, Some(ip));
        node.feed_update_received.notify_waiters();
    }
}
