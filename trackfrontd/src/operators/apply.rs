//! Accepts a tree: checks it whole and commits it as the next revision.

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

/// How often a commit is sent before its fate counts as unknown.
const COMMIT_ATTEMPTS: u32 = 4;

/// Applies a tree. Asking again with the same transaction applies it once.
pub async fn apply(shared: &Arc<Shared>, wanted: ApplyRequest) -> ApplyAnswer {
    match try_apply(shared, wanted).await {
        Ok(answer) | Err(answer) => answer,
    }
}

/// Does the steps of an apply; an `Err` is an answer that came before the last step.
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
    let tree = checked(&wanted).map_err(invalid)?;
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

fn checked(wanted: &ApplyRequest) -> Result<Tree, TreeErrors> {
    let tree = build(&wanted.files)?;
    check(&tree)?;
    Ok(tree)
}

/// Refuses a tree in which names are missing that callers can reach now, unless that is meant.
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

/// Returns the accepted snapshot: the one in force here, or else the object store's.
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

/// Writes the snapshot, then the head row on the version that was read.
async fn commit(
    shared: &Arc<Shared>,
    read: Option<&ReadHead>,
    next: Head,
    snapshot: Snapshot,
) -> Result<ApplyAnswer, ApplyAnswer> {
    let name = Snapshot::object_name(next.revision, &next.digest);
    let bytes = Bytes::from(snapshot.encode());
    // The object comes first, so that a head row never names one that is not there.
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
        CommitOutcome::Conflict { .. } => Err(lost_race(shared, &next).await),
        CommitOutcome::NotApplied(error) => Err(not_applied(&error)),
        CommitOutcome::Unknown(error) => Err(ApplyAnswer::Unknown { detail: error.to_string() }),
    }
}

/// Tells who came first.
async fn lost_race(shared: &Shared, own: &Head) -> ApplyAnswer {
    match read_head(shared).await {
        Ok(Some(read)) => match read.head.accepted(&own.txn) {
            Some(revision) => ApplyAnswer::Accepted { revision },
            None => conflict(&read.head),
        },
        Ok(None) => not_applied(&"the head row changed and is gone"),
        // The conflict itself proves that this change was not applied.
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
