//! The requesting side: the coordinator that a box lends its quota of one partition to, and the units granted to it.
//!
//! A box that gives up an unresponsive coordinator lends its quota to the next at once, although the old one may count
//! the loan for another second ([`LOAN_DURATION`](super::pool::LOAN_DURATION)). If it waited for
//! that second, links that flap every 0.4 to 3 s would lower the largest window from 0.89 to 0.84 of its bound, but up
//! to 14% of the requests that could pass would be refused (`tests/quota`, 30 boxes split into two and three parts).
//!
//! Nothing here does I/O or blocks. [`QuotaShare::poll`] returns the requests to send, and [`QuotaShare::take`] whether
//! a request may pass. `poll` and [`QuotaShare::apply_reply`] return the waits that ended.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::units::Moment;

use super::{AccountId, BoxId, Grant, QuotaReply, QuotaRequest, UnitRequest};

/// How long granted units may be used. The units used in a window were granted in a window longer by this.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(300);

/// The interval of requests to the coordinator, also when no units are needed. Three requests fit in
/// [`LOAN_DURATION`](super::pool::LOAN_DURATION).
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// The time without a reply after which a request is sent again. A box that has used up its CPU quota is paused for up
/// to 100 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// How many times a request is sent before its coordinator is considered unresponsive.
const SEND_ATTEMPTS: u32 = 3;

/// The maximum number of candidates that one probe asks.
const MAX_PROBED_BOXES: usize = 4;

/// The interval of probes to boxes that rank before the coordinator.
const PREFERRED_PROBE_INTERVAL: Duration = Duration::from_millis(2_000);

/// The first backoff of an unresponsive coordinator, doubled each time that it fails again.
const INITIAL_BACKOFF: Duration = Duration::from_millis(3_000);

/// The maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How long the failures of a box are remembered after its backoff.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// The retry delay while no box is known that could coordinate the account.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The maximum number of waiting requests of one account in a quota request. The rest are sent in the next one.
const MAX_WAITING_PER_REQUEST: usize = 64;

/// The half-life of the moving average of demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// The minimum number of requests expected within [`GRANT_LIFETIME`] for units to be requested in advance.
const PREFETCH_MIN_REQUESTS: f64 = 2.0;

/// The ID of a request that waits for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter(pub u64);

/// The outcome of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request may pass.
    Granted,
    /// The account has used up its limit. A retry is expected to pass after this time.
    Reached(Duration),
    /// No coordinator is known for the account. The client should retry after this time.
    Unknown(Duration),
}

/// A quota request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The receiver, possibly this box itself.
    pub to: BoxId,
    /// The request.
    pub request: QuotaRequest,
}

/// The actions that a poll calls for.
#[derive(Debug, Default)]
pub struct Step {
    /// Requests to send.
    pub sends: Vec<OutgoingRequest>,
    /// Waits that ended.
    pub over: Vec<(Waiter, Outcome)>,
}

/// One box's quota of the limits in one partition.
#[derive(Debug)]
pub struct QuotaShare {
    me: BoxId,
    partition: u8,
    last_number: u32,
    /// The box that the quota is lent to.
    coordinator: Option<BoxId>,
    /// When the last request was sent to the coordinator.
    requested_at: Option<Moment>,
    pending: Option<Pending>,
    probe: Option<Probe>,
    probed_at: Moment,
    backoffs: HashMap<BoxId, Backoff>,
    accounts: HashMap<AccountId, Account>,
}

/// A request without a reply yet.
#[derive(Debug)]
struct Pending {
    send: OutgoingRequest,
    sent_at: Moment,
    sends: u32,
    /// The next coordinator, if this request revokes a loan.
    next_coordinator: Option<BoxId>,
}

/// A check of which candidates for coordinator respond.
#[derive(Debug)]
struct Probe {
    number: u32,
    until: Moment,
    /// The candidates in ranking order, each with whether it replied.
    boxes: Vec<(BoxId, bool)>,
}

