//! The limits of client accounts at this box, and the requests that wait for units.
//!
//! [`trackfront_core::quota`] makes the decisions. The owner of [`Quotas`] sends its requests to other boxes, passes on
//! their replies, and keeps the list of boxes up to date.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use trackfront_core::accounts::AccountLimit;
use trackfront_core::quota::pool::{Pool, PoolTerms};
use trackfront_core::quota::share::{
    EndedWait, OutgoingRequest, Polled, QuotaShare, WaitOutcome, Waiter,
};
use trackfront_core::quota::{
    AccountId, BoxId, PARTITIONS, QuotaReply, QuotaRequest, rank_coordinators,
};
use trackfront_core::units::Moment;

/// The interval of polls without a cause, shorter than the timeout of a quota request.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The retry delay of a request whose wait ended without a reply.
const NO_REPLY_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The limits at one box.
pub struct Quotas {
    own_id: BoxId,
    state: Mutex<State>,
    /// Notified when a request waits, a reply arrived, or the limits have changed.
    poll_wanted: Notify,
}

struct State {
    limits: HashMap<AccountId, AccountLimit>,
    shares: Vec<QuotaShare>,
    pools: Vec<Pool>,
    waits: HashMap<Waiter, oneshot::Sender<WaitOutcome>>,
    last_waiter: u64,
    /// The boxes by rank as coordinator of each partition; empty while none is known.
    rankings: Vec<Vec<BoxId>>,
    /// The number of boxes that share the limits; `None` while unknown.
    box_count: Option<usize>,
}

impl Quotas {
    /// Creates the limits of a box, none of which is set yet. Numbers of quota requests continue from `number`, which
    /// should differ between restarts of a box.
    pub fn new(own_id: BoxId, number: u32) -> Self {
        let state = State {
            limits: HashMap::new(),
            shares: (0..PARTITIONS)
                .map(|partition| QuotaShare::new(own_id, partition, number))
                .collect(),
            pools: (0..PARTITIONS).map(|_| Pool::default()).collect(),
            waits: HashMap::new(),
            last_waiter: 0,
            rankings: vec![Vec::new(); PARTITIONS],
            box_count: None,
        };
        Self { own_id, state: Mutex::new(state), poll_wanted: Notify::new() }
    }

    /// Replaces all limits.
    pub fn set_limits(&self, limits: HashMap<AccountId, AccountLimit>) {
        self.state.lock().limits = limits;
        self.poll_wanted.notify_one();
    }

    /// Sets the other boxes that may be up, and how many boxes share the limits, including this one. The number is
    /// `None` while unknown.
    pub fn set_boxes(&self, others: &[BoxId], box_count: Option<usize>) {
        let mut state = self.state.lock();
        state.box_count = box_count;
        // A box that knows no other may not have received their list yet.
        if others.is_empty() && box_count.is_none() {
            return;
        }
        // This box can only coordinate limits if it knows how many boxes share them.
        let own_id = box_count.map(|_| self.own_id);
        for partition in 0..PARTITIONS {
            let all = others.iter().copied().chain(own_id);
            state.rankings[partition] = rank_coordinators(partition, all);
        }
    }

