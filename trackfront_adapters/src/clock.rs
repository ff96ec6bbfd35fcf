//! The system's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use nix::time::{ClockId, clock_gettime};
use trackfront_core::ports::Clock;
use trackfront_core::units::{Moment, UnixMillis};

/// The clock that counts the time for which the machine is suspended as well. By the steady clock, which timers go by,
/// all that a box believes would be that much younger than it is when it wakes: a lease that another box has taken
/// over, keys that were taken away, servers that left.
#[derive(Debug)]
pub struct SystemClock {
    start: Duration,
}

/// Returns the time since the machine started, in which it was suspended or not.
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
