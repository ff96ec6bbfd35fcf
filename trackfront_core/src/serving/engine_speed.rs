//! The speed of one engine against the usual speed of its models.
//!
//! It has two parts: a lasting one, learned from the times of first events, and a momentary one, the pace that the engine
//! reports in its answers. Times are divided by the pace before the lasting part learns from them, so that no delay counts
//! in both.

use std::time::Duration;

use crate::serving::server_load::{PACE_BOUNDS, PACE_TTL};
use crate::units::Moment;

/// The bounds of the lasting slowness, as a factor on the usual time.
const LASTING_BOUNDS: (f64, f64) = (0.2, 5.0);

/// The most by which one measurement may differ from the slowness learned before, as a factor.
const MAX_DEVIATION: f64 = 3.0;

/// The shortest expected time from which the speed is learned, in milliseconds: below it, network and process wake-ups
/// take a large part.
const MIN_EXPECTED_MS: f64 = 20.0;

/// The largest weight of one measurement, in milliseconds of expected time.
const MAX_WEIGHT_MS: f64 = 500.0;

/// The weight of the usual speed beside the measurements, in milliseconds of expected time.
const PRIOR_WEIGHT_MS: f64 = 200.0;

/// The factor on the weight of earlier measurements with each new one: the last 30 or so count.
const DECAY: f64 = 0.97;

/// The time without measurements after which they begin to age.
const AGES_AFTER: Duration = Duration::from_secs(2);

/// The further time in which the lasting slowness comes down to its square root, and earlier measurements lose
/// half of their weight: an engine that is avoided for its speed gets another chance.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// The speed of one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineSpeed {
    /// The decayed sum of the expected times of measurements.
    expected_ms: f64,
    /// The decayed sum of the times that they took.
    took_ms: f64,
    /// When the last measurement was made.
    learned_at: Moment,
    /// The latest pace as a factor on the usual time, and when it was reported.
    pace: Option<(f64, Moment)>,
    /// The time that has passed at a pace of 1, up to `work_clock_until`.
    work_clock_ms: f64,
    work_clock_until: Moment,
}

impl EngineSpeed {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            expected_ms: 0.0,
            took_ms: 0.0,
            learned_at: now,
            pace: None,
            work_clock_ms: 0.0,
            work_clock_until: now,
        }
    }

    /// Returns the time that work takes, as a factor on the usual time.
    pub(super) fn slowness(&self, now: Moment) -> f64 {
        self.lasting_slowness(now) * self.pace(now).unwrap_or(1.0)
    }

    /// Returns the time that work takes at a pace of 1, as a factor on the usual time.
    pub(super) fn lasting_slowness(&self, now: Moment) -> f64 {
        let (low, high) = LASTING_BOUNDS;
        let took_ms = self.took_ms + PRIOR_WEIGHT_MS;
        let expected_ms = self.expected_ms + PRIOR_WEIGHT_MS;
        (took_ms / expected_ms).clamp(low, high).powf(self.kept(now))
    }

    /// Ages the measurements made so far, so that the next one does not make them count in full again.
    fn age(&mut self, now: Moment) {
        if self.expected_ms > 0.0 {
            let kept = self.kept(now);
            let slowness = (self.took_ms / self.expected_ms).powf(kept);
            self.expected_ms *= kept;
            self.took_ms = self.expected_ms * slowness;
        }
        self.learned_at = now;
    }

    /// Returns the share of their weight that measurements have kept since the last one.
    fn kept(&self, now: Moment) -> f64 {
        let aging = now.since(self.learned_at).saturating_sub(AGES_AFTER);
        0.5f64.powf(aging.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns the engine's work clock in milliseconds. At a pace of 2 it advances by one half of the time that passes.
    pub(super) fn work_clock_ms(&self, now: Moment) -> f64 {
        let elapsed_ms = now.since(self.work_clock_until).as_secs_f64() * 1_000.0;
        self.work_clock_ms + elapsed_ms / self.pace(now).unwrap_or(1.0)
    }

    /// Fixes the clock of [`Self::work_clock_ms`] up to `now`, so that later reports change it only from there on.
    pub(super) fn advance(&mut self, now: Moment) {
        self.work_clock_ms = self.work_clock_ms(now);
        self.work_clock_until = self.work_clock_until.max(now);
    }

    /// Applies a pace that the engine reported, in percent of the usual time. One half of the time since the last one is
    /// taken to have passed at the former pace, the other at this one.
    pub(super) fn report_pace(&mut self, percent: u32, now: Moment) {
        let (low, high) = PACE_BOUNDS;
        let pace = (f64::from(percent) / 100.0).clamp(low, high);
        let before = self.pace(now).unwrap_or(pace);
        let harmonic_mean = 2.0 / (1.0 / before + 1.0 / pace);
        self.pace = Some((harmonic_mean, now));
        self.advance(now);
        self.pace = Some((pace, now));
    }

    /// Learns from work that took `took_ms` by [`Self::work_clock_ms`] and takes `expected_ms` at the usual speed.
    pub(super) fn learn(&mut self, expected_ms: f64, took_ms: f64, now: Moment) {
        if expected_ms < MIN_EXPECTED_MS {
            return;
        }
        let lasting = self.lasting_slowness(now);
        let ratio = (took_ms / expected_ms).clamp(lasting / MAX_DEVIATION, lasting * MAX_DEVIATION);
        let weight_ms = expected_ms.min(MAX_WEIGHT_MS);
        self.age(now);
        self.expected_ms = self.expected_ms * DECAY + weight_ms;
        self.took_ms = self.took_ms * DECAY + weight_ms * ratio;
    }

    fn pace(&self, now: Moment) -> Option<f64> {
        self.pace.filter(|(_, at)| now.since(*at) < PACE_TTL).map(|(pace, _)| pace)
    }
}
