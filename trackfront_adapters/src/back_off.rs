//! The time for which a server that refuses a request asks for no further ones.

#![deny(clippy::arithmetic_side_effects)]

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

/// The maximum time that is accepted. A server can ask again afterwards.
const MAX_BACK_OFF: Duration = Duration::from_secs(3_600);

/// Returns the time for which a server asks for no requests: the `Retry-After` header of a 503 answer, in seconds or
/// fractions of them. In a 429 answer it only concerns one caller. An invalid value is logged and ignored.
pub fn back_off(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    let value = headers.get(RETRY_AFTER).filter(|_| is_unavailable)?;
    let seconds = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let back_off = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if back_off.is_none() {
        log::warn!(value:?; "time to come back not understood");
    }
    back_off.map(|wait| wait.min(MAX_BACK_OFF))
}
