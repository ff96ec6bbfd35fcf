//! The log line and the metrics for the end of a request.

use std::sync::Arc;

use tokio::time::Instant;
use trackfront_core::ids::{AccountName, RequestId};
use trackfront_core::serving::config::Route;
use trackfront_core::serving::request::{ModelRef, RequestInfo};

use crate::serving::node::ServingNode;

/// Logs and counts the end of a request, also if the client disconnects and the future is dropped.
pub struct EndLog {
    node: Arc<ServingNode>,
    id: RequestId,
    model: Option<ModelRef>,
    /// The route, once it is known.
    pub route: Option<Arc<Route>>,
    /// The client account, once it is known.
    pub account: Option<AccountName>,
    arrived: Instant,
    ended: bool,
}

impl EndLog {
    /// Creates the record of a request whose head was parsed.
    pub fn new(node: Arc<ServingNode>, info: &RequestInfo, arrived: Instant) -> Self {
        node.metrics.in_flight.inc();
        let (id, model) = (info.id.clone(), info.model.clone());
        Self { node, id, model, route: None, account: None, arrived, ended: false }
    }

    /// Logs and counts the end. Only the first call has an effect.
    pub fn end(&mut self, outcome: &'static str, cause: &str) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.node.metrics.in_flight.dec();
        let kind = self.route.as_ref().map_or("unknown", |route| route.kind.name());
        self.node.metrics.ended(kind, outcome);
        let route = self.route.as_ref().map_or("", |route| route.name.as_str());
        let ms = self.arrived.elapsed().as_millis() as u64;
        let model = self.model.as_ref().map_or_else(String::new, ModelRef::to_string);
        let account = self.account.as_ref().map_or("", AccountName::as_str);
        if !account.is_empty() {
            self.node.metrics.account_ended(account, outcome);
        }
        log::info!(request:% = self.id, route, account, model, outcome, cause, ms; "request ended");
    }
}

impl Drop for EndLog {
    fn drop(&mut self) {
        self.end("client_left", "the client closed its connection");
    }
}
