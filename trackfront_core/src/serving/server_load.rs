//! The load of one server as one box knows it.

use std::time::Duration;

use crate::serving::admission::Trials;
use crate::serving::in_flight::InFlight;
use crate::units::Moment;

/// How long a server's report of its load is valid.
const SERVER_REPORT_TTL: Duration = Duration::from_millis(1_000);

/// How long a server's report of its pace is valid: the server shares its machine with others, so the
/// pace changes many times a second.
pub(super) const PACE_TTL: Duration = Duration::from_millis(400);

/// The bounds of a pace, as a factor on the usual time.
pub(super) const PACE_BOUNDS: (f64, f64) = (0.2, 10.0);

/// How long a server gets no requests after its first failed connection. Doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// The longest time for which a server gets no requests after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The weight of one request in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;

/// The time in which the failure rate halves without requests.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The most requests that a server's report can name. Larger counts are bogus, and sums stay far from overflow.
const MAX_REPORTED: u32 = 1_000_000;

/// The load that a server reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// How long work takes there at this moment, in percent of the usual time; `None` if not reported.
    pub pace: Option<u32>,
}

/// The load of one server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    pub(super) own: InFlight,
    /// The sum over the peers' valid reports.
    pub(super) peers: InFlight,
    /// The latest report, when it arrived, and the box's own requests in flight then.
    reported: Option<(ReportedLoad, Moment, u32)>,
    connect_failures: u32,
    paused_until: Option<Moment>,
    unreachable_since: Option<Moment>,
    pub(super) replaced: bool,
    failure_rate: f64,
    failure_rate_at: Moment,
    pub(super) mean_call_ms: Option<f64>,
    pub(super) trials: Trials,
}

impl ServerLoad {
    /// Returns the requests that this box has in flight at the server.
    pub fn own(&self) -> InFlight {
        self.own
    }

    /// Returns the known requests of all boxes in flight at the server.
    pub fn total(&self, now: Moment) -> InFlight {
        let mut total = self.own;
        total.add(&self.peers);
        if let Some((reported, at, own_then)) = self.reported
            && now.since(at) < SERVER_REPORT_TTL
        {
            let since = self.own.requests().saturating_sub(own_then);
            let reported = reported.running.saturating_add(reported.waiting).min(MAX_REPORTED);
            let requests = reported.saturating_add(since);
            total.add_unknown(requests.saturating_sub(total.requests()));
        }
        total
    }

    /// Returns the server's reported queue length; zero without a recent report.
    pub fn waiting(&self, now: Moment) -> u32 {
        match self.reported {
            Some((reported, at, _)) if now.since(at) < SERVER_REPORT_TTL => reported.waiting,
            _ => 0,
        }
    }

    /// Returns the reported time that work takes there as a factor on the usual time; 1 without a recent
    /// report.
    pub fn pace(&self, now: Moment) -> f64 {
        let (low, high) = PACE_BOUNDS;
        match self.reported {
            Some((ReportedLoad { pace: Some(pace), .. }, at, _)) if now.since(at) < PACE_TTL => {
                (f64::from(pace) / 100.0).clamp(low, high)
            }
            _ => 1.0,
        }
    }

    /// Returns whether the server gets no requests for now because connections to it failed.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether another incarnation of the server has replaced it.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns since when the server has been unreachable.
    pub fn unreachable_since(&self) -> Option<Moment> {
        self.unreachable_since
    }

    /// Returns the fraction of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5f64.powf(elapsed / FAILURE_RATE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the mean time of a call to a plain service in milliseconds; zero before any measurement,
    /// so that an unmeasured server still gets requests.
    pub fn mean_call_ms(&self) -> f64 {
        self.mean_call_ms.unwrap_or(0.0)
    }

    pub(super) fn record_result(&mut self, failed: bool, now: Moment) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_RATE_WEIGHT * (f64::from(u8::from(failed)) - rate);
        self.failure_rate_at = now;
    }

    pub(super) fn mark_unreachable(&mut self, now: Moment) {
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.connect_failures.min(6));
        self.connect_failures += 1;
        self.unreachable_since.get_or_insert(now);
        self.paused_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    pub(super) fn mark_ended(&mut self, now: Moment) {
        self.unreachable_since.get_or_insert(now);
        self.paused_until = Some(now + MAX_BACKOFF);
    }

    pub(super) fn mark_reachable(&mut self) {
        self.connect_failures = 0;
        self.paused_until = None;
        self.unreachable_since = None;
    }

    /// Forgets that the server failed since `since`.
    pub(super) fn forget_failures_since(&mut self, since: Moment) {
        self.mark_reachable();
        if self.failure_rate_at >= since {
            self.failure_rate = 0.0;
        }
    }

    /// Applies the server's report of its load.
    pub(super) fn apply_report(&mut self, reported: ReportedLoad, now: Moment) {
        self.reported = Some((reported, now, self.own.requests()));
    }
}
