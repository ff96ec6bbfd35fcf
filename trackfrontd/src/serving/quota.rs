//! Keeps the limits of client accounts together with the other boxes.
//!
//! [`trackfront_core::quota`] decides; this module has the waits of requests, sends questions and answers, and
//! tells the decisions which boxes there are.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use trackfront_core::accounts::AccountLimit;
use trackfront_core::quota::pool::{Pool, PoolTerms};
use trackfront_core::quota::share::{Outcome, Send, Share, Step, Waiter};
use trackfront_core::quota::{AccountId, Answer, Ask, BoxId, PARTITIONS, keepers};
use trackfront_core::serving::config::ServingConfig;
use trackfront_core::units::Moment;

use super::messages::Message;
use super::node::ServingNode;
use super::peer_socket::PeerSocket;

/// How often shares are looked at without a cause: often enough for questions without an answer.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How often the order of the boxes is made anew.
const RANK_EVERY: Duration = Duration::from_millis(1_000);

/// When to come back if a wait ended without an answer.
const UNKNOWN_RETRY: Duration = Duration::from_millis(400);

/// The limits at this box.
pub struct Quotas {
    state: Mutex<State>,
    /// Told when a request waits, or limits have changed.
    wake: Notify,
}

struct State {
    limits: HashMap<AccountId, AccountLimit>,
    shares: Vec<Share>,
    pools: Vec<Pool>,
    waits: HashMap<Waiter, oneshot::Sender<Outcome>>,
    last_wait: u64,
    /// The boxes in the order in which they keep each partition, and when it was made.
    rankings: Vec<Vec<BoxId>>,
    ranked_at: Option<Moment>,
    /// How many boxes share the limits, once that is known.
    boxes: Option<usize>,
}

impl Quotas {
    /// Makes the limits of the box at `ip`; none is set yet.
    pub fn new(ip: Ipv4Addr) -> Self {
        let me = BoxId(ip.to_bits());
        // Questions of an earlier process at this address had other numbers.
        let number = rand::rng().random();
        let state = State {
            limits: HashMap::new(),
            shares: (0..PARTITIONS).map(|partition| Share::new(me, partition, number)).collect(),
            pools: (0..PARTITIONS).map(|_| Pool::default()).collect(),
            waits: HashMap::new(),
            last_wait: 0,
            rankings: vec![Vec::new(); PARTITIONS],
            ranked_at: None,
            boxes: None,
        };
        Self { state: Mutex::new(state), wake: Notify::new() }
    }

    /// Takes over the limits of a configuration.
    pub fn set_limits(&self, config: &ServingConfig) {
        let accounts = config.accounts.iter().flat_map(|accounts| accounts.all());
        let limits = accounts.filter_map(|one| Some((AccountId::of(&one.name), one.limit?)));
        self.state.lock().limits = limits.collect();
        self.wake.notify_one();
    }

    /// Takes units for a request, and waits at most `patience` for them.
    pub async fn take(
        &self,
        node: &ServingNode,
        account: AccountId,
        units: u32,
        patience: Duration,
    ) -> Outcome {
        let (waiter, over) = {
            let mut state = self.state.lock();
            let Some(waiter) = state.take(account, units, node.now()) else {
                return Outcome::Granted;
            };
            let (tell, over) = oneshot::channel();
            state.waits.insert(waiter, tell);
            (waiter, over)
        };
        // A client that leaves meanwhile drops this, and its place with it.
        let wait = Wait { quotas: self, waiter, account };
        self.wake.notify_one();
        let outcome = timeout(patience, over).await;
        drop(wait);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Outcome::Unknown(UNKNOWN_RETRY),
        }
    }

    /// Gives units back of a request that did not run.
    pub fn give_back(&self, account: AccountId, units: u32) {
        self.state.lock().shares[account.partition()].give_back(account, units);
    }

    /// Returns the box that keeps an account's limit, as far as this one knows.
    pub fn keeper(&self, account: AccountId) -> Option<Ipv4Addr> {
        let keeper = self.state.lock().shares[account.partition()].keeper();
        keeper.map(|id| Ipv4Addr::from_bits(id.0))
    }
}

/// A place among those that wait.
struct Wait<'a> {
    quotas: &'a Quotas,
    waiter: Waiter,
    account: AccountId,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let mut state = self.quotas.state.lock();
        if state.waits.remove(&self.waiter).is_some() {
            state.shares[self.account.partition()].forget(self.waiter);
        }
    }
}

