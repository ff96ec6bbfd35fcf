//! When a stopping box exits.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use trackfront_core::ports::Clock;
use trackfront_core::units::Moment;

/// The time before its exit at which a stopping box gives the last answers, so that they are sent.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// When this box exits, once that is known.
#[derive(Debug)]
pub struct Exit(watch::Sender<Option<Moment>>);

impl Default for Exit {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl Exit {
    /// Sets when this box exits.
    pub fn set(&self, at: Moment) {
        self.0.send_replace(Some(at));
    }

    /// Returns the time until the last answers; `None` unless the box is stopping.
    pub fn time_left(&self, now: Moment) -> Option<Duration> {
        let exits_at = (*self.0.borrow())?;
        Some(exits_at.since(now).saturating_sub(LAST_ANSWER_MARGIN))
    }

    /// Waits until the last answers are due, if the box ever stops.
    pub async fn answers_due(&self, clock: &dyn Clock) {
        // The sender lives as long as this.
        let _ = self.0.subscribe().wait_for(Option::is_some).await;
        if let Some(time_left) = self.time_left(clock.now()) {
            sleep(time_left).await;
        }
    }
}
