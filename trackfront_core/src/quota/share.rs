//! The asking side: to whom a box lends its right of one partition, and what it was granted.
//!
//! A box that leaves a keeper which does not answer lends its right to the next at once, though the first may
//! count it for a second more ([`LOAN_DURATION`](super::pool::LOAN_DURATION)). Waiting that second out was tried:
//! where links come and go each 0.4 to 3 s it takes the largest window from 0.89 to 0.84 of its bound, and
//! refuses up to 14 in 100 of what may pass (`tests/quota`, two and three parts of 30 boxes).
//!
//! Nothing here sends or waits: [`QuotaShare::poll`] says what is to be sent, [`QuotaShare::take`] whether a request
//! may pass, and both and [`QuotaShare::apply_reply`] whose waits are over.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::units::Moment;

use super::{AccountId, BoxId, Grant, QuotaReply, QuotaRequest, UnitRequest};

/// How long granted units may be used. What is used in a window was granted in one longer by this.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(300);

/// How often a box asks its keeper, also if it wants nothing: three times within what its right counts.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// How long an answer is waited for until the question is sent again. A box whose share of a processor is
/// spent stands still for up to a tenth of a second.
const ANSWER_TIME: Duration = Duration::from_millis(120);

/// How many times a question is sent until its keeper is taken for gone.
const SENDS: u32 = 3;

/// How many boxes are asked at once who might keep the partition in place of one that is gone.
const PROBED: usize = 4;

/// How often boxes that should rather keep the partition are asked whether they are back.
const MOVE_UP_EVERY: Duration = Duration::from_millis(2_000);

/// How long a keeper that was gone is not asked again; twice as long each time.
const GONE_FOR: Duration = Duration::from_millis(3_000);

/// How many times that is doubled at most.
const MOST_DOUBLINGS: u32 = 4;

/// How long it is remembered how often a keeper was gone.
const GONE_REMEMBERED: Duration = Duration::from_secs(10);

/// When to come back while no box answers for the account.
const UNKNOWN_WAIT: Duration = Duration::from_millis(400);

/// How many requests of one account a question carries; the others wait for the next.
const NEEDS_AT_ONCE: usize = 64;

/// How fast the demand that was seen is forgotten: it halves in this time.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// How many requests have to be likely within the life of a grant for units to be asked for ahead.
const AHEAD_REQUESTS: f64 = 2.0;

/// A request that waits for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter(pub u64);

/// What came of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may pass.
    Granted,
    /// The account has used up its limit; a try would pass after this time.
    Reached(Duration),
    /// No box answers for the account; come back after this time.
    Unknown(Duration),
}

/// A question to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The box that it is for, perhaps the own one.
    pub to: BoxId,
    /// The question.
    pub request: QuotaRequest,
}

/// What is to be done now.
#[derive(Debug, Default)]
pub struct Step {
    /// Questions to be sent.
    pub sends: Vec<OutgoingRequest>,
    /// Waits that are over.
    pub over: Vec<(Waiter, Outcome)>,
}

/// The right of one box in one partition.
#[derive(Debug)]
pub struct QuotaShare {
    me: BoxId,
    partition: u8,
    numbers: u32,
    /// The box that the right is lent to.
    keeper: Option<BoxId>,
    /// When it was last asked.
    asked_at: Option<Moment>,
    open: Option<Open>,
    probe: Option<Probe>,
    probed_at: Moment,
    gone: HashMap<BoxId, Gone>,
    accounts: HashMap<AccountId, Account>,
}

/// A question without an answer yet.
#[derive(Debug)]
struct Open {
    send: OutgoingRequest,
    sent_at: Moment,
    sends: u32,
    /// The box to lend to after a farewell.
    then: Option<BoxId>,
}

/// Questions to boxes that might be the keeper.
#[derive(Debug)]
struct Probe {
    number: u32,
    until: Moment,
    /// In their order, each with whether it answered.
    boxes: Vec<(BoxId, bool)>,
}

#[derive(Debug)]
struct Gone {
    until: Moment,
    times: u32,
}

#[derive(Debug, Default)]
struct Account {
    granted: VecDeque<(f64, Moment)>,
    /// Those that wait, with their units. One that is in the open question and waits no longer keeps its
    /// place without a name: the answer counts places.
    waiting: VecDeque<(Option<Waiter>, u32)>,
    /// How many of those that wait are in the open question.
    asked: usize,
    back: f64,
    demand: Demand,
}

