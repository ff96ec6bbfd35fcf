//! Claims of calls that may run once: a row of the table for each key, written before the send.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use trackfront_core::ids::{CallerName, RequestId, ServiceName, TxnId};
use trackfront_core::outcome::RequestError;
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{CommitOutcome, Expect, RowKey, Transaction, Write};

use crate::shared::Shared;

/// How often a claim's write is sent before its fate counts as unknown.
const COMMIT_ATTEMPTS: u32 = 3;

/// When to come back while the table is away.
const TABLE_RETRY: std::time::Duration = std::time::Duration::from_secs(5);

/// A call that may run once.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Who calls.
    pub caller: CallerName,
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The hash of what is asked, in hexadecimal, by which another request is told apart.
    pub asked: String,
    /// The request that claims.
    pub request: RequestId,
}

/// The value of a claim's row.
#[derive(Serialize, Deserialize)]
struct ClaimRow {
    asked: String,
    request: RequestId,
}

impl Claim {
    fn row_key(&self) -> RowKey {
        let key = blake3::hash(self.key.as_bytes()).to_hex();
        RowKey(format!("claim/{}/{}/{key}", self.service, self.caller))
    }

    /// Takes the claim: after `Ok` this request, and no other, may be sent on, once.
    pub async fn take(&self, shared: &Shared) -> Result<(), RequestError> {
        let row = ClaimRow { asked: self.asked.clone(), request: self.request.clone() };
        let value = serde_json::to_vec(&row).expect("our own types always encode");
        let write =
            Write { key: self.row_key(), expect: Expect::Absent, value: Some(Bytes::from(value)) };
        let txn = Transaction { id: TxnId::from(shared.draw_id("txn")), writes: vec![write] };
        let table = shared.outside.table.as_ref();
        match commit_settled(table, &txn, COMMIT_ATTEMPTS).await {
            CommitOutcome::Applied => Ok(()),
            CommitOutcome::Conflict { .. } => Err(self.taken(shared).await),
            CommitOutcome::NotApplied(_) => {
                Err(RequestError::ClaimUnavailable { retry_after: TABLE_RETRY })
            }
            CommitOutcome::Unknown(_) => Err(RequestError::ClaimUnknown),
        }
    }

    /// Tells why the key is taken.
    async fn taken(&self, shared: &Shared) -> RequestError {
        let row = match shared.outside.table.read(&self.row_key()).await {
            Ok(Some(row)) => row,
            _ => return RequestError::KeyTaken,
        };
        match serde_json::from_slice::<ClaimRow>(&row.value) {
            Ok(claim) if claim.asked != self.asked => RequestError::KeyReused,
            _ => RequestError::KeyTaken,
        }
    }
}
