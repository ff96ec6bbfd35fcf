//! The system's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use nix::time::{ClockId, clock_gettime};
use trackfront_core::ports::Clock;
use trackfront_core::units::{Moment, UnixMillis};

/// A clock that includes the time for which the machine is suspended. By the monotonic clock, on which timers are based,
/// a resumed box would underestimate the age of what it knows, such as a lease that another box has acquired, keys that
/// were removed and servers that left.
#[derive(Debug)]
pub struct SystemClock {
    start: Duration,
}

/// Returns the time since the machine started, including suspensions.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has had this clock since 2.6.39").into()
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: since_boot() }
    }
}

#[async_trait]
impl Clock for SystemClock {
    fn now(&self) -> Moment {
        Moment(since_boot().saturating_sub(self.start))
    }

    fn unix(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis(since.as_millis() as u64)
    }

    async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}
