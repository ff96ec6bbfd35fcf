//! The operators' interface to quarantined requests: lists and releases them.

use http::{Method, Response, StatusCode};
use trackfront_adapters::http_server::{Body, json, response};
use trackfront_adapters::wire::held_off::{HELD_OFF_PATH, HeldOff, LET_GO_PATH};
use trackfront_core::serving::fingerprint::Fingerprint;

use super::{ReleaseOutcome, release};
use crate::serving::node::ServingNode;

const ROW_MAY_REMAIN: &str = "it is let go at the boxes, but the platform's table did not remove its row: if all boxes \
                              end before it does, it is held off again; call once more";

/// Answers an operator's call; returns `None` if the path belongs to another interface.
pub async fn answer(node: &ServingNode, method: &Method, path: &str) -> Option<Response<Body>> {
    if path == HELD_OFF_PATH {
        return Some(json(StatusCode::OK, &list(node)));
    }
    let fingerprint = path.strip_prefix(LET_GO_PATH)?;
    if method != Method::POST {
        return Some(refused(StatusCode::METHOD_NOT_ALLOWED, "letting go takes POST"));
    }
    let Ok(number) = u64::from_str_radix(fingerprint, 16) else {
        return Some(refused(StatusCode::BAD_REQUEST, "a fingerprint has 16 hexadecimal digits"));
    };
    Some(match release(node, Fingerprint(number)).await {
        ReleaseOutcome::Released => json(StatusCode::OK, &list(node)),
        ReleaseOutcome::RowMayRemain => refused(StatusCode::SERVICE_UNAVAILABLE, ROW_MAY_REMAIN),
        ReleaseOutcome::NotQuarantined => {
            refused(StatusCode::NOT_FOUND, "no such request is held off; list them")
        }
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
