//! Rows of servers that name none to use, as others than their servers wrote them: counted, and logged once a
//! version.

use std::collections::HashMap;

use parking_lot::Mutex;
use trackfront_adapters::serving_metrics::ServingMetrics;
use trackfront_core::ids::ServerKey;
use trackfront_core::serving::directory::ServerChange;

/// How many such rows of one answer have a line of their own; the others are summed up, or a flood of them would be
/// one of lines.
const MAX_LOGGED_ROWS: usize = 8;

/// How many rows are remembered as logged; a listing has them again.
const MAX_REMEMBERED_ROWS: usize = 1_024;

/// What was logged.
#[derive(Debug, Default)]
pub struct UnusableRows {
    logged: Mutex<HashMap<ServerKey, u64>>,
}

impl UnusableRows {
    /// Notes those among rows that were read from the platform.
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
            log::warn!(row:% = key, version, error; "row names no server to use");
        }
        if unlogged_rows > 0 {
            log::warn!(rows = unlogged_rows; "more rows name no server to use");
        }
    }

    fn is_new(&self, key: &ServerKey, version: u64) -> bool {
        let mut logged = self.logged.lock();
        if logged.len() >= MAX_REMEMBERED_ROWS {
            logged.clear();
        }
        logged.insert(key.clone(), version) != Some(version)
    }
}
