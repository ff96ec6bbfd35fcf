//! When a stopping box exits.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The time before its exit at which a stopping box gives the last answers, so that they are sent.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// When this box exits, once that is known.
#[derive(Debug)]
pub struct Exit(watch::Sender<Option<Instant>>);

impl Default for Exit {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl Exit {
    /// Sets when this box exits.
    pub fn set(&self, at: Instant) {
        self.0.send_replace(Some(at));
    }

    /// Returns the time until the last answers; `None` unless the box is stopping.
    pub fn time_left(&self) -> Option<Duration> {
        let exits_at = (*self.0.borrow())?;
        Some(exits_at.saturating_duration_since(Instant::now()).saturating_sub(LAST_ANSWER_MARGIN))
    }

    /// Waits until the last answers are due, if the box ever stops.
    pub async fn answers_due(&self) {
        let mut exits_at = self.0.subscribe();
        let Ok(exits_at) = exits_at.wait_for(Option::is_some).await.map(|at| *at) else {
            return std::future::pending().await;
        };
        if let Some(exits_at) = exits_at {
            sleep_until(exits_at - LAST_ANSWER_MARGIN).await;
        }
    }
}