impl State {
    fn take(&mut self, account: AccountId, units: u32, now: Moment) -> Option<Waiter> {
        self.last_wait += 1;
        let waiter = Waiter(self.last_wait);
        let passes = self.shares[account.partition()].take(account, units, waiter, now);
        (!passes).then_some(waiter)
    }

    fn answer(&mut self, from: BoxId, ask: &Ask, now: Moment) -> Option<Answer> {
        let terms = PoolTerms { limits: &self.limits, boxes: self.boxes };
        let pool = self.pools.get_mut(usize::from(ask.partition))?;
        Some(pool.answer(from, ask, &terms, now))
    }

    fn answered(&mut self, from: BoxId, answer: &Answer, now: Moment) {
        let Some(share) = self.shares.get_mut(usize::from(answer.partition)) else {
            return;
        };
        let over = share.answered(from, answer, now);
        self.end_waits(over);
    }

    fn end_waits(&mut self, over: Vec<(Waiter, Outcome)>) {
        for (waiter, outcome) in over {
            if let Some(tell) = self.waits.remove(&waiter) {
                // Nobody listens if the client left in this moment; the units lapse.
                let _ = tell.send(outcome);
            }
        }
    }

    /// Looks at a partition; returns the questions to other boxes.
    fn poll(&mut self, partition: usize, me: BoxId, now: Moment) -> Vec<Send> {
        let mut to_others = Vec::new();
        loop {
            let Step { sends, over } = self.shares[partition].poll(&self.rankings[partition], now);
            self.end_waits(over);
            let (own, others): (Vec<Send>, Vec<Send>) =
                sends.into_iter().partition(|send| send.to == me);
            to_others.extend(others);
            if own.is_empty() {
                return to_others;
            }
            for send in own {
                if let Some(answer) = self.answer(me, &send.ask, now) {
                    self.answered(me, &answer, now);
                }
            }
        }
    }

    /// Makes the order of boxes anew, now and then.
    fn rank(&mut self, node: &ServingNode, me: BoxId, now: Moment) {
        if self.ranked_at.is_some_and(|at| now.since(at) < RANK_EVERY) {
            return;
        }
        let peers = node.peers.lock();
        let reachable = peers.reachable(now);
        self.boxes = node.knows_nodes().then(|| peers.sharing(now));
        drop(peers);
        // A box that knows no other may not know them yet.
        if reachable.is_empty() && self.boxes.is_none() {
            return;
        }
        self.ranked_at = Some(now);
        let others = reachable.iter().map(|ip| BoxId(ip.to_bits()));
        let all: Vec<BoxId> = others.chain([me]).collect();
        for partition in 0..PARTITIONS {
            self.rankings[partition] = keepers(partition, all.iter().copied());
        }
    }
}

/// Asks keepers again and again, for as long as the box lives.
pub async fn keep_quotas(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let me = BoxId(node.settings.load().node.ip.to_bits());
    loop {
        for send in questions(&node, me) {
            socket.send_now(&Message::AskQuota(send.ask), Ipv4Addr::from_bits(send.to.0));
        }
        // Looked at again in any case.
        let _ = timeout(LOOK_EVERY, node.quotas.wake.notified()).await;
    }
}

fn questions(node: &ServingNode, me: BoxId) -> Vec<Send> {
    let now = node.now();
    let mut state = node.quotas.state.lock();
    if state.limits.is_empty() {
        return Vec::new();
    }
    state.rank(node, me, now);
    let mut used = [false; PARTITIONS];
    state.limits.keys().for_each(|account| used[account.partition()] = true);
    let used = (0..PARTITIONS).filter(|partition| used[*partition]);
    used.flat_map(|partition| state.poll(partition, me, now)).collect()
}

/// Answers another box.
pub fn answer(node: &ServingNode, socket: &PeerSocket, ip: Ipv4Addr, ask: &Ask) {
    let answer = node.quotas.state.lock().answer(BoxId(ip.to_bits()), ask, node.now());
    if let Some(answer) = answer {
        socket.send_now(&Message::Quota(answer), ip);
    }
}

/// Takes in the answer of another box.
pub fn take_in(node: &ServingNode, ip: Ipv4Addr, answer: &Answer) {
    node.quotas.state.lock().answered(BoxId(ip.to_bits()), answer, node.now());
    // Those that came while the question was open are asked for now.
    node.quotas.wake.notify_one();
}
