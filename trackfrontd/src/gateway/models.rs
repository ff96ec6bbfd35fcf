//! The list of models and adapters that a caller may use.

use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;
use trackfront_adapters::http_server::{Body, json};
use trackfront_core::outcome::RequestError;

use super::{caller, tree};
use crate::shared::Shared;

/// The list, in the format of client libraries.
#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

/// A model or adapter.
#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<&'a str>,
}

/// Returns the list for a caller.
pub fn list(shared: &Shared, headers: &HeaderMap) -> Result<Response<Body>, RequestError> {
    let tree = tree(shared)?;
    let caller = caller::identify(headers, &tree)?;
    let data = tree
        .targets
        .values()
        .filter(|target| target.limits.allows(&caller))
        .map(|target| ModelEntry {
            id: &target.name,
            object: "model",
            owned_by: &tree.tree.deployment,
            parent: target.item.adapter.as_ref().map(|_| target.item.model.as_str()),
        })
        .collect();
    Ok(json(StatusCode::OK, &ModelList { object: "list", data }))
}
