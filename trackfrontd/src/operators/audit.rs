//! Reads the audit trail from the object store.

use http::{Response, StatusCode};
use trackfront_adapters::audit::{AUDIT_PREFIX, decode};
use trackfront_adapters::http_server::{Body, json};
use trackfront_core::audit::AuditRecord;
use trackfront_core::ports::ObjectError;

use super::error;
use crate::shared::Shared;

/// How many records are answered at most.
const MAX_RECORDS: usize = 10_000;

/// How many names are listed at a time.
const LIST_LIMIT: usize = 500;

/// Answers with the records since the time in the query, oldest first.
pub async fn read(shared: &Shared, query: Option<&str>) -> Response<Body> {
    let since = query.and_then(|query| {
        query.split('&').find_map(|pair| pair.strip_prefix("since_ms=")?.parse::<u64>().ok())
    });
    match records(shared, since.unwrap_or(0)).await {
        Ok(records) => json(StatusCode::OK, &records),
        Err(problem) => error(StatusCode::BAD_GATEWAY, problem.to_string()),
    }
}

async fn records(shared: &Shared, since_ms: u64) -> Result<Vec<AuditRecord>, ObjectError> {
    let objects = shared.outside.objects.as_ref();
    let mut records = Vec::new();
    // An object is named after its first record and may hold some that are younger.
    let mut after = AUDIT_PREFIX.to_string();
    while records.len() < MAX_RECORDS {
        let names = objects.list(AUDIT_PREFIX, &after, LIST_LIMIT).await?;
        let Some(last) = names.last() else {
            break;
        };
        after = last.clone();
        for name in &names {
            let body = objects.get(name).await?.unwrap_or_default();
            records.extend(decode(&body).into_iter().filter(|record| record.at.0 >= since_ms));
        }
    }
    records.sort_by_key(|record| record.at);
    records.truncate(MAX_RECORDS);
    Ok(records)
}
