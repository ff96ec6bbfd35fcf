//! Applies a tree: validates it and commits it as the next revision.

use std::sync::Arc;

use bytes::Bytes;
use trackfront_adapters::wire::operator::{ApplyAnswer, ApplyRequest};
use trackfront_core::audit::AuditEvent;
use trackfront_core::ids::Revision;
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{CommitOutcome, Expect, Transaction, Write};
use trackfront_core::tree::check::check;
use trackfront_core::tree::diff::diff;
use trackfront_core::tree::snapshot::Head;
use trackfront_core::tree::{Snapshot, Tree, TreeErrors, build};

use crate::follower::{self, ReadHead, head_key, read_head};
use crate::shared::Shared;

/// How many times a commit is sent before its outcome counts as unknown.
const COMMIT_ATTEMPTS: u32 = 4;

/// Applies a tree. It is applied once, even if the same transaction is sent again.
pub async fn apply(shared: &Arc<Shared>, wanted: ApplyRequest) -> ApplyAnswer {
    match try_apply(shared, wanted).await {
        Ok(answer) | Err(answer) => answer,
    }
}

/// Applies a tree step by step. `Err` is the answer of a step before the last one.
async fn try_apply(shared: &Arc<Shared>, wanted: ApplyRequest) -> Result<ApplyAnswer, ApplyAnswer> {
    let read = read_head(shared).await.map_err(|error| not_applied(&error))?;
    let head = read.as_ref().map(|read| &read.head);
    if let Some(revision) = head.and_then(|head| head.accepted(&wanted.txn)) {
        return Ok(ApplyAnswer::Accepted { revision });
    }
    let current = head.map_or(Revision(0), |head| head.revision);
    if let Some(head) = head.filter(|_| wanted.base != current) {
        return Err(conflict(head));
    }
    let tree = build_checked(&wanted).map_err(invalid)?;
    let next = Head::next(
        head,
        wanted.files.digest(),
        wanted.txn.clone(),
        wanted.author.clone(),
        wanted.reason.clone(),
    );
    if head.is_some_and(|head| head.digest == next.digest) {
        return Ok(ApplyAnswer::Unchanged { revision: current });
    }
    if let Some(head) = head {
        refuse_removals(shared, head, &wanted, &tree).await?;
    }
    let snapshot = Snapshot::new(next.revision, wanted.files);
    commit(shared, read.as_ref(), next, snapshot).await
}

fn build_checked(wanted: &ApplyRequest) -> Result<Tree, TreeErrors> {
    let tree = build(&wanted.files)?;
    check(&tree)?;
    Ok(tree)
}

/// Refuses a tree that removes names which callers can use now, unless removals are allowed.
async fn refuse_removals(
    shared: &Shared,
    head: &Head,
    wanted: &ApplyRequest,
    tree: &Tree,
) -> Result<(), ApplyAnswer> {
    if wanted.allow_removals {
        return Ok(());
    }
    let accepted = accepted_snapshot(shared, head).await?;
    let Ok(before) = build(&accepted.files) else {
        return Ok(());
    };
    let names = diff(Some((&accepted.files, &before)), (&wanted.files, tree)).removed_names;
    if names.is_empty() { Ok(()) } else { Err(ApplyAnswer::Removes { names }) }
}

/// Returns the accepted snapshot, from this box if it is in force or from the object store.
async fn accepted_snapshot(shared: &Shared, head: &Head) -> Result<Snapshot, ApplyAnswer> {
    if let Some(current) = shared.in_force.current()
        && current.snapshot.revision == head.revision
    {
        return Ok(current.snapshot.clone());
    }
    let name = Snapshot::object_name(head.revision, &head.digest);
    let bytes = shared.outside.objects.get(&name).await.map_err(|error| not_applied(&error))?;
    let bytes = bytes.ok_or_else(|| not_applied(&format!("the object {name} is missing")))?;
    Snapshot::decode(&bytes).map_err(|error| not_applied(&error))
}

/// Writes the snapshot, then the head row if its version has not changed.
async fn commit(
    shared: &Arc<Shared>,
    read: Option<&ReadHead>,
    next: Head,
    snapshot: Snapshot,
) -> Result<ApplyAnswer, ApplyAnswer> {
    let name = Snapshot::object_name(next.revision, &next.digest);
    let bytes = Bytes::from(snapshot.encode());
    // The object is written first, so the object in a head row always exists.
    let put = shared.outside.objects.put(&name, bytes.clone()).await;
    put.map_err(|error| not_applied(&error))?;
    let value = serde_json::to_vec(&next).expect("our own types always encode");
    let expect = Expect::unchanged(read.map(|read| &read.row));
    let write = Write { key: head_key(), expect, value: Some(Bytes::from(value)) };
    let txn = Transaction { id: next.txn.clone(), writes: vec![write] };
    let table = shared.outside.table.as_ref();
    match commit_settled(table, &txn, COMMIT_ATTEMPTS).await {
        CommitOutcome::Applied => {
            shared.audit.record(AuditEvent::TreeAccepted {
                revision: next.revision,
                author: next.author,
                reason: next.reason,
            });
            if let Err(error) = follower::install(shared, &bytes, "operator") {
                log::warn!("the accepted tree is not in force here yet: {error}");
            }
            Ok(ApplyAnswer::Accepted { revision: next.revision })
        }
        CommitOutcome::Conflict { .. } => Err(resolve_conflict(shared, &next).await),
        CommitOutcome::NotApplied(error) => Err(not_applied(&error)),
        CommitOutcome::Unknown(error) => Err(ApplyAnswer::Unknown { detail: error.to_string() }),
    }
}

/// Returns the answer to an apply that conflicted with another change.
async fn resolve_conflict(shared: &Shared, own: &Head) -> ApplyAnswer {
    match read_head(shared).await {
        Ok(Some(read)) => match read.head.accepted(&own.txn) {
            Some(revision) => ApplyAnswer::Accepted { revision },
            None => conflict(&read.head),
        },
        Ok(None) => not_applied(&"the head row changed and is gone"),
        // A conflict means that this change was not applied.
        Err(error) => not_applied(&format!("another change came first; {error}")),
    }
}

fn conflict(head: &Head) -> ApplyAnswer {
    ApplyAnswer::Conflict {
        revision: head.revision,
        author: head.author.clone(),
        reason: head.reason.clone(),
    }
}

fn invalid(errors: TreeErrors) -> ApplyAnswer {
    ApplyAnswer::Invalid { faults: errors.0.iter().map(ToString::to_string).collect() }
}

fn not_applied(detail: &impl ToString) -> ApplyAnswer {
    ApplyAnswer::NotApplied { detail: detail.to_string() }
}
