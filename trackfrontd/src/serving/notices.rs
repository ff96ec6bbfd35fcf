//! Hears what servers say of themselves in their answers, and tells the other boxes.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use trackfront_adapters::interface::ServerHead;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::cold::ColdBook;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::notices::{Learned, LimitWord, NoticeBook, Source};
use trackfront_core::units::Moment;

use super::messages::{Message, SaidNotice, ToldNotice, ToldNotices};
use super::node::{ServingNode, short_server};
use super::peer_socket::PeerSocket;
use super::{boxes, exchange};

/// The kinds of notices in metrics.
const LEAVES: &str = "leaves";
const LIMITED: &str = "limited";
const UNLIMITED: &str = "unlimited";
const BACKS_OFF: &str = "backs_off";
const COLD: &str = "cold";

/// How many times other boxes are told what is new of a server, and how long after another: some datagrams are lost.
const TIMES: u32 = 4;
const AGAIN_AFTER: Duration = Duration::from_millis(400);

/// The least time between two words on one server, which may change its mind with each answer.
const LEAST_GAP: Duration = Duration::from_millis(200);

/// How long words are gathered before they are told.
const GATHER: Duration = Duration::from_millis(15);

/// How many words one message has.
const TOLD_AT_ONCE: usize = 128;

/// How much longer than a server asked for some boxes stay away, as a part of that time: all that it turned away together
/// would come back together.
const SPREAD: f64 = 0.1;

/// How often a box that starts asks for what the others know, and after which pause.
const ROUNDS: usize = 3;
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Servers on which there is something new to tell.
#[derive(Default)]
pub struct NoticesToTell {
    waiting: Mutex<HashMap<BackendId, Telling>>,
    wake: Notify,
}

#[derive(Clone, Copy, Debug)]
struct Telling {
    left: u32,
    due: Moment,
    told: Option<Moment>,
}

impl NoticesToTell {
    fn add(&self, server: &BackendId, now: Moment) {
        let mut waiting = self.waiting.lock();
        let told = waiting.get(server).and_then(|telling| telling.told);
        let due = told.map_or(now, |told| (told + LEAST_GAP).max(now));
        waiting.insert(server.clone(), Telling { left: TIMES, due, told });
        drop(waiting);
        self.wake.notify_one();
    }

    fn take_due(&self, now: Moment) -> Vec<BackendId> {
        let mut due = Vec::new();
        self.waiting.lock().retain(|server, telling| {
            if telling.due <= now {
                due.push(server.clone());
                telling.left -= 1;
                telling.told = Some(now);
                telling.due = now + AGAIN_AFTER;
            }
            telling.left > 0
        });
        due
    }

    fn is_empty(&self) -> bool {
        self.waiting.lock().is_empty()
    }
}

/// Takes in what the head of an answer from a server's address says, unless another run of the server wrote it. `by` is
/// the request that it came to.
pub fn hear(
    node: &ServingNode,
    server: &Arc<KnownServer>,
    head: &ServerHead,
    source: Source,
    by: &str,
) {
    let is_of_other_run = match &head.instance {
        Some(key) => *key != server.entry.key,
        None => head.misdirected,
    };
    if is_of_other_run {
        return;
    }
    let (id, now) = (&server.entry.id, node.now());
    let mut notice = head.notice;
    notice.back_off = notice.back_off.map(|wait| wait.mul_f64(1.0 + SPREAD * turn_of(node, id)));
    let learned = node.notices.lock().heard(id, &notice, source, now);
    for learned in learned {
        note(node, id, learned, by);
        if is_for_all(learned) {
            node.notices_to_tell.add(id, now);
        }
    }
    if let Some(cold_for) = head.cold_for
        && note_cold(node, id, cold_for, by)
    {
        node.notices_to_tell.add(id, now);
    }
}

/// Takes in how much longer a server is cold. Returns whether that is news.
fn note_cold(node: &ServingNode, server: &BackendId, cold_for: Duration, by: &str) -> bool {
    let is_news = node.cold.lock().told(server, cold_for, node.now());
    if is_news {
        log::info!(server:%, ms = cold_for.as_millis() as u64, by; "server cold");
        node.metrics.notices.get_or_create(&KindLabel { kind: COLD }).inc();
    }
    is_news
}

/// Returns when in the time after a server's back-off this box comes back, from 0 to 1: another time than other boxes.
fn turn_of(node: &ServingNode, server: &BackendId) -> f64 {
    let me = node.settings.load().node.ip;
    let hash = blake3::hash(format!("{me} {server}").as_bytes());
    f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX)
}

/// Returns whether other boxes have to know. For how long a server wants nothing it says to each box by itself.
fn is_for_all(learned: Learned) -> bool {
    !matches!(learned, Learned::BacksOff(_))
}

/// Logs and counts what was learned of a server.
fn note(node: &ServingNode, server: &BackendId, learned: Learned, by: &str) {
    let kind = match learned {
        Learned::Leaves => {
            log::info!(server:%, by; "server says that it leaves");
            LEAVES
        }
        Learned::Limited(per_s) => {
            log::info!(server:%, per_s, by; "server limit named");
            LIMITED
        }
        Learned::Unlimited => {
            log::info!(server:%, by; "server limit over");
            // Requests that are held for a turn need none now.
            node.servers_changed.notify_waiters();
            UNLIMITED
        }
        Learned::BacksOff(wait) => {
            log::info!(server:%, ms = wait.as_millis() as u64, by; "server asks to back off");
            BACKS_OFF
        }
    };
    node.metrics.notices.get_or_create(&KindLabel { kind }).inc();
}

