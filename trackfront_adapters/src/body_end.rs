//! Whether the end of an answer's body shows that it is complete.

#![deny(clippy::arithmetic_side_effects)]

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::body::{Body, Incoming};

/// What the end of a body says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body states its length or is chunked, so a complete one differs from one that broke off.
    Stated,
    /// The body ends with its connection. A complete one looks like one whose sender has crashed.
    WithConnection,
}

impl BodyEnd {
    /// Returns what the end of a body says that has not been read yet.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        let codings = headers.get_all(TRANSFER_ENCODING).iter();
        let last = codings.filter_map(|value| value.to_str().ok()).next_back();
        let is_chunked = last.is_some_and(|value| {
            let last = value.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        });
        let has_length = last.is_none() && headers.contains_key(CONTENT_LENGTH);
        // Answers that never have a body, such as 204, end at once.
        match is_chunked || has_length || body.is_end_stream() {
            true => BodyEnd::Stated,
            false => BodyEnd::WithConnection,
        }
    }
}
