//! The coordinator's side: quotas lent by other boxes, and the units that accrue from them.

use std::collections::HashMap;
use std::time::Duration;

use crate::accounts::AccountLimit;
use crate::units::Moment;

use super::{AccountId, BoxId, Grant, QuotaReply, QuotaRequest, UnitRequest};

/// How long a loan lasts after the request that made or renewed it: two renewals may be lost.
pub const LOAN_DURATION: Duration = Duration::from_millis(1_000);

/// The minimum burst, in seconds of the rate. Accounts without a burst need it to accumulate units between two
/// requests. With 0.25 s and flapping links, a window reached 1.004 of its bound.
const MIN_BURST_S: f64 = 0.1;

/// The fraction of the burst that must remain after units are granted in advance. It is reserved for waiting requests
/// of all boxes.
const PREFETCH_RESERVE: f64 = 0.5;

/// The fraction of all quotas above which a request larger than the burst may pass on credit. If several pools could
/// do so, they would extend the same credit several times.
const CREDIT_MIN_FRACTION: f64 = 0.5;

/// The upper limit of [`Grant::wait_ms`].
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The quotas lent to one box for one partition, and the units that accounts have left.
#[derive(Debug, Default)]
pub struct Pool {
    lenders: HashMap<BoxId, Lender>,
    /// The integral over time of the lent fraction of all quotas, in seconds.
    lent_s: f64,
    accrued_at: Moment,
    buckets: HashMap<AccountId, Bucket>,
}

#[derive(Debug)]
struct Lender {
    until: Moment,
    /// The last reply, sent again if its request is repeated.
    last_reply: Option<QuotaReply>,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    /// The value of [`Pool::lent_s`] up to which units were added to the level.
    filled_s: f64,
    /// Units of requests that were told to retry, less the units accrued since.
    retry_units: f64,
}

/// The limits and the number of boxes on which a reply is based.
pub struct PoolTerms<'a> {
    /// The limits of accounts.
    pub limits: &'a HashMap<AccountId, AccountLimit>,
    /// How many boxes share the limits. Nothing is granted while this is `None` (unknown).
    pub boxes: Option<usize>,
}

impl Pool {
    /// Handles a request and returns the reply.
    pub fn handle_request(
        &mut self,
        from: BoxId,
        request: &QuotaRequest,
        terms: &PoolTerms<'_>,
        now: Moment,
    ) -> QuotaReply {
        self.accrue(terms.boxes, now);
        let repeated = self.lenders.get(&from).and_then(|lender| lender.last_reply.as_ref());
        let repeated = repeated.filter(|last| last.number == request.number).cloned();
        if !request.lends {
            self.lenders.remove(&from);
            let grants = vec![Grant::default(); request.unit_requests.len()];
            return QuotaReply { number: request.number, partition: request.partition, grants };
        }
        let until = now + LOAN_DURATION;
        self.lenders.entry(from).or_insert(Lender { until, last_reply: None }).until = until;
        if let Some(reply) = repeated {
            return reply;
        }
        let fraction = self.lent_fraction(terms.boxes);
        let grants =
            request.unit_requests.iter().map(|units| self.grant(units, fraction, terms)).collect();
        let reply = QuotaReply { number: request.number, partition: request.partition, grants };
        if let Some(lender) = self.lenders.get_mut(&from) {
            lender.last_reply = Some(reply.clone());
        }
        reply
    }

    /// Returns how many boxes lend their quota to this pool.
    pub fn lenders(&self) -> usize {
        self.lenders.len()
    }

    /// Adds the time that quotas were lent since the last call, and drops expired loans.
    fn accrue(&mut self, boxes: Option<usize>, now: Moment) {
        let since = self.accrued_at;
        self.accrued_at = now;
        if let Some(boxes) = boxes {
            let lent = |lender: &Lender| lender.until.min(now).since(since).as_secs_f64();
            let lent: f64 = self.lenders.values().map(lent).sum();
            // The lent quotas never add up to more than one whole limit, however many boxes lend.
            self.lent_s += lent / boxes.max(self.lenders.len()).max(1) as f64;
        }
        self.lenders.retain(|_, lender| lender.until > now);
    }

    /// Returns the fraction of all quotas that is currently lent to this pool.
    fn lent_fraction(&self, boxes: Option<usize>) -> f64 {
        let lenders = self.lenders.len();
        boxes.map_or(0.0, |boxes| lenders as f64 / boxes.max(lenders).max(1) as f64)
    }

    fn grant(&mut self, request: &UnitRequest, fraction: f64, terms: &PoolTerms<'_>) -> Grant {
        let Some(limit) = terms.limits.get(&request.account) else {
            return Grant::default();
        };
        let lent_s = self.lent_s;
        // An account also gets the units that accrued before its first request.
        let empty = Bucket { level: 0.0, filled_s: 0.0, retry_units: 0.0 };
        let bucket = self.buckets.entry(request.account).or_insert(empty);
        let burst = limit.burst.max(limit.per_s * MIN_BURST_S);
        let max_level = burst * fraction;
        let gained = limit.per_s * (lent_s - bucket.filled_s);
        bucket.filled_s = lent_s;
        bucket.retry_units = (bucket.retry_units - gained).max(0.0);
        bucket.level = (bucket.level + gained + f64::from(request.returned_units)).min(max_level);
        let mut grant = Grant::default();
        for need in &request.waiting_units {
            let need = f64::from(*need);
            let on_credit =
                need > burst && fraction > CREDIT_MIN_FRACTION && bucket.level >= max_level;
            if need > bucket.level && !on_credit {
                bucket.retry_units += need;
                grant.wait_ms = wait_ms(bucket.retry_units - bucket.level, limit.per_s * fraction);
                return grant;
            }
            bucket.level -= need;
            grant.requests += 1;
        }
        if bucket.level - f64::from(request.prefetch_units) >= max_level * PREFETCH_RESERVE {
            bucket.level -= f64::from(request.prefetch_units);
            grant.prefetch_units = request.prefetch_units;
        }
        grant
    }
}

fn wait_ms(units: f64, per_s: f64) -> u32 {
    let max_wait_ms = MAX_WAIT.as_millis() as f64;
    (units / per_s.max(f64::MIN_POSITIVE) * 1_000.0).clamp(1.0, max_wait_ms).ceil() as u32
}
