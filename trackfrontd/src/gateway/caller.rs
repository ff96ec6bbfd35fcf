//! Identifies and authorizes callers.

use http::HeaderMap;
use trackfront_adapters::key::bearer;
use trackfront_core::ids::AccountName;
use trackfront_core::outcome::RequestError;

use crate::in_force::{RequestLimits, TreeInForce};

/// Returns the caller with the key in the headers.
pub fn identify(headers: &HeaderMap, tree: &TreeInForce) -> Result<AccountName, RequestError> {
    bearer(headers)
        .and_then(|key| tree.tree.caller_by_key(key))
        .cloned()
        .ok_or(RequestError::UnknownCaller)
}

/// Returns an error unless `limits` give `caller` access to `name`.
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
