//! The requesting side: the coordinator that a box lends its quota of one partition to, and the units granted to it.
//!
//! A box that gives up an unresponsive coordinator lends its quota to the next at once, although the old one may count
//! the loan for another second ([`LOAN_DURATION`](super::pool::LOAN_DURATION)). If it waited for
//! that second, links that flap every 0.4 to 3 s would lower the largest window from 0.89 to 0.84 of its bound, but up
//! to 14% of the requests that could pass would be refused (`tests/quota`, 30 boxes split into two and three parts).
//!
//! Nothing here does I/O or blocks. [`QuotaShare::poll`] returns the requests to send, and [`QuotaShare::take`] whether
//! a request may pass. `poll` and [`QuotaShare::apply_reply`] return the waits that ended.

use std::collections::HashMap;
use std::time::Duration;

use crate::units::Moment;

use super::account::AccountQuota;
use super::{AccountId, BoxId, QuotaReply, QuotaRequest, UnitRequest};

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

/// The ID of a request that waits for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter(pub u64);

/// The outcome of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The request may pass.
    Granted,
    /// The account has used up its limit.
    LimitReached {
        /// The time after which a retry is expected to pass.
        retry_after: Duration,
    },
    /// No coordinator replied for the account.
    NoCoordinator {
        /// The time after which the client should retry.
        retry_after: Duration,
    },
}

/// A request that no longer waits, and why.
pub type EndedWait = (Waiter, WaitOutcome);

/// A quota request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The receiver, possibly this box itself.
    pub to: BoxId,
    /// The request.
    pub request: QuotaRequest,
}

/// The results of a poll.
#[derive(Debug, Default)]
pub struct Polled {
    /// Requests to send.
    pub requests: Vec<OutgoingRequest>,
    /// Waits that ended.
    pub ended_waits: Vec<EndedWait>,
}

/// One box's quota of the limits in one partition.
#[derive(Debug)]
pub struct QuotaShare {
    own_id: BoxId,
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
    accounts: HashMap<AccountId, AccountQuota>,
}

/// A request without a reply yet.
#[derive(Debug)]
struct Pending {
    outgoing: OutgoingRequest,
    sent_at: Moment,
    attempts: u32,
    /// The next coordinator, if this request revokes a loan.
    next_coordinator: Option<BoxId>,
}

/// A check of which candidates for coordinator respond.
#[derive(Debug)]
struct Probe {
    number: u32,
    ends_at: Moment,
    /// The candidates in ranking order, each with whether it replied.
    candidates: Vec<(BoxId, bool)>,
}

/// The backoff of a box that did not reply.
#[derive(Debug)]
struct Backoff {
    until: Moment,
    failures: u32,
}

impl Probe {
    fn record_reply(&mut self, from: BoxId) {
        let replied = self.candidates.iter_mut().find(|(id, _)| *id == from);
        if let Some((_, has_replied)) = replied {
            *has_replied = true;
        }
    }

    /// Returns whether no reply that is still missing could change the result.
    fn is_over(&self, now: Moment) -> bool {
        now >= self.ends_at || self.candidates.first().is_some_and(|(_, replied)| *replied)
    }

    fn first_replied(&self) -> Option<BoxId> {
        self.candidates.iter().find(|(_, replied)| *replied).map(|(id, _)| *id)
    }
}

