//! Figures: quantiles of times, the processor time of this process, and JSON lines.

use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;
use trackfront_core::units::secs_to_duration;

/// The significant digits of a histogram.
const DIGITS: u8 = 3;

/// The clock ticks a second in /proc, which Linux fixes at this for programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// The bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Times of one kind, in microseconds.
pub struct Times(Histogram<u64>);

/// The quantiles of some times, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50_us: u64,
    /// The time under which 95 in 100 stay.
    pub p95_us: u64,
    /// The time under which 99 in 100 stay.
    pub p99_us: u64,
    /// The longest time.
    pub max_us: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new(DIGITS).expect("the number of digits is valid"))
    }
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        self.0.record(time.as_micros() as u64).expect("the histogram grows by itself");
    }

    /// Adds all times of another kind.
    pub fn merge(&mut self, other: &Times) {
        self.0.add(&other.0).expect("both have the same digits");
    }

    /// Returns the quantiles.
    pub fn quantiles(&self) -> Quantiles {
        Quantiles {
            p50_us: self.0.value_at_quantile(0.50),
            p95_us: self.0.value_at_quantile(0.95),
            p99_us: self.0.value_at_quantile(0.99),
            max_us: self.0.max(),
        }
    }
}

/// Returns the processor time that this process has used.
pub fn processor_time() -> anyhow::Result<Duration> {
    let stat = std::fs::read_to_string("/proc/self/stat").context("cannot read /proc")?;
    // The fields after the command's name, which may itself have spaces.
    let (_, fields) = stat.rsplit_once(')').context("/proc/self/stat has another form")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> anyhow::Result<f64> {
        Ok(fields.get(index).context("/proc/self/stat is short")?.parse()?)
    };
    // User and system time are the 14th and 15th fields, and three were cut off.
    Ok(secs_to_duration((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND))
}

/// Prints figures as one JSON line.
pub fn print(figures: &impl Serialize) {
    println!("{}", serde_json::to_string(figures).unwrap_or_default());
}

/// Times of one kind, in nanoseconds.
pub struct Nanos(Histogram<u64>);

impl Default for Nanos {
    fn default() -> Self {
        Self(Histogram::new(DIGITS).expect("the number of digits is valid"))
    }
}

impl Nanos {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        self.0.record(time.as_nanos() as u64).expect("the histogram grows by itself");
    }

    /// Returns the median and the time under which 99 in 100 stay.
    pub fn p50_p99(&self) -> (u64, u64) {
        (self.0.value_at_quantile(0.50), self.0.value_at_quantile(0.99))
    }
}

/// Returns the memory of this process that is in use.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").context("cannot read /proc")?;
    let pages = statm.split_whitespace().nth(1).context("/proc/self/statm is short")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Returns the slope of the straight line through some points.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    fit(points).slope
}

/// A straight line through points.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// The value at zero.
    pub base: f64,
    /// How much the value grows by one.
    pub slope: f64,
    /// The root of the mean square of what the line leaves over.
    pub residual: f64,
}

/// Fits a straight line by least squares.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let common: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let slope = if spread > 0.0 { common / spread } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let left: f64 = points.iter().map(|point| (point.1 - base - slope * point.0).powi(2)).sum();
    Fit { base, slope, residual: (left / count).sqrt() }
}