    /// Returns whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        !self.state.lock().limits.is_empty()
    }

    /// Takes units for a request, and waits at most `max_wait` for them. A client that leaves meanwhile drops the future,
    /// which cancels the wait.
    pub async fn take(
        &self,
        account: AccountId,
        units: u32,
        now: Moment,
        max_wait: Duration,
    ) -> WaitOutcome {
        let (waiter, ended) = {
            let mut state = self.state.lock();
            let Some(waiter) = state.take(account, units, now) else {
                return WaitOutcome::Granted;
            };
            let (sender, ended) = oneshot::channel();
            state.waits.insert(waiter, sender);
            (waiter, ended)
        };
        let wait = Wait { quotas: self, waiter, account };
        self.poll_wanted.notify_one();
        let outcome = timeout(max_wait, ended).await;
        drop(wait);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => WaitOutcome::NoCoordinator { retry_after: NO_REPLY_RETRY_DELAY },
        }
    }

    /// Returns the units of a request that did not run.
    pub fn return_units(&self, account: AccountId, units: u32) {
        self.state.lock().shares[account.partition()].return_units(account, units);
    }

    /// Returns the box to which this one lends its quota of an account.
    pub fn coordinator(&self, account: AccountId) -> Option<BoxId> {
        self.state.lock().shares[account.partition()].coordinator()
    }

    /// Waits until a poll is due.
    pub async fn wait_for_poll(&self) {
        // A poll is due whether the wait was notified or timed out.
        let _ = timeout(POLL_INTERVAL, self.poll_wanted.notified()).await;
    }

    /// Returns the quota requests to send to other boxes.
    pub fn poll(&self, now: Moment) -> Vec<OutgoingRequest> {
        let mut state = self.state.lock();
        let mut is_used = [false; PARTITIONS];
        state.limits.keys().for_each(|account| is_used[account.partition()] = true);
        let used = (0..PARTITIONS).filter(|partition| is_used[*partition]);
        used.flat_map(|partition| state.poll(partition, self.own_id, now)).collect()
    }

    /// Handles another box's quota request. Returns `None` if it is invalid or this box cannot coordinate limits yet.
    pub fn handle_request(
        &self,
        from: BoxId,
        request: &QuotaRequest,
        now: Moment,
    ) -> Option<QuotaReply> {
        self.state.lock().handle_request(from, request, now)
    }

    /// Applies another box's reply to a quota request.
    pub fn handle_reply(&self, from: BoxId, reply: &QuotaReply, now: Moment) {
        self.state.lock().handle_reply(from, reply, now);
        // Requests that arrived while the quota request was pending need another one.
        self.poll_wanted.notify_one();
    }
}

/// A wait for units, cancelled when dropped.
struct Wait<'a> {
    quotas: &'a Quotas,
    waiter: Waiter,
    account: AccountId,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let mut state = self.quotas.state.lock();
        if state.waits.remove(&self.waiter).is_some() {
            state.shares[self.account.partition()].cancel_wait(self.waiter);
        }
    }
}

impl State {
    /// Takes units for a request. Returns the ID of its wait if it cannot pass now.
    fn take(&mut self, account: AccountId, units: u32, now: Moment) -> Option<Waiter> {
        self.last_waiter += 1;
        let waiter = Waiter(self.last_waiter);
        let passes = self.shares[account.partition()].take(account, units, waiter, now);
        (!passes).then_some(waiter)
    }

    /// Handles a quota request. Returns `None` while the number of boxes that share the limits is unknown. Nothing could
    /// be granted then, so the requesting box would take a reply to mean that the limit is reached. Without one, it
    /// tries the next box.
    fn handle_request(
        &mut self,
        from: BoxId,
        request: &QuotaRequest,
        now: Moment,
    ) -> Option<QuotaReply> {
        self.box_count?;
        let terms = PoolTerms { limits: &self.limits, boxes: self.box_count };
        let pool = self.pools.get_mut(usize::from(request.partition))?;
        Some(pool.handle_request(from, request, &terms, now))
    }

    fn handle_reply(&mut self, from: BoxId, reply: &QuotaReply, now: Moment) {
        let Some(share) = self.shares.get_mut(usize::from(reply.partition)) else {
            return;
        };
        let ended_waits = share.apply_reply(from, reply, now);
        self.end_waits(ended_waits);
    }

    fn end_waits(&mut self, ended_waits: Vec<EndedWait>) {
        for (waiter, outcome) in ended_waits {
            if let Some(sender) = self.waits.remove(&waiter) {
                // The receiver is gone if the client just left. Its units expire.
                let _ = sender.send(outcome);
            }
        }
    }

    /// Polls a partition. Returns the quota requests to other boxes.
    fn poll(&mut self, partition: usize, own_id: BoxId, now: Moment) -> Vec<OutgoingRequest> {
        let mut to_others = Vec::new();
        loop {
            let Polled { requests, ended_waits } =
                self.shares[partition].poll(&self.rankings[partition], now);
            self.end_waits(ended_waits);
            let (to_self, others): (Vec<OutgoingRequest>, Vec<OutgoingRequest>) =
                requests.into_iter().partition(|outgoing| outgoing.to == own_id);
            to_others.extend(others);
            if to_self.is_empty() {
                return to_others;
            }
            for outgoing in to_self {
                if let Some(reply) = self.handle_request(own_id, &outgoing.request, now) {
                    self.handle_reply(own_id, &reply, now);
                }
            }
        }
    }
}
