//! How many retries a box may send.

use parking_lot::Mutex;

/// How much each request adds to the budget: one retry for ten requests.
const EARN: f64 = 0.1;

/// The most that is saved up: enough for the requests in progress on one lost engine.
const MAX_SAVED: f64 = 64.0;

/// A budget of retries that all requests of a box share, so that a fault does not multiply the
/// load.
#[derive(Debug)]
pub struct RetryBudget {
    saved: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: Mutex::new(MAX_SAVED) }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn earn(&self) {
        let mut saved = self.saved.lock();
        *saved = (*saved + EARN).min(MAX_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn take(&self) -> bool {
        let mut saved = self.saved.lock();
        let granted = *saved >= 1.0;
        if granted {
            *saved -= 1.0;
        }
        granted
    }
}

#[cfg(test)]
mod tests;
