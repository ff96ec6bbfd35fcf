//! The rows of services, which name the versions of their servers and since when each is in use.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use trackfront_core::ids::ServiceName;
use trackfront_core::ports::{CommitOutcome, Expect, Row, RowKey, Write};
use trackfront_core::serving::stream_origins::{STREAM_TTL, SoftwareHistory, SoftwareId};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::super::keepers;
use super::{commit, count, next};
use crate::serving::node::ServingNode;
use crate::serving::short_names::short_service;

/// The prefix of these rows, which is followed by the service.
const PREFIX: &str = "software/";

/// The additional delay before each further box writes the row of a service.
const WRITER_DELAY: Duration = Duration::from_secs(2);

/// The number of boxes that may write the row of a service.
const WRITERS: usize = 3;

/// The row of a service, as it was read or written.
#[derive(Clone, Debug)]
pub(in crate::serving::stream_origins) struct ReadHistory {
    pub row: SoftwareHistory,
    pub read_at: Moment,
    expect: Expect,
}

fn key(service: &ServiceName) -> RowKey {
    RowKey(format!("{PREFIX}{service}"))
}

/// Returns the versions of a service before this box started, reading its row once; `None` if it can't be read.
pub(in crate::serving::stream_origins) async fn read(
    node: &ServingNode,
    service: &ServiceName,
) -> Option<ReadHistory> {
    let mut histories = node.stream_versions.rows.histories.lock().await;
    if let Some(history) = histories.get(service) {
        return Some(history.clone());
    }
    count(node, "read_software");
    let row = match node.ports.table.read(&key(service)).await {
        Ok(row) => row,
        Err(error) => {
            log::info!(service:%, error:% = error; "versions of a service not read");
            return None;
        }
    };
    let history = decode(node, row);
    log::info!(service:%, versions = history.row.versions().count(); "versions of a service read");
    histories.insert(service.clone(), history.clone());
    Some(history)
}

fn decode(node: &ServingNode, row: Option<Row>) -> ReadHistory {
    let expect = Expect::unchanged(row.as_ref());
    let decoded =
        row.map(|row| serde_json::from_slice(&row.value).map_err(|error| (row.key, error)));
    let row = match decoded.transpose() {
        Ok(history) => history.unwrap_or_default(),
        Err((key, error)) => {
            log::warn!(row:% = key, error:% = error; "invalid row of a service's versions");
            SoftwareHistory::default()
        }
    };
    ReadHistory { row, read_at: node.now(), expect }
}

/// Writes the rows of services.
#[derive(Default)]
pub(super) struct HistoryWriter {
    /// When this box first saw a version that a service's row may lack.
    unwritten_since: HashMap<(ServiceName, SoftwareId), Moment>,
}

impl HistoryWriter {
    /// Records the versions that this box sees, and returns whether one is new to it.
    pub fn record_versions(&mut self, node: &ServingNode) -> bool {
        let now = node.now();
        let mut is_new = false;
        for (service, versions) in seen_versions(node) {
            for version in versions.into_keys() {
                let key = (service.clone(), version);
                is_new |= !self.unwritten_since.contains_key(&key);
                self.unwritten_since.entry(key).or_insert(now);
            }
        }
        is_new
    }

    pub async fn write(&mut self, node: &ServingNode) {
        for (service, seen) in seen_versions(node) {
            let Some(position) = keepers::position(node, short_service(&service) as usize) else {
                continue;
            };
            let since =
                |version: &SoftwareId| self.unwritten_since.get(&(service.clone(), *version));
            let newest = seen.keys().filter_map(since).max().copied();
            let waited = newest.map_or(Duration::ZERO, |at| node.now().since(at));
            if position < WRITERS && waited >= WRITER_DELAY * position as u32 {
                self.write_row(node, &service, seen, position == 0).await;
            }
        }
    }

    /// Adds versions to a service's row, and, if `is_first`, removes those that are no longer in use.
    async fn write_row(
        &mut self,
        node: &ServingNode,
        service: &ServiceName,
        seen: BTreeMap<SoftwareId, StoreVersion>,
        is_first: bool,
    ) {
        let Some(mut history) = read(node, service).await else { return };
        let mut is_changed = false;
        for (version, store) in seen {
            is_changed |= history.row.add(version, store);
        }
        if is_first && !node.is_store_lost() && node.now().since(history.read_at) >= STREAM_TTL {
            is_changed |= history.row.retain(&node.stream_versions.in_use.lock().versions(service));
        }
        if !is_changed {
            return;
        }
        count(node, "write_software");
        let value = serde_json::to_vec(&history.row).expect("our own types always encode");
        let write = Write { key: key(service), expect: history.expect, value: Some(value.into()) };
        let outcome = commit(node, vec![write]).await;
        log::info!(service:%, versions = history.row.versions().count(), outcome:?; "versions of a service written");
        // After anything but a success the row is read again.
        let mut histories = node.stream_versions.rows.histories.lock().await;
        match outcome {
            CommitOutcome::Applied => {
                history.expect = next(history.expect, node);
                histories.insert(service.clone(), history);
            }
            _ => _ = histories.remove(service),
        }
    }
}

/// Returns the versions of the servers of each service with streams that clients may take up again, with the lowest version of the store that has a row of one.
fn seen_versions(node: &ServingNode) -> Vec<(ServiceName, BTreeMap<SoftwareId, StoreVersion>)> {
    let Some(config) = node.config.load_full() else { return Vec::new() };
    let directory = node.directory.lock();
    let of_service = |service: &ServiceName| {
        let mut versions = BTreeMap::new();
        for server in directory.of_service(service) {
            let since = versions.entry(&server.entry.software).or_insert(server.version);
            *since = server.version.min(*since);
        }
        versions.into_iter().map(|(name, since)| (SoftwareId::of(name), since)).collect()
    };
    let services = config.resumable_services().into_iter();
    services.map(|service| (service.clone(), of_service(service))).collect()
}