/// The backoff of a box that did not reply.
#[derive(Debug)]
struct Backoff {
    until: Moment,
    failures: u32,
}

#[derive(Debug, Default)]
struct Account {
    granted: VecDeque<(f64, Moment)>,
    /// Waiting requests with their units, in order. A request that is cancelled while a reply for it is pending keeps its
    /// entry, without a waiter, since the reply refers to requests by position.
    waiting: VecDeque<(Option<Waiter>, u32)>,
    /// How many of the waiting requests are in the pending quota request.
    requested: usize,
    back: f64,
    demand: Demand,
}

/// Moving averages of the units and of the requests per second.
#[derive(Debug, Default)]
struct Demand {
    units: f64,
    requests: f64,
    updated_at: Moment,
}

impl Demand {
    fn count(&mut self, units: f64, now: Moment) {
        self.decay(now);
        let weight = std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        self.units += units * weight;
        self.requests += weight;
    }

    fn decay(&mut self, now: Moment) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        let left = 0.5f64.powf(half_lives);
        self.units *= left;
        self.requests *= left;
        self.updated_at = now;
    }
}

impl Account {
    fn drop_expired_grants(&mut self, now: Moment) {
        while self.granted.front().is_some_and(|(_, until)| *until <= now) {
            self.granted.pop_front();
        }
    }

    fn level(&self) -> f64 {
        self.granted.iter().map(|(units, _)| units).sum()
    }

    /// Uses granted units, the oldest first. Returns `false` and uses none if there are too few.
    fn take(&mut self, units: f64, now: Moment) -> bool {
        self.drop_expired_grants(now);
        if self.level() < units {
            return false;
        }
        let mut left = units;
        while left > 0.0 {
            let Some((granted, _)) = self.granted.front_mut() else {
                break;
            };
            let taken = granted.min(left);
            *granted -= taken;
            left -= taken;
            if *granted <= 0.0 {
                self.granted.pop_front();
            }
        }
        true
    }

    /// Returns the units to request in advance.
    fn prefetch_units(&mut self, now: Moment) -> u32 {
        self.demand.decay(now);
        let lifetime_s = GRANT_LIFETIME.as_secs_f64();
        if self.demand.requests * lifetime_s < PREFETCH_MIN_REQUESTS {
            return 0;
        }
        (self.demand.units * lifetime_s - self.level()).max(0.0) as u32
    }

    /// Ends all waits with the given outcome.
    fn end_all(&mut self, outcome: Outcome) -> impl Iterator<Item = (Waiter, Outcome)> + '_ {
        self.requested = 0;
        self.waiting.drain(..).filter_map(move |(waiter, _)| Some((waiter?, outcome)))
    }
}