/// Takes in what another box was told by servers.
pub fn take_in(node: &ServingNode, told: &[ToldNotice], by: &str) {
    let now = node.now();
    for notice in told {
        let Some(server) = node.names.lock().server(notice.server).cloned() else {
            continue;
        };
        let age = Duration::from_millis(u64::from(notice.age_ms));
        let at = Moment(now.0.saturating_sub(age));
        let learned = match notice.said {
            SaidNotice::Cold(ms) => {
                note_cold(node, &server, Duration::from_millis(u64::from(ms)), by);
                None
            }
            SaidNotice::Leaves => node.notices.lock().leaves(&server, at),
            SaidNotice::Limit(per_s) if !per_s.is_finite() || per_s < 0.0 => continue,
            SaidNotice::Limit(per_s) => node.notices.lock().limit(&server, Some(per_s), at),
            SaidNotice::LimitOver => node.notices.lock().limit(&server, None, at),
        };
        learned.into_iter().for_each(|learned| note(node, &server, learned, by));
    }
}

/// Tells the other boxes what is new, for as long as this one lives.
pub async fn tell(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        let woken = node.notices_to_tell.wake.notified();
        if node.notices_to_tell.is_empty() {
            woken.await;
        } else {
            let _ = timeout(AGAIN_AFTER / 4, woken).await;
        }
        sleep(GATHER).await;
        let now = node.now();
        let due = node.notices_to_tell.take_due(now);
        if due.is_empty() {
            continue;
        }
        let told: Vec<ToldNotice> = {
            let (cold, book) = (node.cold.lock(), node.notices.lock());
            due.iter().flat_map(|server| words_on(&book, &cold, server, now)).collect()
        };
        let all = node.peers.lock().to_tell_all(now);
        for some in told.chunks(TOLD_AT_ONCE) {
            send(&socket, some, false, &all.directly).await;
            send(&socket, some, true, &all.to_hand_on).await;
        }
    }
}

async fn send(socket: &PeerSocket, notices: &[ToldNotice], hand_on: bool, boxes: &[Ipv4Addr]) {
    let told = ToldNotices { notices: notices.to_vec(), hand_on };
    socket.send(&Message::ServerNotices(told), boxes).await;
}

/// Takes in what another box tells, and hands it on to this one's part of its hall if it is to.
pub async fn hear_told(node: &ServingNode, socket: &PeerSocket, from: Ipv4Addr, told: ToldNotices) {
    take_in(node, &told.notices, &from.to_string());
    if told.hand_on {
        let part = node.peers.lock().own_part(node.now());
        send(socket, &told.notices, false, &part).await;
    }
}

/// Returns what other boxes are told of a server.
fn words_on(
    book: &NoticeBook,
    cold: &ColdBook,
    server: &BackendId,
    now: Moment,
) -> Vec<ToldNotice> {
    let told =
        |said, at| ToldNotice { server: short_server(server), said, age_ms: age_ms(at, now) };
    let limit = book.limit_of(server).map(|LimitWord { per_s, at, .. }| match per_s {
        Some(per_s) => told(SaidNotice::Limit(per_s), at),
        None => told(SaidNotice::LimitOver, at),
    });
    let leaves = book.leaving_since(server).map(|since| told(SaidNotice::Leaves, since));
    let cold = cold.told_until(server).map(|until| {
        let ms = u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX);
        told(SaidNotice::Cold(ms), now)
    });
    limit.into_iter().chain(leaves).chain(cold).collect()
}

fn age_ms(at: Moment, now: Moment) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns what is known of servers, for a box that starts; `None` if this box knows no servers yet.
pub fn copy(node: &ServingNode) -> Option<Vec<ToldNotice>> {
    if !node.knows_servers() {
        return None;
    }
    let (cold, book, now) = (node.cold.lock(), node.notices.lock(), node.now());
    let limited = book.limits().map(|(server, _)| server);
    let noticed: BTreeSet<&BackendId> =
        limited.chain(book.leaving()).chain(cold.told_cold(now)).collect();
    let words = noticed.into_iter().flat_map(|server| words_on(&book, &cold, server, now));
    Some(words.collect())
}

/// Asks the others for what they know. Of what none of them knows the servers' next answers tell.
pub async fn load(node: Arc<ServingNode>) {
    boxes::wait_for_list(&node).await;
    for _ in 0..ROUNDS {
        let others = boxes::likely_up(&node);
        // Servers that this box does not know yet have no names here.
        if node.knows_servers()
            && let Some(told) = exchange::fetch_notices(&node, &others).await
        {
            return take_in(&node, &told, "a copy of another box");
        }
        sleep(ASK_AGAIN).await;
    }
}

/// Drops what is over, and counts what is in force.
pub fn sweep(node: &ServingNode, now: Moment) {
    let directory = node.directory.lock();
    let mut book = node.notices.lock();
    book.forget_old(|server| directory.get(server).is_some(), now);
    let counts = [
        (LEAVES, book.leaving().count()),
        (LIMITED, book.limits().count()),
        (BACKS_OFF, book.backing_off(now)),
    ];
    for (kind, count) in counts {
        node.metrics.noticed_servers.get_or_create(&KindLabel { kind }).set(count as i64);
    }
}
