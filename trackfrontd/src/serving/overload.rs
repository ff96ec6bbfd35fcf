//! Refuses new connections of clients while this box has more work than processor time.

use std::sync::Arc;

use tokio::time::sleep;
use trackfront_adapters::http_server::Admit;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::serving::overload::GateChange;

use super::node::ServingNode;

/// Returns what decides whether a new connection is served.
pub fn admit(node: Arc<ServingNode>) -> Admit {
    Arc::new(move || {
        let admitted = node.connection_gate.lock().admit(node.now());
        let kind = if admitted { "taken" } else { "refused" };
        node.metrics.client_connections.get_or_create(&KindLabel { kind }).inc();
        admitted
    })
}

/// Measures how long ready work waits for the processor. Runs as long as the box does.
pub async fn measure_lag(node: Arc<ServingNode>) {
    loop {
        let began = node.now();
        let interval = node.connection_gate.lock().probe_interval(began);
        sleep(interval).await;
        let now = node.now();
        let lag = now.since(began).saturating_sub(interval);
        let change = node.connection_gate.lock().record_lag(lag, now);
        let lag_ms = lag.as_millis() as u64;
        match change {
            None => {}
            Some(GateChange::Bounded(per_s)) => {
                let per_s = per_s as u64;
                log::warn!(lag_ms, per_s; "too much work; new connections are bounded");
            }
            Some(GateChange::Open) => log::info!(lag_ms; "all new connections are taken again"),
        }
    }
}
