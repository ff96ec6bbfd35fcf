//! The calls to an engine: its report and orders.
//!
//! They go over direct connections only: to the engine, a box that carried an order would be a second holder of the lease.

use std::time::Duration;

use tokio::time::timeout;
use trackfront_adapters::upstream::{UpstreamAnswer, UpstreamError};
use trackfront_core::serving::notices::NoticeSource;
use trackfront_core::serving::orders::{EngineOrder, EngineReport, ORDER_TIMEOUT, OrderAnswer};
use trackfront_core::serving::permits::Permit;
use trackfront_core::serving::planner::Proposal;
use trackfront_core::units::Moment;

use super::OrderTask;
use crate::serving::{crashes, notices, permits, reach};

/// The timeout for reading a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum wait for a permit at an engine with a limit.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1_000);

/// The maximum idle time of a pooled connection for a report.
const MAX_REPORT_IDLE: Duration = Duration::from_secs(2);

/// The maximum size of an engine's report.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Allows one call to an engine; it holds a permit if the engine named a limit.
#[derive(Clone, Copy)]
struct CallPermit {
    permit: Option<Permit>,
}

impl OrderTask {
    pub(super) async fn send(&self, proposal: &Proposal, report: &EngineReport) -> OrderAnswer {
        let Some(permit) = self.wait_for_call_permit().await else {
            return OrderAnswer::NotSent;
        };
        let Some(fence) = self.order_fence.usable(self.node.now()) else {
            return OrderAnswer::NotSent;
        };
        let order = EngineOrder {
            operation: proposal.operation,
            item: proposal.item.clone(),
            holder: self.node.settings.load().node.name.clone(),
            fence,
            expected_sequence: report.sequence,
        };
        let server = &self.server.entry;
        // A new connection for each order, so that nothing written earlier can arrive after it.
        let open = || reach::open_direct(&self.node, server);
        let may_order =
            || self.order_fence.usable(self.node.now()) == Some(fence) && self.may_call(permit);
        let build = || may_order().then(|| self.node.ports.servers.order_request(server, &order));
        let sending = self.node.pool.send_over(&server.address, Duration::ZERO, open, build);
        let sent_at = self.node.now();
        match timeout(ORDER_TIMEOUT, sending).await {
            Ok(Ok(answer)) => {
                self.observe_head(&answer, sent_at);
                self.node.ports.servers.read_order_answer(answer.head.status)
            }
            Ok(Err(
                UpstreamError::NotSent(_)
                | UpstreamError::ConnectionRefused(_)
                | UpstreamError::Withheld,
            )) => OrderAnswer::NotSent,
            Ok(Err(UpstreamError::Lost(_) | UpstreamError::NoAnswer(_))) | Err(_) => {
                OrderAnswer::NoAnswer
            }
        }
    }

    /// Returns the limit that the engine named, in requests per second.
    pub(super) fn limit(&self) -> Option<f64> {
        self.node.notices.lock().limit_per_s(self.id())
    }

    /// Waits until the engine may be sent a call that serves no client, which counts against its
    /// limit for clients; `None` if it may not be called now.
    async fn wait_for_call_permit(&self) -> Option<CallPermit> {
        let now = self.node.now();
        if self.node.notices.lock().backoff_until(self.id(), now).is_some() {
            return None;
        }
        let permit = permits::acquire(&self.node, self.id(), MAX_PERMIT_WAIT).await.ok()?;
        if let Some(permit) = permit {
            permits::wait_until_valid(&self.node, permit).await;
        }
        Some(CallPermit { permit })
    }

    /// Returns whether the engine may still be called with `permit`.
    fn may_call(&self, permit: CallPermit) -> bool {
        self.node.notices.lock().admits(self.id(), permit.permit, self.node.now())
    }

    /// Records the notices in an answer to a call that serves no client. A missing limit in such an
    /// answer has no meaning.
    pub(super) fn observe_head(&self, answer: &UpstreamAnswer, sent: Moment) {
        let head = self.node.ports.servers.read_head(&answer.head);
        let source = NoticeSource { sent, is_answer: false };
        notices::observe_head(&self.node, &self.server, &head, source, "an order or report");
    }

    /// Reads the engine's report and keeps it for the next plan.
    pub(super) async fn read_report(&self) -> Option<EngineReport> {
        let permit = self.wait_for_call_permit().await?;
        let server = &self.server.entry;
        let build =
            || self.may_call(permit).then(|| self.node.ports.servers.report_request(server));
        let open = || reach::open_direct(&self.node, server);
        let asked_at = self.node.now();
        let reading = async {
            let pool = &self.node.pool;
            let answer = pool.send_over(&server.address, MAX_REPORT_IDLE, open, build).await?;
            self.observe_head(&answer, asked_at);
            answer.body.read(MAX_REPORT_BYTES).await
        };
        let body = match timeout(REPORT_TIMEOUT, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                log::info!(server:% = server.id, error:% = error; "engine report not read");
                match error {
                    UpstreamError::NotSent(_) if self.node.is_cut_off() => {}
                    UpstreamError::NotSent(_) => {
                        self.node.loads.lock().mark_unreachable(&server.id, self.node.now());
                    }
                    UpstreamError::ConnectionRefused(_) => {
                        crashes::verify_refused(&self.node, server).await
                    }
                    UpstreamError::Lost(_)
                    | UpstreamError::NoAnswer(_)
                    | UpstreamError::Withheld => {}
                }
                return None;
            }
            Err(_) => {
                self.node.pool.forget(&server.address);
                log::info!(server:% = server.id; "engine report timed out");
                return None;
            }
        };
        match self.node.ports.servers.read_report(&body) {
            Ok(report) => {
                let mut tracker = self.tracker.lock();
                let engine_orders = tracker.engines.entry(server.id.clone()).or_default();
                engine_orders.report = Some((report.clone(), asked_at));
                Some(report)
            }
            Err(cause) => {
                log::warn!(server:% = server.id, cause; "invalid engine report");
                None
            }
        }
    }
}