impl QuotaShare {
    /// Creates the quota share of a box without a coordinator. Request numbers continue from `number`, which should
    /// differ between restarts of a box.
    pub fn new(own_id: BoxId, partition: usize, number: u32) -> Self {
        Self {
            own_id,
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
        self.accounts.entry(account).or_default().take_or_wait(units, waiter, now)
    }

    /// Returns the units of a request that did not run.
    pub fn return_units(&mut self, account: AccountId, units: u32) {
        self.accounts.entry(account).or_default().return_units(units);
    }

    /// Cancels the wait of a request. Units still granted for it are returned.
    pub fn cancel_wait(&mut self, waiter: Waiter) {
        self.accounts.values_mut().for_each(|account| account.cancel_wait(waiter));
    }

    /// Returns the box that the quota is lent to.
    pub fn coordinator(&self) -> Option<BoxId> {
        self.coordinator
    }

    /// Returns the actions due at `now`. `ranking` lists the boxes that may be up, normally including this one, in order
    /// of preference as coordinator; it is empty while they are unknown.
    pub fn poll(&mut self, ranking: &[BoxId], now: Moment) -> Polled {
        let mut polled = Polled::default();
        if ranking.is_empty() {
            let outcome = WaitOutcome::NoCoordinator { retry_after: UNKNOWN_RETRY_DELAY };
            self.end_all_waits(outcome, &mut polled);
            return polled;
        }
        self.backoffs.retain(|_, backoff| backoff.until + FAILURE_MEMORY > now);
        self.resend_or_fail_over(ranking, now, &mut polled);
        self.end_probe(ranking, now, &mut polled);
        if self.pending.is_some() || self.probe.is_some() {
            return polled;
        }
        let coordinator = *self
            .coordinator
            .get_or_insert_with(|| first_available(&self.backoffs, ranking, self.own_id, now));
        if self.is_preferred_probe_due(coordinator, ranking, now) {
            self.probe_preferred(coordinator, ranking, now, &mut polled);
            if self.pending.is_some() {
                return polled;
            }
        }
        let has_waiting = self.accounts.values().any(AccountQuota::has_waiting);
        let is_due = self.requested_at.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL);
        if has_waiting || is_due {
            self.request_units(coordinator, now, &mut polled);
        }
        polled
    }