/// Units a second that requests asked for, and requests a second.
#[derive(Debug, Default)]
struct Demand {
    units: f64,
    requests: f64,
    at: Moment,
}

impl Demand {
    fn count(&mut self, units: f64, now: Moment) {
        self.decay(now);
        let weight = std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        self.units += units * weight;
        self.requests += weight;
    }

    fn decay(&mut self, now: Moment) {
        let halves = now.since(self.at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        let left = 0.5f64.powf(halves);
        self.units *= left;
        self.requests *= left;
        self.at = now;
    }
}

impl Account {
    fn forget_old(&mut self, now: Moment) {
        while self.granted.front().is_some_and(|(_, until)| *until <= now) {
            self.granted.pop_front();
        }
    }

    fn level(&self) -> f64 {
        self.granted.iter().map(|(units, _)| units).sum()
    }

    /// Takes units that were granted, the oldest first.
    fn take(&mut self, units: f64, now: Moment) -> bool {
        self.forget_old(now);
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

    /// Returns the units to ask for ahead of need.
    fn ahead(&mut self, now: Moment) -> u32 {
        self.demand.decay(now);
        let life = GRANT_LIFETIME.as_secs_f64();
        if self.demand.requests * life < AHEAD_REQUESTS {
            return 0;
        }
        (self.demand.units * life - self.level()).max(0.0) as u32
    }

    /// Ends every wait.
    fn end_all(&mut self, outcome: Outcome) -> impl Iterator<Item = (Waiter, Outcome)> + '_ {
        self.asked = 0;
        self.waiting.drain(..).filter_map(move |(waiter, _)| Some((waiter?, outcome)))
    }
}

impl QuotaShare {
    /// Makes the share of a box that has asked nobody yet. Numbers of questions begin at `number`, which
    /// should differ from one start of a box to the next.
    pub fn new(me: BoxId, partition: usize, number: u32) -> Self {
        Self {
            me,
            partition: partition as u8,
            numbers: number,
            keeper: None,
            asked_at: None,
            open: None,
            probe: None,
            probed_at: Moment::default(),
            gone: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Takes `units` for a request. Returns whether it may pass now; else it waits, as `waiter`.
    pub fn take(&mut self, account: AccountId, units: u32, waiter: Waiter, now: Moment) -> bool {
        let account = self.accounts.entry(account).or_default();
        account.demand.count(f64::from(units), now);
        // Those that wait go first.
        if account.waiting.is_empty() && account.take(f64::from(units), now) {
            return true;
        }
        account.waiting.push_back((Some(waiter), units));
        false
    }

    /// Gives units back of a request that did not run.
    pub fn give_back(&mut self, account: AccountId, units: u32) {
        self.accounts.entry(account).or_default().back += f64::from(units);
    }

    /// Forgets a request that no longer waits. What comes for it is granted to others.
    pub fn forget(&mut self, waiter: Waiter) {
        for account in self.accounts.values_mut() {
            let place = account.waiting.iter().position(|(other, _)| *other == Some(waiter));
            match place {
                Some(place) if place < account.asked => account.waiting[place].0 = None,
                Some(place) => drop(account.waiting.remove(place)),
                None => {}
            }
        }
    }

    /// Returns the box that the right is lent to.
    pub fn coordinator(&self) -> Option<BoxId> {
        self.keeper
    }

    /// Returns what is to be done at `now`. `ranking` has the boxes that may be up, this one among them,
    /// in the order in which they should keep the partition; it is empty while they are not known.
    pub fn poll(&mut self, ranking: &[BoxId], now: Moment) -> Step {
        let mut step = Step::default();
        if ranking.is_empty() {
            self.end_waits(Outcome::Unknown(UNKNOWN_WAIT), &mut step);
            return step;
        }
        self.gone.retain(|_, gone| gone.until + GONE_REMEMBERED > now);
        self.resend_or_leave(ranking, now, &mut step);
        self.end_probe(ranking, now, &mut step);
        if self.open.is_some() || self.probe.is_some() {
            return step;
        }
        let keeper =
            *self.keeper.get_or_insert_with(|| first_up(&self.gone, ranking, self.me, now));
        if self.may_move_up(keeper, ranking, now) {
            self.move_up(keeper, ranking, now, &mut step);
            if self.open.is_some() {
                return step;
            }
        }
        let is_wanted = self.accounts.values().any(|account| !account.waiting.is_empty());
        let is_due = self.asked_at.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL);
        if is_wanted || is_due {
            self.ask(keeper, now, &mut step);
        }
        step
    }

    /// Takes in an answer. Returns the waits that are over.
    pub fn apply_reply(
        &mut self,
        from: BoxId,
        answer: &QuotaReply,
        now: Moment,
    ) -> Vec<(Waiter, Outcome)> {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == answer.number) {
            probe.boxes.iter_mut().filter(|(id, _)| *id == from).for_each(|(_, up)| *up = true);
            return Vec::new();
        }
        let is_answer =
            |open: &Open| open.send.to == from && open.send.request.number == answer.number;
        let Some(open) = self.open.take_if(|open| is_answer(open)) else {
            return Vec::new();
        };
        self.gone.remove(&from);
        if let Some(then) = open.then {
            self.keeper = Some(then);
            self.asked_at = None;
            return Vec::new();
        }
        let mut over = Vec::new();
        let until = open.sent_at + GRANT_LIFETIME;
        for (want, grant) in open.send.request.unit_requests.iter().zip(&answer.grants) {
            let account = self.accounts.entry(want.account).or_default();
            account.settle(grant, until, now, &mut over);
        }
        over
    }

