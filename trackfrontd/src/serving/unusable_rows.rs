//! Server rows that describe no usable server, as something other than a server wrote them. They
//! are counted, and logged once per version.

use std::collections::HashMap;

use parking_lot::Mutex;
use trackfront_adapters::serving_metrics::ServingMetrics;
use trackfront_core::ids::ServerKey;
use trackfront_core::serving::directory::ServerChange;
use trackfront_core::store_version::StoreVersion;

/// The number of such rows in one answer that are logged one by one; the rest are logged as a
/// count, so that a flood of rows causes no flood of log lines.
const MAX_LOGGED_ROWS: usize = 8;

/// The number of rows that are remembered as logged; a listing returns them again.
const MAX_REMEMBERED_ROWS: usize = 1_024;

/// The rows that were logged.
#[derive(Debug, Default)]
pub struct UnusableRows {
    logged: Mutex<HashMap<ServerKey, StoreVersion>>,
}

impl UnusableRows {
    /// Counts and logs the unusable ones among rows read from the platform.
    pub fn record(&self, rows: &[ServerChange], metrics: &ServingMetrics) {
        let mut unlogged_rows = 0;
        let mut logged_rows = 0;
        for row in rows {
            let ServerChange::Unusable { version, key, error } = row else {
                continue;
            };
            if !self.is_new(key, *version) {
                continue;
            }
            metrics.unusable_rows.inc();
            if logged_rows == MAX_LOGGED_ROWS {
                unlogged_rows += 1;
                continue;
            }
            logged_rows += 1;
            log::warn!(row:% = key, version, error; "row describes no usable server");
        }
        if unlogged_rows > 0 {
            log::warn!(rows = unlogged_rows; "more rows describe no usable server");
        }
    }

    fn is_new(&self, key: &ServerKey, version: StoreVersion) -> bool {
        let mut logged = self.logged.lock();
        if logged.len() >= MAX_REMEMBERED_ROWS {
            logged.clear();
        }
        logged.insert(key.clone(), version) != Some(version)
    }
}
