//! Faults of the platform's stand-ins, set on command.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use trackfront_adapters::http_server::Abort;

/// The path on which faults are set.
pub const FAULTS_PATH: &str = "/standin/faults";

/// The faults of a platform stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Every connection is dropped without an answer, before anything is done.
    pub down: bool,
    /// How long each answer takes, in milliseconds.
    pub latency_ms: u64,
    /// How many of the next replies are lost after the change has taken effect.
    pub lose_replies: u32,
}

/// A shared setting of faults.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch(Arc<Mutex<PlatformFaults>>);

impl FaultSwitch {
    /// Sets the faults.
    pub fn set(&self, faults: PlatformFaults) {
        *self.0.lock() = faults;
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.0.lock());
    }

    /// Waits the latency out and fails if the stand-in is down. To be called before any effect.
    pub async fn before(&self) -> Result<(), Abort> {
        let faults = self.0.lock().clone();
        if faults.latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        }
        if faults.down { Err(Abort) } else { Ok(()) }
    }

    /// Fails if this reply is one to be lost. To be called after the effect.
    pub fn after(&self) -> Result<(), Abort> {
        let mut faults = self.0.lock();
        if faults.lose_replies > 0 {
            faults.lose_replies -= 1;
            return Err(Abort);
        }
        Ok(())
    }
}
