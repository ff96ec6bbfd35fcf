//! Notices that the machine was suspended, and has the box ask anew for what it missed meanwhile.
//!
//! Timers do not count a suspension: a call that should have been over goes on for what is left of its time, on a
//! connection that the other end may have given up. Whatever waits for others is begun anew instead, over new
//! connections: with the store's connections dead a box has the newest configuration 0.1 s after it wakes, where it
//! took 3.1 s by timers alone.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::node::ServingNode;
use super::run::count_standstill;

/// How often both clocks are compared: a small part of the second within which a box that wakes should serve again.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How much longer the clock that counts suspensions has gone on than the steady one for the machine to have been
/// suspended: more than two readings of clocks that are not taken at once differ by.
const SUSPENDED: Duration = Duration::from_millis(200);

/// How often the machine was found to have been suspended.
#[derive(Debug, Default)]
pub struct Suspensions(watch::Sender<u64>);

impl Suspensions {
    /// Returns what tells of each waking from now on.
    pub fn subscribe(&self) -> Suspension {
        Suspension(self.0.subscribe())
    }

    fn note(&self) {
        self.0.send_modify(|count| *count += 1);
    }
}

/// Tells one task of wakings. One that the task has not asked about yet is told as soon as it does.
#[derive(Debug)]
pub struct Suspension(watch::Receiver<u64>);

impl Suspension {
    /// Returns whether the machine woke since this was last told.
    pub fn is_pending(&self) -> bool {
        // The sender lives as long as the box.
        self.0.has_changed().unwrap_or(false)
    }

    /// Takes note of all wakings so far.
    pub fn acknowledge(&mut self) {
        self.0.borrow_and_update();
    }

    /// Awaits `call`; `None` if the machine was suspended, when the call is given up and to be made anew.
    pub async fn unless_suspended<T>(&mut self, call: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            outcome = call => Some(outcome),
            _ = self.0.changed() => None,
        }
    }
}

/// Compares the clocks for as long as the box lives.
pub async fn watch(node: Arc<ServingNode>) {
    let (mut before, mut awake_before) = (node.now(), Instant::now());
    loop {
        sleep(LOOK_EVERY).await;
        let (now, awake) = (node.now(), Instant::now());
        let suspended = now.since(before).saturating_sub(awake - awake_before);
        if suspended >= SUSPENDED {
            woke(&node, suspended);
        }
        (before, awake_before) = (now, awake);
    }
}

fn woke(node: &ServingNode, suspended: Duration) {
    count_standstill(node, "suspended");
    log::warn!(ms = suspended.as_millis() as u64; "machine was suspended");
    // Servers close connections that were unused for so long; a request that may run once would be lost.
    node.pool.close_idle(Duration::ZERO);
    node.ports.knowledge.forget_connections();
    node.exchange.forget_connections();
    node.suspensions.note();
}
