//! A client of a plain service's server over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use trackfront_core::ids::RequestId;
use trackfront_core::ports::plain::http_parts::Header;
use trackfront_core::ports::{PlainCall, PlainError, PlainReply, PlainService};

use crate::body_end::BodyEnd;
use crate::http_client::{HttpClient, HttpError, request, with_body};
use crate::interface::CONNECTION_HEADERS;
use crate::wire::engine::REQUEST_ID_HEADER;

/// The timeout of a call. The deadline of its caller is usually shorter.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The headers that are not forwarded, in addition to those that concern a single connection.
const OWN_HEADERS: [&str; 3] = ["host", "authorization", "content-length"];

/// A client of the plain server at an address.
#[derive(Clone, Debug)]
pub struct HttpPlainService {
    client: HttpClient,
    address: String,
}

impl HttpPlainService {
    /// Creates a client of the server at `address`.
    pub fn new(client: HttpClient, address: impl Into<String>) -> Self {
        Self { client, address: address.into() }
    }
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(&self, call: PlainCall) -> Result<PlainReply, PlainError> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| PlainError::Unreachable(error.to_string()))?;
        let mut builder = request(method, &self.address, &call.path_and_query)
            .header(REQUEST_ID_HEADER, call.id.as_str());
        for header in &call.headers {
            builder = builder.header(&header.name, header.value.as_slice());
        }
        let request = with_body(builder, call.body).map_err(plain_error)?;
        let answer = self.client.fetch(request, CALL_TIMEOUT).await.map_err(plain_error)?;
        let request = answer.headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
        Ok(PlainReply {
            request: request.map(RequestId::from),
            status: answer.status.as_u16(),
            headers: forwarded_headers(&answer.headers),
            body: answer.body,
            is_end_stated: answer.end == BodyEnd::Stated,
        })
    }
}

/// Returns the headers that are forwarded.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_not_forwarded(name))
        .map(|(name, value): (&HeaderName, &HeaderValue)| Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn is_not_forwarded(name: &HeaderName) -> bool {
    let name = name.as_str();
    name == REQUEST_ID_HEADER || OWN_HEADERS.contains(&name) || CONNECTION_HEADERS.contains(&name)
}

fn plain_error(error: HttpError) -> PlainError {
    match error {
        HttpError::NotSent(detail) => PlainError::Unreachable(detail),
        HttpError::Lost(detail) => PlainError::Broke(detail),
    }
}
