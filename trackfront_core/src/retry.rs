//! The retry budget of a box.

use parking_lot::Mutex;

/// The retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// The maximum number of available retries: enough for the requests in progress on one lost engine.
const MAX_AVAILABLE: f64 = 64.0;

/// A budget of retries shared by all requests of a box, so that a fault does not multiply the load.
#[derive(Debug)]
pub struct RetryBudget {
    available: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: Mutex::new(MAX_AVAILABLE) }
    }
}

impl RetryBudget {
    /// Counts a request, which adds to the budget.
    pub fn count_request(&self) {
        let mut available = self.available.lock();
        *available = (*available + RETRIES_PER_REQUEST).min(MAX_AVAILABLE);
    }

    /// Takes one retry. Returns `false` if none is available.
    pub fn try_take(&self) -> bool {
        let mut available = self.available.lock();
        let granted = *available >= 1.0;
        if granted {
            *available -= 1.0;
        }
        granted
    }
}

#[cfg(test)]
mod tests;
