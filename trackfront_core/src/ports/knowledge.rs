//! The platform's feeds of the configuration and of the servers.
//!
//! Answers may be late, out of order or lost; the version shows which one is newer.

use std::time::Duration;

use async_trait::async_trait;

use crate::ports::TableError;
use crate::serving::config::ServingConfig;
use crate::serving::directory::ServerChange;
use crate::serving::halls::HallStatus;
use crate::store_version::StoreVersion;

/// A consistent snapshot of all rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<T> {
    /// The rows, each with its version.
    pub rows: Vec<(StoreVersion, T)>,
    /// The version of the platform's table at the time of the snapshot.
    pub version: StoreVersion,
}

/// The result of waiting for changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Feed<T> {
    /// The changes in order, possibly none.
    Changes {
        /// The changes.
        changes: Vec<T>,
        /// The version up to which the changes are complete.
        version: StoreVersion,
    },
    /// The changes after the requested version are no longer retained, or the store was restored
    /// since: all rows have to be read again.
    HistoryGone,
}

/// A configuration as the operators stored it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfig {
    /// The version of the row.
    pub row_version: StoreVersion,
    /// The configuration, or the reason why it cannot be used.
    pub config: Result<ServingConfig, String>,
}

/// A change that an operator wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorUpdate {
    /// A configuration.
    Config(StoredConfig),
    /// A hall that was evacuated, whose servers get no requests, or returned to use.
    Hall(HallStatus),
}

/// Reads the configuration and the list of servers.
#[async_trait]
pub trait Knowledge: Send + Sync {
    /// Reads the configuration, if one is stored, and the evacuated halls.
    async fn read_operator(&self) -> Result<Listing<OperatorUpdate>, TableError>;

    /// Waits at most `wait` for operator changes after `version`.
    async fn follow_operator(
        &self,
        version: StoreVersion,
        wait: Duration,
    ) -> Result<Feed<OperatorUpdate>, TableError>;

    /// Returns whether the configuration's row still has version `row` at some moment after the
    /// call; `false` if the store is in a later era. A feed may deliver nothing while changes are
    /// made, so the lack of changes in it is no proof.
    async fn is_newest_config(&self, row: StoreVersion) -> Result<bool, TableError>;

    /// Reads the rows of all servers; none of them is a removal.
    async fn list_servers(&self) -> Result<Listing<ServerChange>, TableError>;

    /// Waits at most `wait` for server changes after `version`.
    async fn follow_servers(
        &self,
        version: StoreVersion,
        wait: Duration,
    ) -> Result<Feed<ServerChange>, TableError>;

    /// Returns the latest era of the store that any answer showed; `None` if it has no eras.
    fn era(&self) -> Option<u64> {
        None
    }

    /// Drops the pooled connections, so that the next calls open new ones. Called after the
    /// machine was suspended, when the platform may have closed them.
    fn forget_connections(&self);
}
