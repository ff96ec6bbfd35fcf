//! A clock that follows the runtime's, also when that is paused.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;
use trackfront_core::ports::Clock;
use trackfront_core::units::{Moment, UnixMillis};

/// The wall-clock time at which every run starts.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// The clock of a run.
#[derive(Debug)]
pub struct MemoryClock {
    start: Instant,
    suspended_ms: AtomicU64,
}

impl MemoryClock {
    /// All machines are suspended for a time, which timers do not count.
    pub fn suspend(&self, time: Duration) {
        self.suspended_ms.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
    }
}

impl Default for MemoryClock {
    fn default() -> Self {
        Self { start: Instant::now(), suspended_ms: AtomicU64::new(0) }
    }
}

#[async_trait]
impl Clock for MemoryClock {
    fn now(&self) -> Moment {
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::SeqCst));
        Moment(self.start.elapsed() + suspended)
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis(START_UNIX_MS + self.start.elapsed().as_millis() as u64)
    }

    async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}
