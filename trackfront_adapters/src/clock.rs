//! The system's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use tokio::time::Instant;
use trackfront_core::ports::Clock;
use trackfront_core::units::{Moment, UnixMillis};

/// The clock of the tokio runtime, which tests may pause.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

#[async_trait]
impl Clock for SystemClock {
    fn now(&self) -> Moment {
        Moment(self.start.elapsed())
    }

    fn unix(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis(since.as_millis() as u64)
    }

    async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}
