//! How requests are written on the wire, as traits that a deployment's interface implements.
//!
//! The request pipeline decides; an interface only translates names and formats.

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

/// Headers that concern one connection only, beside those that `Connection` names.
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
    /// Reads what a request says of itself.
    fn read(&self, parts: &request::Parts) -> Result<RequestInfo, Refusal>;

    /// Writes an answer of the node's own.
    fn refuse(&self, refusal: &Refusal, id: Option<&RequestId>) -> Response<Body>;
}

/// One send of a request to a server.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// The server.
    pub server: &'a ServerEntry,
    /// How long the client will still wait; `None` if it did not say.
    pub time_left: Option<Duration>,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// The client account whose request it is.
    pub account: Option<&'a AccountName>,
    /// The last event that the client has, to continue a stream.
    pub after_event: Option<&'a str>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerHead {
    /// The request that it answers, by the server's word.
    pub request: Option<RequestId>,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether the server says that it is another one than expected, or lacks the model.
    pub misdirected: bool,
    /// The run of the server that answered, if it says.
    pub instance: Option<ServerKey>,
    /// Whether the answer bears the mark that makes it count as the server's own.
    pub signed: bool,
    /// The server's load.
    pub load: Option<ReportedLoad>,
    /// How much longer it is cold, if it says so.
    pub cold_for: Option<Duration>,
    /// What it says of itself beside.
    pub notice: Notice,
}

/// The interface to servers.
pub trait ServerInterface: Send + Sync {
    /// Writes a request of a client for a server.
    fn request(
        &self,
        head: &request::Parts,
        body: Bytes,
        attempt: &Attempt<'_>,
    ) -> Request<Full<Bytes>>;

    /// Reads the head of an answer.
    fn read_head(&self, parts: &response::Parts) -> ServerHead;

    /// Writes a question for an engine's report.
    fn report_request(&self, server: &ServerEntry) -> Request<Full<Bytes>>;

    /// Reads an engine's report; the error says what is wrong with it.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// Writes an order.
    fn order_request(&self, server: &ServerEntry, order: &EngineOrder) -> Request<Full<Bytes>>;

    /// Reads the answer to an order.
    fn read_order_answer(&self, status: StatusCode) -> OrderAnswer;
}

/// Copies the headers that are passed on: all but those that concern one connection.
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
