//! Keeps the accepted tree in force: polls the head row of the table and fetches trees from peers.

use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use trackfront_core::audit::AuditEvent;
use trackfront_core::ids::{HallName, Revision};
use trackfront_core::ports::peers::{PeerAnswer, PeerMessage};
use trackfront_core::ports::{ObjectError, PeerError, Row, RowKey, TableError};
use trackfront_core::tree::snapshot::Head;
use trackfront_core::tree::{ServiceKind, Snapshot};

use crate::in_force::InstallError;
use crate::limits;
use crate::shared::Shared;

/// The interval at which the head row is read.
const POLL_INTERVAL: Duration = Duration::from_millis(800);

/// The key of the row that names the accepted tree.
const HEAD_KEY: &str = "tree/head";

/// Why a tree could not be fetched.
#[derive(Debug, Error)]
pub enum FollowError {
    /// The table could not be read.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The object store could not be read.
    #[error(transparent)]
    Objects(#[from] ObjectError),
    /// The peer could not be reached.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The head row is invalid.
    #[error("the head row does not decode: {0}; it is read again")]
    BadHead(String),
    /// The object in the head row does not exist.
    #[error("the object store has no `{0}`; peers are asked for it")]
    NoObject(String),
    /// The snapshot cannot be put in force.
    #[error(transparent)]
    Install(#[from] InstallError),
}

/// The head row with its decoded value.
#[derive(Clone, Debug)]
pub struct ReadHead {
    /// The row.
    pub row: Row,
    /// The decoded value.
    pub head: Head,
}

/// Returns the key of the head row.
pub fn head_key() -> RowKey {
    RowKey(HEAD_KEY.into())
}

/// Reads the head row; `None` before the first tree.
pub async fn read_head(shared: &Shared) -> Result<Option<ReadHead>, FollowError> {
    let Some(row) = shared.outside.table.read(&head_key()).await? else {
        return Ok(None);
    };
    let head = serde_json::from_slice(&row.value)
        .map_err(|error| FollowError::BadHead(error.to_string()))?;
    Ok(Some(ReadHead { row, head }))
}

/// Follows the head row until the task is stopped.
pub async fn follow_tree(shared: Arc<Shared>) {
    loop {
        if let Err(error) = poll(&shared).await {
            log::warn!("the tree cannot be followed: {error}");
        }
        shared.sleep_about(POLL_INTERVAL).await;
    }
}

/// Reads the head row once, and fetches its tree if it is newer.
async fn poll(shared: &Shared) -> Result<(), FollowError> {
    let Some(ReadHead { head, .. }) = read_head(shared).await? else {
        return Ok(());
    };
    if head.revision <= shared.in_force.revision() {
        return Ok(());
    }
    let name = Snapshot::object_name(head.revision, &head.digest);
    let bytes = shared.outside.objects.get(&name).await?.ok_or(FollowError::NoObject(name))?;
    install(shared, &bytes, "table")?;
    Ok(())
}

/// Fetches a newer tree from a peer.
pub async fn fetch_from_peer(shared: &Shared, address: &str) -> Result<(), FollowError> {
    let message = PeerMessage::FetchTree { newer_than: shared.in_force.revision() };
    match shared.outside.peers.ask(address, message).await? {
        PeerAnswer::Tree { snapshot } => install(shared, &snapshot, "peer").map(|_| ()),
        _ => Ok(()),
    }
}

/// Puts a snapshot in force and updates everything that depends on the tree.
pub fn install(shared: &Shared, bytes: &[u8], source: &str) -> Result<Revision, FollowError> {
    let backends = shared.outside.backends.as_ref();
    let installed = shared.in_force.install(bytes, &shared.place.region, backends);
    let revision = match installed {
        Ok(revision) => revision,
        // Another task put the same or a newer tree in force meanwhile.
        Err(InstallError::NotNewer { current, .. }) => return Ok(current),
        Err(error) => return Err(error.into()),
    };
    shared.metrics.revision.set(revision.0);
    if let Some(current) = shared.in_force.current() {
        let engines: Vec<(_, HallName)> = current
            .tree
            .shards()
            .filter(|(_, service)| matches!(service.kind, ServiceKind::Engines { .. }))
            .flat_map(|(_, service)| &service.backends)
            .map(|(id, backend)| (id.clone(), backend.hall.clone()))
            .collect();
        shared.fleet.set_engines(&engines);
        shared.quotas.set_limits(limits::limits(&current.tree));
    }
    shared.audit.record(AuditEvent::TreeInForce { revision, source: source.into() });
    Ok(revision)
}