impl QuotaShare {
    /// Creates the quota share of a box without a coordinator. Request numbers continue from `number`, which should
    /// differ between restarts of a box.
    pub fn new(me: BoxId, partition: usize, number: u32) -> Self {
        Self {
            me,
            partition: partition as u8,
            last_number: number,
            coordinator: None,
            requested_at: None,
            pending: None,
            probe: None,
            probed_at: Moment::default(),
            backoffs: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Takes `units` for a request. Returns `true` if it may pass now; otherwise it is queued as `waiter`.
    pub fn take(&mut self, account: AccountId, units: u32, waiter: Waiter, now: Moment) -> bool {
        let account = self.accounts.entry(account).or_default();
        account.demand.count(f64::from(units), now);
        // Requests that already wait have precedence.
        if account.waiting.is_empty() && account.take(f64::from(units), now) {
            return true;
        }
        account.waiting.push_back((Some(waiter), units));
        false
    }

    /// Returns the units of a request that did not run.
    pub fn give_back(&mut self, account: AccountId, units: u32) {
        self.accounts.entry(account).or_default().back += f64::from(units);
    }

    /// Cancels the wait of a request. Units still granted for it are returned.
    pub fn forget(&mut self, waiter: Waiter) {
        for account in self.accounts.values_mut() {
            let index = account.waiting.iter().position(|(other, _)| *other == Some(waiter));
            match index {
                Some(index) if index < account.requested => account.waiting[index].0 = None,
                Some(index) => drop(account.waiting.remove(index)),
                None => {}
            }
        }
    }

    /// Returns the box that the quota is lent to.
    pub fn coordinator(&self) -> Option<BoxId> {
        self.coordinator
    }

    /// Returns the actions due at `now`. `ranking` lists the boxes that may be up, normally including this one, in order
    /// of preference as coordinator; it is empty while they are unknown.
    pub fn poll(&mut self, ranking: &[BoxId], now: Moment) -> Step {
        let mut step = Step::default();
        if ranking.is_empty() {
            self.end_waits(Outcome::Unknown(UNKNOWN_RETRY_DELAY), &mut step);
            return step;
        }
        self.backoffs.retain(|_, backoff| backoff.until + FAILURE_MEMORY > now);
        self.resend_or_fail_over(ranking, now, &mut step);
        self.end_probe(ranking, now, &mut step);
        if self.pending.is_some() || self.probe.is_some() {
            return step;
        }
        let coordinator = *self
            .coordinator
            .get_or_insert_with(|| first_available(&self.backoffs, ranking, self.me, now));
        if self.is_preferred_probe_due(coordinator, ranking, now) {
            self.probe_preferred(coordinator, ranking, now, &mut step);
            if self.pending.is_some() {
                return step;
            }
        }
        let is_wanted = self.accounts.values().any(|account| !account.waiting.is_empty());
        let is_due = self.requested_at.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL);
        if is_wanted || is_due {
            self.request_units(coordinator, now, &mut step);
        }
        step
    }

    /// Applies a reply. Returns the waits that ended.
    pub fn apply_reply(
        &mut self,
        from: BoxId,
        reply: &QuotaReply,
        now: Moment,
    ) -> Vec<(Waiter, Outcome)> {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == reply.number) {
            probe.boxes.iter_mut().filter(|(id, _)| *id == from).for_each(|(_, up)| *up = true);
            return Vec::new();
        }
        let is_reply = |pending: &Pending| {
            pending.send.to == from && pending.send.request.number == reply.number
        };
        let Some(pending) = self.pending.take_if(|pending| is_reply(pending)) else {
            return Vec::new();
        };
        self.backoffs.remove(&from);
        if let Some(next_coordinator) = pending.next_coordinator {
            self.coordinator = Some(next_coordinator);
            self.requested_at = None;
            return Vec::new();
        }
        let mut over = Vec::new();
        let until = pending.sent_at + GRANT_LIFETIME;
        for (want, grant) in pending.send.request.unit_requests.iter().zip(&reply.grants) {
            let account = self.accounts.entry(want.account).or_default();
            account.apply_grant(grant, until, now, &mut over);
        }
        over
    }

    /// Sends the coordinator a request that renews the loan and asks for the needed units.
    fn request_units(&mut self, coordinator: BoxId, now: Moment, step: &mut Step) {
        let mut unit_requests = Vec::new();
        for (id, account) in &mut self.accounts {
            account.drop_expired_grants(now);
            let waiting_units = account.waiting.iter().take(MAX_WAITING_PER_REQUEST);
            let waiting_units: Vec<u32> = waiting_units.map(|(_, units)| *units).collect();
            account.requested = waiting_units.len();
            let (prefetch_units, returned_units) =
                (account.prefetch_units(now), account.back as u32);
            account.back = 0.0;
            if !waiting_units.is_empty() || prefetch_units > 0 || returned_units > 0 {
                unit_requests.push(UnitRequest {
                    account: *id,
                    waiting_units,
                    prefetch_units,
                    returned_units,
                });
            }
        }
        let request = QuotaRequest {
            number: self.next_number(),
            partition: self.partition,
            lends: true,
            unit_requests,
        };
        self.requested_at = Some(now);
        self.send(OutgoingRequest { to: coordinator, request }, None, now, step);
    }

