//! Detects that the machine was suspended, and makes the box fetch again what it missed meanwhile.
//!
//! Timers do not count the time of a suspension, so a call whose timeout should have passed
//! continues for the rest of it, on a connection that the other end may have closed. Calls that
//! wait for others are therefore repeated over new connections: if the store's connections are
//! dead, a box has the newest configuration 0.1 s after it wakes, instead of 3.1 s with timers
//! alone.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::node::ServingNode;
use super::run::count_standstill;

/// The interval at which the clocks are compared: a small part of the second within which a box
/// should serve again after a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest lead of the clock that counts suspensions over the one that does not. Smaller leads
/// occur because the clocks are not read at the same instant.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Counts suspensions of the machine and notifies tasks of them.
#[derive(Debug, Default)]
pub struct Suspensions(watch::Sender<u64>);

impl Suspensions {
    /// Returns a receiver of the suspensions from now on.
    pub fn subscribe(&self) -> Suspension {
        Suspension(self.0.subscribe())
    }

    fn record(&self) {
        self.0.send_modify(|count| *count += 1);
    }
}

/// Notifies one task of suspensions. Those that it has not acknowledged stay pending.
#[derive(Debug)]
pub struct Suspension(watch::Receiver<u64>);

impl Suspension {
    /// Returns whether there was a suspension that is not acknowledged yet.
    pub fn is_pending(&self) -> bool {
        // The sender lives as long as the node.
        self.0.has_changed().unwrap_or(false)
    }

    /// Acknowledges all suspensions so far.
    pub fn acknowledge(&mut self) {
        self.0.borrow_and_update();
    }

    /// Awaits `call`, or cancels it and returns `None` if the machine was suspended.
    pub async fn unless_suspended<T>(&mut self, call: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            outcome = call => Some(outcome),
            _ = self.0.changed() => None,
        }
    }
}

/// Compares the clocks for as long as the node runs.
pub async fn watch(node: Arc<ServingNode>) {
    let (mut last, mut last_awake) = (node.now(), Instant::now());
    loop {
        sleep(CHECK_INTERVAL).await;
        let (now, awake) = (node.now(), Instant::now());
        let suspended = now.since(last).saturating_sub(awake - last_awake);
        if suspended >= MIN_SUSPENSION {
            handle_suspension(&node, suspended);
        }
        (last, last_awake) = (now, awake);
    }
}

fn handle_suspension(node: &ServingNode, suspended: Duration) {
    count_standstill(node, "suspended");
    log::warn!(ms = suspended.as_millis() as u64; "machine was suspended");
    // Servers may have closed idle connections. A request on one of them that may run only once
    // would be lost.
    node.pool.close_idle(Duration::ZERO);
    node.ports.knowledge.forget_connections();
    node.exchange.forget_connections();
    node.suspensions.record();
}
