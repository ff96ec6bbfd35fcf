//! The places of an engine's batch, given out by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// The places of a batch.
#[derive(Clone)]
pub struct Batch {
    state: Arc<Mutex<State>>,
}

struct State {
    free: usize,
    running: usize,
    next: u64,
    /// Who waits: the largest priority first, and the oldest among equals.
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Place>>,
}

/// A place in the batch; it is given on when this is dropped.
pub struct Place {
    batch: Batch,
}

impl Batch {
    /// Makes a batch with `places`.
    pub fn new(places: usize) -> Self {
        let state = State { free: places, running: 0, next: 0, waiting: BTreeMap::new() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a place.
    pub async fn place(&self, priority: u8) -> Place {
        let waits = {
            let mut state = self.state.lock();
            if state.free > 0 {
                state.free -= 1;
                state.running += 1;
                return Place { batch: self.clone() };
            }
            let (give, given) = oneshot::channel();
            let number = state.next;
            state.next += 1;
            state.waiting.insert((Reverse(priority), number), give);
            given
        };
        waits.await.expect("the batch gives every place on")
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.state.lock().running
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.state.lock().waiting.len()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let next = {
            let mut state = self.batch.state.lock();
            match state.waiting.pop_first() {
                Some((_, give)) => Some(give),
                None => {
                    state.free += 1;
                    state.running -= 1;
                    None
                }
            }
        };
        // A request that has stopped waiting drops the place at once, which gives it on.
        if let Some(give) = next {
            let _ = give.send(Place { batch: self.batch.clone() });
        }
    }
}
