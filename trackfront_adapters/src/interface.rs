//! The wire formats of requests, as traits that each deployment's interface implements.
//!
//! The request pipeline makes the decisions. An interface only translates names and formats.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderName};
use http::{HeaderMap, Request, Response, StatusCode, request, response};
use http_body_util::Full;
use trackfront_core::ids::{AccountName, RequestId, ServerKey};
use trackfront_core::serving::directory::ServerEntry;
use trackfront_core::serving::load::ReportedLoad;
use trackfront_core::serving::notices::Notice;
use trackfront_core::serving::orders::{EngineOrder, EngineReport, OrderAnswer};
use trackfront_core::serving::request::{Refusal, RequestInfo};

use crate::http_server::Body;

/// The headers that concern a single connection, in addition to those listed in `Connection`.
pub(crate) const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The interface to clients.
pub trait ClientInterface: Send + Sync {
    /// Decodes the properties of a request.
    fn read(&self, parts: &request::Parts) -> Result<RequestInfo, Refusal>;

    /// Encodes a refusal.
    fn refuse(&self, refusal: &Refusal, id: Option<&RequestId>) -> Response<Body>;
}

/// An attempt to send a request to a server.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// The server.
    pub server: &'a ServerEntry,
    /// The time until the client's deadline; `None` if it has none.
    pub time_left: Option<Duration>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The client account of the request.
    pub account: Option<&'a AccountName>,
    /// The last event that the client received, after which the stream continues.
    pub after_event: Option<&'a str>,
}

/// The decoded head of a server's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerHead {
    /// The request that it answers, as stated by the server.
    pub request: Option<RequestId>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the server is not the expected one or lacks the model.
    pub misdirected: bool,
    /// The instance of the server that answered, if stated.
    pub instance: Option<ServerKey>,
    /// Whether the answer has the server's signature.
    pub signed: bool,
    /// The server's load.
    pub load: Option<ReportedLoad>,
    /// The remaining time for which the server is cold, if stated.
    pub cold_for: Option<Duration>,
    /// The server's other statements about itself.
    pub notice: Notice,
}

/// The interface to servers.
pub trait ServerInterface: Send + Sync {
    /// Encodes a client's request for a server.
    fn request(
        &self,
        head: &request::Parts,
        body: Bytes,
        attempt: &Attempt<'_>,
    ) -> Request<Full<Bytes>>;

    /// Decodes the head of an answer.
    fn read_head(&self, parts: &response::Parts) -> ServerHead;

    /// Encodes a request for an engine's report.
    fn report_request(&self, server: &ServerEntry) -> Request<Full<Bytes>>;

    /// Decodes an engine's report. The error describes what is invalid.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// Encodes an order.
    fn order_request(&self, server: &ServerEntry, order: &EngineOrder) -> Request<Full<Bytes>>;

    /// Decodes the answer to an order.
    fn read_order_answer(&self, status: StatusCode) -> OrderAnswer;
}

/// Returns the end-to-end headers: all except those that concern a single connection.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !CONNECTION_HEADERS.contains(&name.as_str()) && !named.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
