//! The operators' interface to quarantined requests: lists and releases them.

use http::{Method, Response, StatusCode};
use trackfront_adapters::http_server::{Body, json, response};
use trackfront_adapters::wire::held_off::{HELD_OFF_PATH, HeldOff, LET_GO_PATH};
use trackfront_core::serving::fingerprint::Fingerprint;

use super::release;
use crate::serving::node::ServingNode;

/// Answers an operator's call; returns `None` if the path belongs to another interface.
pub fn answer(node: &ServingNode, method: &Method, path: &str) -> Option<Response<Body>> {
    if path == HELD_OFF_PATH {
        return Some(json(StatusCode::OK, &list(node)));
    }
    let fingerprint = path.strip_prefix(LET_GO_PATH)?;
    if method != Method::POST {
        return Some(refused(StatusCode::METHOD_NOT_ALLOWED, "letting go takes POST"));
    }
    Some(match u64::from_str_radix(fingerprint, 16) {
        Ok(number) if release(node, Fingerprint(number)) => json(StatusCode::OK, &list(node)),
        Ok(_) => refused(StatusCode::NOT_FOUND, "no such request is held off; list them"),
        Err(_) => refused(StatusCode::BAD_REQUEST, "a fingerprint has 16 hexadecimal digits"),
    })
}

fn refused(status: StatusCode, cause: &'static str) -> Response<Body> {
    response(status, "text/plain", cause)
}

fn list(node: &ServingNode) -> Vec<HeldOff> {
    let now = node.now();
    let mut all: Vec<HeldOff> = node
        .crashes
        .all_quarantined()
        .into_iter()
        .map(|(report, since)| HeldOff {
            fingerprint: report.fingerprint.to_string(),
            is_part: report.fingerprint.is_part(),
            servers: report.crashes(),
            held_ms: now.since(since).as_millis() as u64,
            written_down: report.stored,
        })
        .collect();
    all.sort_by(|a, b| a.fingerprint.cmp(&b.fingerprint));
    all
}