    fn send(
        &mut self,
        send: OutgoingRequest,
        next_coordinator: Option<BoxId>,
        now: Moment,
        step: &mut Step,
    ) {
        step.sends.push(send.clone());
        self.pending = Some(Pending { send, sent_at: now, sends: 1, next_coordinator });
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Resends the pending request after a timeout, or gives up its coordinator after the last attempt.
    fn resend_or_fail_over(&mut self, ranking: &[BoxId], now: Moment, step: &mut Step) {
        let Some(pending) = self.pending.as_mut() else {
            return;
        };
        if now.since(pending.sent_at) < REPLY_TIMEOUT * pending.sends {
            return;
        }
        if pending.sends < SEND_ATTEMPTS {
            pending.sends += 1;
            if pending.send.request.lends {
                self.requested_at = Some(now);
            }
            step.sends.push(pending.send.clone());
            return;
        }
        let coordinator = pending.send.to;
        let failures = self
            .backoffs
            .get(&coordinator)
            .map_or(0, |backoff| backoff.failures)
            .min(MAX_BACKOFF_DOUBLINGS);
        let until = now + INITIAL_BACKOFF * 2u32.pow(failures);
        self.backoffs.insert(coordinator, Backoff { until, failures: failures + 1 });
        self.pending = None;
        self.coordinator = None;
        self.requested_at = None;
        self.start_probe(candidates(&self.backoffs, ranking, self.me, None, now), now, step);
    }

    /// Returns whether a probe of the boxes that rank before the coordinator is due.
    fn is_preferred_probe_due(&self, coordinator: BoxId, ranking: &[BoxId], now: Moment) -> bool {
        ranking.first() != Some(&coordinator)
            && now.since(self.probed_at) >= PREFERRED_PROBE_INTERVAL
    }

    /// Probes the boxes that rank before the coordinator. If there are none but this box itself ranks before it, because
    /// it could not coordinate limits until now, it revokes its loan at once.
    fn probe_preferred(
        &mut self,
        coordinator: BoxId,
        ranking: &[BoxId],
        now: Moment,
        step: &mut Step,
    ) {
        let before = candidates(&self.backoffs, ranking, self.me, Some(coordinator), now);
        if !before.is_empty() {
            self.start_probe(before, now, step);
            return;
        }
        if is_before(ranking, self.me, coordinator) {
            self.probed_at = now;
            self.revoke_loan(coordinator, self.me, now, step);
        }
    }

    /// Revokes the loan to a coordinator, to lend the quota to `next_coordinator` instead. Like other requests it is sent
    /// only while none is pending, and is resent until a reply arrives.
    fn revoke_loan(
        &mut self,
        coordinator: BoxId,
        next_coordinator: BoxId,
        now: Moment,
        step: &mut Step,
    ) {
        let number = self.next_number();
        let request = QuotaRequest {
            number,
            partition: self.partition,
            lends: false,
            unit_requests: Vec::new(),
        };
        self.send(OutgoingRequest { to: coordinator, request }, Some(next_coordinator), now, step);
    }

    fn start_probe(&mut self, boxes: Vec<BoxId>, now: Moment, step: &mut Step) {
        self.probed_at = now;
        if boxes.is_empty() {
            return;
        }
        let number = self.next_number();
        let request = QuotaRequest {
            number,
            partition: self.partition,
            lends: false,
            unit_requests: Vec::new(),
        };
        step.sends
            .extend(boxes.iter().map(|to| OutgoingRequest { to: *to, request: request.clone() }));
        let boxes = boxes.into_iter().map(|id| (id, false)).collect();
        self.probe = Some(Probe { number, until: now + REPLY_TIMEOUT, boxes });
    }

    /// Ends a probe and switches to the highest-ranked box that replied.
    fn end_probe(&mut self, ranking: &[BoxId], now: Moment, step: &mut Step) {
        let is_over =
            |probe: &Probe| now >= probe.until || probe.boxes.first().is_some_and(|(_, up)| *up);
        let Some(probe) = self.probe.take_if(|probe| is_over(probe)) else {
            return;
        };
        let up = probe.boxes.iter().find(|(_, up)| *up).map(|(id, _)| *id);
        match (self.coordinator, up) {
            (None, up) => self.coordinator = Some(up.unwrap_or(self.me)),
            (Some(coordinator), up) => {
                let next_coordinator = up.unwrap_or(self.me);
                if self.pending.is_none() && is_before(ranking, next_coordinator, coordinator) {
                    self.revoke_loan(coordinator, next_coordinator, now, step);
                }
            }
        }
    }

    fn end_waits(&mut self, outcome: Outcome, step: &mut Step) {
        for account in self.accounts.values_mut() {
            step.over.extend(account.end_all(outcome));
        }
    }
}

impl Account {
    /// Applies a grant to the requests that it was requested for.
    fn apply_grant(
        &mut self,
        grant: &Grant,
        until: Moment,
        now: Moment,
        over: &mut Vec<(Waiter, Outcome)>,
    ) {
        let requested = std::mem::take(&mut self.requested);
        let granted = (grant.requests as usize).min(requested);
        for (waiter, units) in self.waiting.drain(..granted) {
            match waiter {
                Some(waiter) => over.push((waiter, Outcome::Granted)),
                None => self.back += f64::from(units),
            }
        }
        let wait = Duration::from_millis(u64::from(grant.wait_ms.max(1)));
        for (waiter, _) in self.waiting.drain(..requested - granted) {
            over.extend(waiter.map(|waiter| (waiter, Outcome::Reached(wait))));
        }
        if grant.prefetch_units > 0 && until > now {
            self.granted.push_back((f64::from(grant.prefetch_units), until));
        }
        // Requests that arrived meanwhile may use the units granted in advance.
        while let Some((waiter, units)) = self.waiting.front().copied() {
            if !self.take(f64::from(units), now) {
                break;
            }
            self.waiting.pop_front();
            over.extend(waiter.map(|waiter| (waiter, Outcome::Granted)));
        }
    }
}

fn is_in_backoff(backoffs: &HashMap<BoxId, Backoff>, id: BoxId, now: Moment) -> bool {
    backoffs.get(&id).is_some_and(|backoff| backoff.until > now)
}

fn is_before(ranking: &[BoxId], first: BoxId, second: BoxId) -> bool {
    let rank = |id| ranking.iter().position(|other| *other == id).unwrap_or(usize::MAX);
    rank(first) < rank(second)
}

/// Returns the first box of the ranking that is not in backoff.
fn first_available(
    backoffs: &HashMap<BoxId, Backoff>,
    ranking: &[BoxId],
    me: BoxId,
    now: Moment,
) -> BoxId {
    let mut up = ranking.iter().filter(|id| !is_in_backoff(backoffs, **id, now));
    up.next().copied().unwrap_or(me)
}

/// Returns the candidates for coordinator to probe: boxes not in backoff that rank before this box, and before the
/// current coordinator if there is one.
fn candidates(
    backoffs: &HashMap<BoxId, Backoff>,
    ranking: &[BoxId],
    me: BoxId,
    coordinator: Option<BoxId>,
    now: Moment,
) -> Vec<BoxId> {
    let before = ranking.iter().take_while(|id| **id != me && Some(**id) != coordinator);
    before
        .filter(|id| !is_in_backoff(backoffs, **id, now))
        .take(MAX_PROBED_BOXES)
        .copied()
        .collect()
}
