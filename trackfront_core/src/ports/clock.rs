//! The clock port.

use std::time::Duration;

use async_trait::async_trait;

use crate::units::{Moment, UnixMillis};

/// The local clock. Only differences of [`Moment`]s are used for decisions.
#[async_trait]
pub trait Clock: Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Moment;

    /// Returns the wall-clock time, for logs and the audit trail only.
    fn unix(&self) -> UnixMillis;

    /// Sleeps for at least `duration`.
    async fn sleep(&self, duration: Duration);
}
