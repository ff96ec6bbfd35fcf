//! The clock port.

use std::time::Duration;

use async_trait::async_trait;

use crate::units::{Moment, UnixMillis};

/// The local clock. Only differences of [`Moment`]s are used for decisions.
#[async_trait]
pub trait Clock: Send + Sync {
    /// Returns the present moment; it never goes back.
    fn now(&self) -> Moment;

    /// Returns the wall-clock time, for logs and the audit trail only.
    fn unix(&self) -> UnixMillis;

    /// Waits for `duration`; it may wait longer, never shorter.
    async fn sleep(&self, duration: Duration);
}
