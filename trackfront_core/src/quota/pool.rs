//! The keeper's side: rights that boxes have lent, and the units that they bring in.

use std::collections::HashMap;
use std::time::Duration;

use crate::accounts::AccountLimit;
use crate::units::Moment;

use super::{AccountId, BoxId, Grant, QuotaReply, QuotaRequest, UnitRequest};

/// How long a right counts after the question that lent it: two questions may be lost.
pub const LOAN_DURATION: Duration = Duration::from_millis(1_000);

/// The least burst, in seconds of the rate, for accounts that have none: what comes in between two questions
/// has to be kept somewhere. With 0.25 s, and links that come and go, a window had 1.004 of its bound.
const LEAST_BURST_S: f64 = 0.1;

/// The part of the burst above which units are granted ahead of need: below it they are kept for requests
/// that wait, whichever box they are at.
const AHEAD_FROM: f64 = 0.5;

/// The part of all rights above which a request larger than the burst may pass, on credit. Several pools that
/// did so would give the same credit several times.
const CREDIT_FROM: f64 = 0.5;

/// The longest time to come back that is told.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// The rights that one box was lent for one partition, and what accounts have left of them.
#[derive(Debug, Default)]
pub struct Pool {
    members: HashMap<BoxId, Member>,
    /// The part of all rights times seconds that were lent so far.
    lent_s: f64,
    settled: Moment,
    buckets: HashMap<AccountId, Bucket>,
}

#[derive(Debug)]
struct Member {
    until: Moment,
    /// The last answer, which is given again if its question comes again.
    last: Option<QuotaReply>,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    /// Up to where `lent_s` is in the level.
    filled_s: f64,
    /// Units of requests that were told to come back, less what has come in since.
    awaited: f64,
}

/// The terms that an answer is given under.
pub struct PoolTerms<'a> {
    /// The limits of accounts.
    pub limits: &'a HashMap<AccountId, AccountLimit>,
    /// How many boxes share them; `None` while that is not known, when nothing is granted.
    pub boxes: Option<usize>,
}

impl Pool {
    /// Answers a question.
    pub fn answer(
        &mut self,
        from: BoxId,
        request: &QuotaRequest,
        terms: &PoolTerms<'_>,
        now: Moment,
    ) -> QuotaReply {
        self.settle(terms.boxes, now);
        let again = self.members.get(&from).and_then(|member| member.last.as_ref());
        let again = again.filter(|last| last.number == request.number).cloned();
        if !request.lends {
            self.members.remove(&from);
            let grants = vec![Grant::default(); request.unit_requests.len()];
            return QuotaReply { number: request.number, partition: request.partition, grants };
        }
        let until = now + LOAN_DURATION;
        self.members.entry(from).or_insert(Member { until, last: None }).until = until;
        if let Some(again) = again {
            return again;
        }
        let part = self.part(terms.boxes);
        let grants =
            request.unit_requests.iter().map(|want| self.grant(want, part, terms)).collect();
        let answer = QuotaReply { number: request.number, partition: request.partition, grants };
        if let Some(member) = self.members.get_mut(&from) {
            member.last = Some(answer.clone());
        }
        answer
    }

    /// Returns how many boxes lend their right.
    pub fn lenders(&self) -> usize {
        self.members.len()
    }

    /// Counts what the rights brought in since the last time, and forgets those that are over.
    fn settle(&mut self, boxes: Option<usize>, now: Moment) {
        let since = self.settled;
        self.settled = now;
        if let Some(boxes) = boxes {
            let lent = |member: &Member| member.until.min(now).since(since).as_secs_f64();
            let lent: f64 = self.members.values().map(lent).sum();
            // However many boxes lend, together they have one whole right.
            self.lent_s += lent / boxes.max(self.members.len()).max(1) as f64;
        }
        self.members.retain(|_, member| member.until > now);
    }

    /// Returns the part of all rights that is lent here now.
    fn part(&self, boxes: Option<usize>) -> f64 {
        let members = self.members.len();
        boxes.map_or(0.0, |boxes| members as f64 / boxes.max(members).max(1) as f64)
    }

    fn grant(&mut self, want: &UnitRequest, part: f64, terms: &PoolTerms<'_>) -> Grant {
        let Some(limit) = terms.limits.get(&want.account) else {
            return Grant::default();
        };
        let lent_s = self.lent_s;
        // What came in before the first request of an account is the account's as well.
        let new = Bucket { level: 0.0, filled_s: 0.0, awaited: 0.0 };
        let bucket = self.buckets.entry(want.account).or_insert(new);
        let burst = limit.burst.max(limit.per_s * LEAST_BURST_S);
        let most = burst * part;
        let gained = limit.per_s * (lent_s - bucket.filled_s);
        bucket.filled_s = lent_s;
        bucket.awaited = (bucket.awaited - gained).max(0.0);
        bucket.level = (bucket.level + gained + f64::from(want.returned_units)).min(most);
        let mut grant = Grant::default();
        for need in &want.waiting_units {
            let need = f64::from(*need);
            let on_credit = need > burst && part > CREDIT_FROM && bucket.level >= most;
            if need > bucket.level && !on_credit {
                bucket.awaited += need;
                grant.wait_ms = wait_ms(bucket.awaited - bucket.level, limit.per_s * part);
                return grant;
            }
            bucket.level -= need;
            grant.requests += 1;
        }
        if bucket.level - f64::from(want.prefetch_units) >= most * AHEAD_FROM {
            bucket.level -= f64::from(want.prefetch_units);
            grant.prefetch_units = want.prefetch_units;
        }
        grant
    }
}

fn wait_ms(units: f64, per_s: f64) -> u32 {
    let longest = LONGEST_WAIT.as_millis() as f64;
    (units / per_s.max(f64::MIN_POSITIVE) * 1_000.0).clamp(1.0, longest).ceil() as u32
}
