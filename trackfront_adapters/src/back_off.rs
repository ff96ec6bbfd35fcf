//! For how long a server that turns a request away wants no further ones.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

/// The longest time that is believed: whoever wants a longer one can say so again.
const LONGEST: Duration = Duration::from_secs(3_600);

/// Reads for how long a server wants no requests: `Retry-After` in seconds, fractions included, on an answer that it is
/// not available. On one that there were too many requests it is about those of one caller. What cannot be read is logged
/// and says nothing.
pub fn back_off(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    let value = headers.get(RETRY_AFTER).filter(|_| is_unavailable)?;
    let seconds = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let back_off = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if back_off.is_none() {
        log::warn!(value:?; "time to come back not understood");
    }
    back_off.map(|wait| wait.min(LONGEST))
}