    /// Asks the keeper for what is wanted.
    fn ask(&mut self, keeper: BoxId, now: Moment, step: &mut Step) {
        let mut unit_requests = Vec::new();
        for (id, account) in &mut self.accounts {
            account.forget_old(now);
            let waiting_units = account.waiting.iter().take(NEEDS_AT_ONCE);
            let waiting_units: Vec<u32> = waiting_units.map(|(_, units)| *units).collect();
            account.asked = waiting_units.len();
            let (prefetch_units, returned_units) = (account.ahead(now), account.back as u32);
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
            number: self.number(),
            partition: self.partition,
            lends: true,
            unit_requests,
        };
        self.asked_at = Some(now);
        self.send(OutgoingRequest { to: keeper, request }, None, now, step);
    }

    fn send(&mut self, send: OutgoingRequest, then: Option<BoxId>, now: Moment, step: &mut Step) {
        step.sends.push(send.clone());
        self.open = Some(Open { send, sent_at: now, sends: 1, then });
    }

    fn number(&mut self) -> u32 {
        self.numbers = self.numbers.wrapping_add(1);
        self.numbers
    }

    /// Sends an open question again, or leaves its keeper.
    fn resend_or_leave(&mut self, ranking: &[BoxId], now: Moment, step: &mut Step) {
        let Some(open) = self.open.as_mut() else {
            return;
        };
        if now.since(open.sent_at) < ANSWER_TIME * open.sends {
            return;
        }
        if open.sends < SENDS {
            open.sends += 1;
            if open.send.request.lends {
                self.asked_at = Some(now);
            }
            step.sends.push(open.send.clone());
            return;
        }
        let keeper = open.send.to;
        let times = self.gone.get(&keeper).map_or(0, |gone| gone.times).min(MOST_DOUBLINGS);
        let until = now + GONE_FOR * 2u32.pow(times);
        self.gone.insert(keeper, Gone { until, times: times + 1 });
        self.open = None;
        self.keeper = None;
        self.asked_at = None;
        self.start_probe(candidates(&self.gone, ranking, self.me, None, now), now, step);
    }

    /// Returns whether boxes before the keeper are to be asked whether they are up.
    fn may_move_up(&self, keeper: BoxId, ranking: &[BoxId], now: Moment) -> bool {
        ranking.first() != Some(&keeper) && now.since(self.probed_at) >= MOVE_UP_EVERY
    }

    /// Asks the boxes before the keeper whether they are up. Where there are none, but this box itself comes before
    /// it, since it did not keep limits until now, its right goes home at once.
    fn move_up(&mut self, keeper: BoxId, ranking: &[BoxId], now: Moment, step: &mut Step) {
        let before = candidates(&self.gone, ranking, self.me, Some(keeper), now);
        if !before.is_empty() {
            self.start_probe(before, now, step);
            return;
        }
        if is_before(ranking, self.me, keeper) {
            self.probed_at = now;
            self.say_farewell(keeper, self.me, now, step);
        }
    }

