//! Finds out who calls.

use http::HeaderMap;
use trackfront_adapters::key::bearer;
use trackfront_core::ids::AccountName;
use trackfront_core::limits::CallerLimit;
use trackfront_core::outcome::RequestError;

use crate::in_force::{RequestLimits, TreeInForce};
use crate::shared::Shared;

/// Returns the caller whose key the headers show.
pub fn identify(headers: &HeaderMap, tree: &TreeInForce) -> Result<AccountName, RequestError> {
    bearer(headers)
        .and_then(|key| tree.tree.caller_by_key(key))
        .cloned()
        .ok_or(RequestError::UnknownCaller)
}

/// Fails unless `caller` may use what `limits` are for.
pub fn authorize(
    caller: &AccountName,
    limits: &RequestLimits,
    name: &str,
) -> Result<(), RequestError> {
    if limits.allows(caller) {
        return Ok(());
    }
    Err(RequestError::NotAllowed { caller: caller.to_string(), name: name.to_string() })
}

/// Takes a request of so many expected tokens from its caller's limits.
pub fn take_share(
    shared: &Shared,
    tree: &TreeInForce,
    caller: &AccountName,
    tokens: f64,
) -> Result<(), RequestError> {
    let limit = tree.tree.callers.get(caller).map(|caller| caller.limit).unwrap_or_default();
    if limit == CallerLimit::default() {
        return Ok(());
    }
    let now = shared.outside.clock.now();
    let boxes = shared.members.lock().live(now).count() + 1;
    let taken = shared.limits.take(caller, limit, tokens, boxes, now);
    taken.map_err(|retry_after| RequestError::LimitReached {
        caller: caller.to_string(),
        retry_after,
    })
}
