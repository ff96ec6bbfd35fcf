//! How far estimated times were off lately, and so how likely an answer is in time.
//!
//! Estimates are made of what a box knows, which is never all. What came in place of what was expected
//! is counted, so that a limit of an estimate says how many of those that are let in will be in time;
//! without that it is a guess whether an estimate just under the limit is a good or a poor risk.

/// The finest difference that is told: a quarter of a doubling.
const BINS_A_DOUBLING: f64 = 4.0;

/// How many doublings off an estimate may be, in either direction, to be told from one still further off.
const DOUBLINGS: f64 = 4.0;

const BINS: usize = (2.0 * DOUBLINGS * BINS_A_DOUBLING) as usize + 1;

/// What an earlier answer still counts when the next has come: the last 200 or so count.
const KEPT_PART: f64 = 0.995;

/// The answers that stand for estimates that are right before any came.
const PRIOR: f64 = 10.0;

/// Differences below this say nothing of an estimate, in milliseconds: the way through the network and
/// the wake-ups of processes take as long.
const FLOOR_MS: f64 = 20.0;

/// What came in place of what was expected, the latest with the most weight.
#[derive(Clone, Debug)]
pub struct Forecast {
    bins: [f64; BINS],
}

impl Default for Forecast {
    fn default() -> Self {
        let mut bins = [0.0; BINS];
        bins[bin(0.0, 0.0)] = PRIOR;
        Self { bins }
    }
}

/// Returns the place of what came against what was expected.
fn bin(expected_ms: f64, came_ms: f64) -> usize {
    let doublings = ((came_ms + FLOOR_MS) / (expected_ms + FLOOR_MS)).log2();
    let place = (doublings.clamp(-DOUBLINGS, DOUBLINGS) + DOUBLINGS) * BINS_A_DOUBLING;
    place.round() as usize
}

impl Forecast {
    /// Notes that what was expected to take `expected_ms` took `came_ms`.
    pub fn record(&mut self, expected_ms: f64, came_ms: f64) {
        for count in &mut self.bins {
            *count *= KEPT_PART;
        }
        self.bins[bin(expected_ms, came_ms)] += 1.0;
    }

    /// Returns how likely it is that what is expected to take `expected_ms` takes at most `limit_ms`,
    /// from 0 to 1.
    pub fn within(&self, expected_ms: f64, limit_ms: f64) -> f64 {
        let last = bin(expected_ms, limit_ms);
        let within: f64 = self.bins[..last].iter().sum();
        // Of those in the same bin half are taken to be within.
        (within + self.bins[last] / 2.0) / self.bins.iter().sum::<f64>()
    }
}

/// How far off estimates were, apart for what is estimated in another way: first events or plain calls,
/// with a free slot or without.
#[derive(Debug, Default)]
pub struct Forecasts {
    first_events: [Forecast; 2],
    calls: [Forecast; 2],
}

impl Forecasts {
    /// Returns the one for first events or plain calls, with a free slot or without.
    pub fn of(&mut self, of_model: bool, has_slot: bool) -> &mut Forecast {
        let forecasts = if of_model { &mut self.first_events } else { &mut self.calls };
        &mut forecasts[usize::from(has_slot)]
    }
}
