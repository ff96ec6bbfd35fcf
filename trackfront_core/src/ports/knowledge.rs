//! What the platform tells of the configuration and of the servers.
//!
//! Answers may be late, out of order or lost; versions say which is newer.

use std::time::Duration;

use async_trait::async_trait;

use crate::ports::TableError;
use crate::serving::config::ServingConfig;
use crate::serving::directory::ServerChange;
use crate::serving::halls::HallStatus;

/// All rows as of one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<T> {
    /// The rows, each with its version.
    pub rows: Vec<(u64, T)>,
    /// The newest version of the platform's table at that moment.
    pub version: u64,
}

/// What came of a wait for changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Feed<T> {
    /// The changes, in order; there may be none.
    Changes {
        /// The changes.
        changes: Vec<T>,
        /// The version up to which they reach.
        version: u64,
    },
    /// The changes after the version asked for are no longer kept: everything has to be read.
    HistoryGone,
}

/// A configuration as the operators stored it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfig {
    /// The version of the row.
    pub row_version: u64,
    /// The configuration, or why it cannot be used.
    pub config: Result<ServingConfig, String>,
}

/// What the operator wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorUpdate {
    /// A configuration.
    Config(StoredConfig),
    /// That the servers of a hall are to get nothing, or are used again.
    Hall(HallStatus),
}

/// Reads the configuration and the list of servers.
#[async_trait]
pub trait Knowledge: Send + Sync {
    /// Reads the configuration, if one was stored yet, and the halls that are emptied.
    async fn read_operator(&self) -> Result<Listing<OperatorUpdate>, TableError>;

    /// Waits at most `wait` for what the operator writes after `version`.
    async fn follow_operator(
        &self,
        version: u64,
        wait: Duration,
    ) -> Result<Feed<OperatorUpdate>, TableError>;

    /// Returns whether the row of the configuration still has version `row`, as of a moment after the call:
    /// a feed may be silent while changes are made, so its silence does not show that.
    async fn is_newest_config(&self, row: u64) -> Result<bool, TableError>;

    /// Reads the rows of all servers; no row is told as gone.
    async fn list_servers(&self) -> Result<Listing<ServerChange>, TableError>;

    /// Waits at most `wait` for changes of servers after `version`.
    async fn follow_servers(
        &self,
        version: u64,
        wait: Duration,
    ) -> Result<Feed<ServerChange>, TableError>;

    /// Leaves connections that are kept open, so that the next calls open new ones: the machine was suspended, and the
    /// platform may have given them up.
    fn forget_connections(&self);
}