    /// Applies a reply. Returns the waits that ended.
    pub fn apply_reply(&mut self, from: BoxId, reply: &QuotaReply, now: Moment) -> Vec<EndedWait> {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == reply.number) {
            probe.record_reply(from);
            return Vec::new();
        }
        let is_answered = |pending: &mut Pending| {
            pending.outgoing.to == from && pending.outgoing.request.number == reply.number
        };
        let Some(pending) = self.pending.take_if(is_answered) else {
            return Vec::new();
        };
        self.backoffs.remove(&from);
        if let Some(next_coordinator) = pending.next_coordinator {
            self.coordinator = Some(next_coordinator);
            self.requested_at = None;
            return Vec::new();
        }
        let mut ended_waits = Vec::new();
        let expires_at = pending.sent_at + GRANT_LIFETIME;
        let unit_requests = &pending.outgoing.request.unit_requests;
        for (unit_request, grant) in unit_requests.iter().zip(&reply.grants) {
            let account = self.accounts.entry(unit_request.account).or_default();
            account.apply_grant(grant, expires_at, now, &mut ended_waits);
        }
        ended_waits
    }

    /// Sends the coordinator a request that renews the loan and asks for the needed units.
    fn request_units(&mut self, coordinator: BoxId, now: Moment, polled: &mut Polled) {
        let mut unit_requests = Vec::new();
        for (id, account) in &mut self.accounts {
            let request = UnitRequest {
                account: *id,
                waiting_units: account.request_waiting_units(MAX_WAITING_PER_REQUEST),
                prefetch_units: account.prefetch_units(now),
                returned_units: account.take_unused_units(),
            };
            if !request.is_empty() {
                unit_requests.push(request);
            }
        }
        let request = QuotaRequest {
            number: self.next_number(),
            partition: self.partition,
            lends: true,
            unit_requests,
        };
        self.requested_at = Some(now);
        self.send(OutgoingRequest { to: coordinator, request }, None, now, polled);
    }

    fn send(
        &mut self,
        outgoing: OutgoingRequest,
        next_coordinator: Option<BoxId>,
        now: Moment,
        polled: &mut Polled,
    ) {
        polled.requests.push(outgoing.clone());
        self.pending = Some(Pending { outgoing, sent_at: now, attempts: 1, next_coordinator });
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Resends the pending request after a timeout, or gives up its coordinator after the last attempt.
    fn resend_or_fail_over(&mut self, ranking: &[BoxId], now: Moment, polled: &mut Polled) {
        let Some(pending) = self.pending.as_mut() else {
            return;
        };
        if now.since(pending.sent_at) < REPLY_TIMEOUT * pending.attempts {
            return;
        }
        if pending.attempts < SEND_ATTEMPTS {
            pending.attempts += 1;
            if pending.outgoing.request.lends {
                self.requested_at = Some(now);
            }
            polled.requests.push(pending.outgoing.clone());
            return;
        }
        let coordinator = pending.outgoing.to;
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
        self.start_probe(candidates(&self.backoffs, ranking, self.own_id, None, now), now, polled);
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
        polled: &mut Polled,
    ) {
        let before = candidates(&self.backoffs, ranking, self.own_id, Some(coordinator), now);
        if !before.is_empty() {
            self.start_probe(before, now, polled);
            return;
        }
        if is_before(ranking, self.own_id, coordinator) {
            self.probed_at = now;
            self.revoke_loan(coordinator, self.own_id, now, polled);
        }
    }

    /// Revokes the loan to a coordinator, to lend the quota to `next_coordinator` instead. Like other requests it is sent
    /// only while none is pending, and is resent until a reply arrives.
    fn revoke_loan(
        &mut self,
        coordinator: BoxId,
        next_coordinator: BoxId,
        now: Moment,
        polled: &mut Polled,
    ) {
        let number = self.next_number();
        let request = QuotaRequest {
            number,
            partition: self.partition,
            lends: false,
            unit_requests: Vec::new(),
        };
        self.send(
            OutgoingRequest { to: coordinator, request },
            Some(next_coordinator),
            now,
            polled,
        );
    }

    fn start_probe(&mut self, candidates: Vec<BoxId>, now: Moment, polled: &mut Polled) {
        self.probed_at = now;
        if candidates.is_empty() {
            return;
        }
        let number = self.next_number();
        let request = QuotaRequest {
            number,
            partition: self.partition,
            lends: false,
            unit_requests: Vec::new(),
        };
        let outgoing = |to: &BoxId| OutgoingRequest { to: *to, request: request.clone() };
        polled.requests.extend(candidates.iter().map(outgoing));
        let candidates = candidates.into_iter().map(|id| (id, false)).collect();
        self.probe = Some(Probe { number, ends_at: now + REPLY_TIMEOUT, candidates });
    }

    /// Ends a probe and switches to the highest-ranked box that replied.
    fn end_probe(&mut self, ranking: &[BoxId], now: Moment, polled: &mut Polled) {
        let Some(probe) = self.probe.take_if(|probe| probe.is_over(now)) else {
            return;
        };
        let next_coordinator = probe.first_replied().unwrap_or(self.own_id);
        let Some(coordinator) = self.coordinator else {
            self.coordinator = Some(next_coordinator);
            return;
        };
        if self.pending.is_none() && is_before(ranking, next_coordinator, coordinator) {
            self.revoke_loan(coordinator, next_coordinator, now, polled);
        }
    }

    fn end_all_waits(&mut self, outcome: WaitOutcome, polled: &mut Polled) {
        for account in self.accounts.values_mut() {
            polled.ended_waits.extend(account.end_all_waits(outcome));
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
    own_id: BoxId,
    now: Moment,
) -> BoxId {
    let mut available = ranking.iter().filter(|id| !is_in_backoff(backoffs, **id, now));
    available.next().copied().unwrap_or(own_id)
}

/// Returns the candidates for coordinator to probe: boxes not in backoff that rank before this box, and before the
/// current coordinator if there is one.
fn candidates(
    backoffs: &HashMap<BoxId, Backoff>,
    ranking: &[BoxId],
    own_id: BoxId,
    coordinator: Option<BoxId>,
    now: Moment,
) -> Vec<BoxId> {
    let before = ranking.iter().take_while(|id| **id != own_id && Some(**id) != coordinator);
    before
        .filter(|id| !is_in_backoff(backoffs, **id, now))
        .take(MAX_PROBED_BOXES)
        .copied()
        .collect()
}
