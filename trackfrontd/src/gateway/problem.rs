//! Errors as `application/problem+json`.

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use trackfront_adapters::http_server::{self, Body};
use trackfront_core::ids::RequestId;
use trackfront_core::outcome::{Outcome, RequestError};

/// The content type of an error.
const CONTENT_TYPE: &str = "application/problem+json";

/// The body of an error.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: String,
    outcome: Outcome,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns an error's body.
fn body(error: &RequestError, id: &RequestId) -> Vec<u8> {
    let problem = Problem {
        r#type: format!("urn:trackfront:{}", error.kind()),
        title: error.kind(),
        status: error.status(),
        detail: error.to_string(),
        outcome: error.outcome(),
        request_id: id.as_str(),
        retry_after_ms: error.retry_after().map(|time| time.as_millis() as u64),
    };
    serde_json::to_vec(&problem).expect("our own types always encode")
}

/// Returns the response for an error.
pub fn response(error: &RequestError, id: &RequestId) -> Response<Body> {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = http_server::response(status, CONTENT_TYPE, body(error, id));
    if let Some(time) = error.retry_after() {
        let seconds = time.as_millis().div_ceil(1_000) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns the event that ends a stream early, with the reason.
pub fn event(error: &RequestError, id: &RequestId) -> Bytes {
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend_from_slice(&body(error, id));
    event.extend_from_slice(b"\n\n");
    event.into()
}