    /// Takes the right back from a keeper, to lend it to the box `then`. A farewell goes through the same order of
    /// questions as the rest.
    fn say_farewell(&mut self, keeper: BoxId, then: BoxId, now: Moment, step: &mut Step) {
        let number = self.number();
        let request = QuotaRequest {
            number,
            partition: self.partition,
            lends: false,
            unit_requests: Vec::new(),
        };
        self.send(OutgoingRequest { to: keeper, request }, Some(then), now, step);
    }

    fn start_probe(&mut self, boxes: Vec<BoxId>, now: Moment, step: &mut Step) {
        self.probed_at = now;
        if boxes.is_empty() {
            return;
        }
        let number = self.number();
        let request = QuotaRequest {
            number,
            partition: self.partition,
            lends: false,
            unit_requests: Vec::new(),
        };
        step.sends
            .extend(boxes.iter().map(|to| OutgoingRequest { to: *to, request: request.clone() }));
        let boxes = boxes.into_iter().map(|id| (id, false)).collect();
        self.probe = Some(Probe { number, until: now + ANSWER_TIME, boxes });
    }

    /// Lends the right to the first box that answered a probe.
    fn end_probe(&mut self, ranking: &[BoxId], now: Moment, step: &mut Step) {
        let is_over =
            |probe: &Probe| now >= probe.until || probe.boxes.first().is_some_and(|(_, up)| *up);
        let Some(probe) = self.probe.take_if(|probe| is_over(probe)) else {
            return;
        };
        let up = probe.boxes.iter().find(|(_, up)| *up).map(|(id, _)| *id);
        match (self.keeper, up) {
            (None, up) => self.keeper = Some(up.unwrap_or(self.me)),
            (Some(keeper), up) => {
                let then = up.unwrap_or(self.me);
                if self.open.is_none() && is_before(ranking, then, keeper) {
                    self.say_farewell(keeper, then, now, step);
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
    /// Takes in a grant for those that were asked for.
    fn settle(
        &mut self,
        grant: &Grant,
        until: Moment,
        now: Moment,
        over: &mut Vec<(Waiter, Outcome)>,
    ) {
        let asked = std::mem::take(&mut self.asked);
        let granted = (grant.requests as usize).min(asked);
        for (waiter, units) in self.waiting.drain(..granted) {
            match waiter {
                Some(waiter) => over.push((waiter, Outcome::Granted)),
                None => self.back += f64::from(units),
            }
        }
        let wait = Duration::from_millis(u64::from(grant.wait_ms.max(1)));
        for (waiter, _) in self.waiting.drain(..asked - granted) {
            over.extend(waiter.map(|waiter| (waiter, Outcome::Reached(wait))));
        }
        if grant.prefetch_units > 0 && until > now {
            self.granted.push_back((f64::from(grant.prefetch_units), until));
        }
        // Those that came meanwhile may have what was granted ahead.
        while let Some((waiter, units)) = self.waiting.front().copied() {
            if !self.take(f64::from(units), now) {
                break;
            }
            self.waiting.pop_front();
            over.extend(waiter.map(|waiter| (waiter, Outcome::Granted)));
        }
    }
}

fn is_gone(gone: &HashMap<BoxId, Gone>, id: BoxId, now: Moment) -> bool {
    gone.get(&id).is_some_and(|gone| gone.until > now)
}

fn is_before(ranking: &[BoxId], first: BoxId, second: BoxId) -> bool {
    let place = |id| ranking.iter().position(|other| *other == id).unwrap_or(usize::MAX);
    place(first) < place(second)
}

/// Returns the first box of a ranking that is not known to be gone.
fn first_up(gone: &HashMap<BoxId, Gone>, ranking: &[BoxId], me: BoxId, now: Moment) -> BoxId {
    let mut up = ranking.iter().filter(|id| !is_gone(gone, **id, now));
    up.next().copied().unwrap_or(me)
}

/// Returns the boxes to ask who could be the keeper: those before this box, and before `keeper` if there is
/// one, that are not known to be gone.
fn candidates(
    gone: &HashMap<BoxId, Gone>,
    ranking: &[BoxId],
    me: BoxId,
    keeper: Option<BoxId>,
    now: Moment,
) -> Vec<BoxId> {
    let before = ranking.iter().take_while(|id| **id != me && Some(**id) != keeper);
    before.filter(|id| !is_gone(gone, **id, now)).take(PROBED).copied().collect()
}
