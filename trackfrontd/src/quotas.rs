//! The limits of client accounts at this box, and the waits of its requests for them.
//!
//! [`trackfront_core::quota`] decides. Whoever holds [`Quotas`] carries its questions to other boxes and the
//! answers back, and tells it which boxes there are.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use trackfront_core::accounts::AccountLimit;
use trackfront_core::quota::pool::{Pool, PoolTerms};
use trackfront_core::quota::share::{Outcome, OutgoingRequest, QuotaShare, Step, Waiter};
use trackfront_core::quota::{
    AccountId, BoxId, PARTITIONS, QuotaReply, QuotaRequest, rank_coordinators,
};
use trackfront_core::units::Moment;

/// How often shares are looked at without a cause: often enough for questions without an answer.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);

/// When to come back if a wait ended without an answer.
const UNKNOWN_RETRY: Duration = Duration::from_millis(400);

/// The limits at one box.
pub struct Quotas {
    me: BoxId,
    state: Mutex<State>,
    /// Told when a request waits, or limits have changed.
    wake: Notify,
}

struct State {
    limits: HashMap<AccountId, AccountLimit>,
    shares: Vec<QuotaShare>,
    pools: Vec<Pool>,
    waits: HashMap<Waiter, oneshot::Sender<Outcome>>,
    last_wait: u64,
    /// The boxes in the order in which they keep each partition; empty while none is known.
    rankings: Vec<Vec<BoxId>>,
    /// How many boxes share the limits, once that is known.
    boxes: Option<usize>,
}

impl Quotas {
    /// Makes the limits of a box; none is set yet. Numbers of questions begin at `number`, which should differ
    /// from one start of a box to the next.
    pub fn new(me: BoxId, number: u32) -> Self {
        let state = State {
            limits: HashMap::new(),
            shares: (0..PARTITIONS)
                .map(|partition| QuotaShare::new(me, partition, number))
                .collect(),
            pools: (0..PARTITIONS).map(|_| Pool::default()).collect(),
            waits: HashMap::new(),
            last_wait: 0,
            rankings: vec![Vec::new(); PARTITIONS],
            boxes: None,
        };
        Self { me, state: Mutex::new(state), wake: Notify::new() }
    }

    /// Takes over limits.
    pub fn set_limits(&self, limits: HashMap<AccountId, AccountLimit>) {
        self.state.lock().limits = limits;
        self.wake.notify_one();
    }

    /// Learns the other boxes that may be up, and how many share the limits, this one included.
    pub fn set_boxes(&self, others: &[BoxId], sharing: Option<usize>) {
        let mut state = self.state.lock();
        state.boxes = sharing;
        // A box that knows no other may not know them yet.
        if others.is_empty() && sharing.is_none() {
            return;
        }
        // A box that does not know how many share a limit cannot keep it: others that do are asked.
        let me = sharing.map(|_| self.me);
        for partition in 0..PARTITIONS {
            let all = others.iter().copied().chain(me);
            state.rankings[partition] = rank_coordinators(partition, all);
        }
    }

    /// Returns whether there are limits to keep.
    pub fn has_limits(&self) -> bool {
        !self.state.lock().limits.is_empty()
    }

    /// Takes units for a request, and waits at most `patience` for them.
    pub async fn take(
        &self,
        account: AccountId,
        units: u32,
        now: Moment,
        patience: Duration,
    ) -> Outcome {
        let (waiter, over) = {
            let mut state = self.state.lock();
            let Some(waiter) = state.take(account, units, now) else {
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
    pub fn keeper(&self, account: AccountId) -> Option<BoxId> {
        self.state.lock().shares[account.partition()].coordinator()
    }

    /// Waits until there may be something to ask, or for the time after which to look in any case.
    pub async fn woken(&self) {
        // Looked at again in any case.
        let _ = timeout(LOOK_EVERY, self.wake.notified()).await;
    }

    /// Returns the questions that are to go to other boxes now.
    pub fn questions(&self, now: Moment) -> Vec<OutgoingRequest> {
        let mut state = self.state.lock();
        let mut used = [false; PARTITIONS];
        state.limits.keys().for_each(|account| used[account.partition()] = true);
        let used = (0..PARTITIONS).filter(|partition| used[*partition]);
        used.flat_map(|partition| state.poll(partition, self.me, now)).collect()
    }

    /// Answers another box; `None` if its question makes no sense, or this box cannot keep limits yet.
    pub fn answer(&self, from: BoxId, request: &QuotaRequest, now: Moment) -> Option<QuotaReply> {
        self.state.lock().answer(from, request, now)
    }

    /// Takes in the answer of another box.
    pub fn take_in(&self, from: BoxId, answer: &QuotaReply, now: Moment) {
        self.state.lock().answered(from, answer, now);
        // Those that came while the question was open are asked for now.
        self.wake.notify_one();
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

    /// Answers a question; `None` while it is not known how many boxes share the limits. An answer would be taken for
    /// one of a keeper, and nothing granted for a limit that is reached: whoever gets none asks the next box.
    fn answer(&mut self, from: BoxId, request: &QuotaRequest, now: Moment) -> Option<QuotaReply> {
        self.boxes?;
        let terms = PoolTerms { limits: &self.limits, boxes: self.boxes };
        let pool = self.pools.get_mut(usize::from(request.partition))?;
        Some(pool.answer(from, request, &terms, now))
    }

    fn answered(&mut self, from: BoxId, answer: &QuotaReply, now: Moment) {
        let Some(share) = self.shares.get_mut(usize::from(answer.partition)) else {
            return;
        };
        let over = share.apply_reply(from, answer, now);
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
    fn poll(&mut self, partition: usize, me: BoxId, now: Moment) -> Vec<OutgoingRequest> {
        let mut to_others = Vec::new();
        loop {
            let Step { sends, over } = self.shares[partition].poll(&self.rankings[partition], now);
            self.end_waits(over);
            let (own, others): (Vec<OutgoingRequest>, Vec<OutgoingRequest>) =
                sends.into_iter().partition(|send| send.to == me);
            to_others.extend(others);
            if own.is_empty() {
                return to_others;
            }
            for send in own {
                if let Some(answer) = self.answer(me, &send.request, now) {
                    self.answered(me, &answer, now);
                }
            }
        }
    }
}
