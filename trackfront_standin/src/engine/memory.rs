//! An engine's memory, and the store that weights are loaded from.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, Semaphore};
use tokio::time::Instant;
use trackfront_core::ids::ItemKey;
use trackfront_core::order::{Action, Order};
use trackfront_core::ports::{ReportedItem, ReportedState};
use trackfront_core::units::{Mib, secs_to_duration};

/// How long an unload takes.
pub const UNLOAD_TIME: Duration = Duration::from_millis(20);

/// The weight store that all engines of a deployment load from.
#[derive(Clone)]
pub struct WeightStore {
    slots: Arc<Semaphore>,
    next_start: Arc<Mutex<Instant>>,
    start_gap: Duration,
    ms_per_gib: u64,
}

impl WeightStore {
    /// Makes a store that starts `loads_per_second` loads, has `slots` at once at full speed,
    /// and takes `ms_per_gib` milliseconds for a GiB.
    pub fn new(loads_per_second: f64, slots: usize, ms_per_gib: u64) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots)),
            next_start: Arc::new(Mutex::new(Instant::now())),
            start_gap: secs_to_duration(1.0 / loads_per_second),
            ms_per_gib,
        }
    }

    /// Loads `size` of weights, in its turn.
    pub async fn load(&self, size: Mib) {
        let _slot = self.slots.acquire().await;
        let start = {
            let mut next = self.next_start.lock().await;
            let start = (*next).max(Instant::now());
            *next = start + self.start_gap;
            start
        };
        tokio::time::sleep_until(start).await;
        tokio::time::sleep(Duration::from_millis(size.0 * self.ms_per_gib / 1024)).await;
    }
}

/// What an order does to the memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// The item starts to load.
    Loading,
    /// The item starts to go.
    Unloading,
    /// The item is in that state already.
    None,
    /// There is not enough memory.
    Overcommit {
        /// What is missing.
        reason: String,
    },
    /// The order makes no sense here.
    Refused {
        /// Why.
        reason: String,
    },
}

/// What an engine has in memory.
#[derive(Debug)]
pub struct Memory {
    accelerators: Vec<Mib>,
    items: BTreeMap<ItemKey, (ReportedState, Mib)>,
}

impl Memory {
    /// Makes an empty memory.
    pub fn new(accelerators: Vec<Mib>) -> Self {
        Self { accelerators, items: BTreeMap::new() }
    }

    /// Returns whether requests for `item` are answered.
    pub fn is_ready(&self, item: &ItemKey) -> bool {
        matches!(self.items.get(item), Some((ReportedState::Ready, _)))
    }

    /// Returns whether any version of `item` is ready.
    pub fn answers_for(&self, item: &ItemKey) -> bool {
        self.items.iter().any(|(held, (state, _))| {
            held.model == item.model
                && held.adapter == item.adapter
                && *state == ReportedState::Ready
        })
    }

    /// Starts what `order` asks for.
    pub fn apply(&mut self, order: &Order) -> OrderEffect {
        match order.action {
            Action::Load => self.start_load(order),
            Action::Unload => self.start_unload(&order.item),
        }
    }

    fn start_load(&mut self, order: &Order) -> OrderEffect {
        if self.items.contains_key(&order.item) {
            return OrderEffect::None;
        }
        let used: Mib = self.items.values().map(|(_, size)| *size).sum();
        let size = self.accelerators.iter().copied().min().unwrap_or_default();
        if used + order.per_accelerator > size {
            let reason = format!("{used} in use of {size}, {} wanted", order.per_accelerator);
            return OrderEffect::Overcommit { reason };
        }
        let base = ItemKey { adapter: None, ..order.item.clone() };
        let has_model = self.items.keys().any(|item| item.model == base.model && item.is_model());
        if !order.item.is_model() && !has_model {
            return OrderEffect::Refused { reason: format!("{} has no model here", order.item) };
        }
        self.items.insert(order.item.clone(), (ReportedState::Loading, order.per_accelerator));
        OrderEffect::Loading
    }

    fn start_unload(&mut self, item: &ItemKey) -> OrderEffect {
        match self.items.get_mut(item) {
            Some((state, _)) if *state != ReportedState::Unloading => {
                *state = ReportedState::Unloading;
                OrderEffect::Unloading
            }
            _ => OrderEffect::None,
        }
    }

    /// Notes that a load has come to its end.
    pub fn loaded(&mut self, item: &ItemKey) {
        if let Some((state, _)) = self.items.get_mut(item)
            && *state == ReportedState::Loading
        {
            *state = ReportedState::Ready;
        }
    }

    /// Notes that an item is gone.
    pub fn unloaded(&mut self, item: &ItemKey) {
        self.items.remove(item);
    }

    /// Returns the items as a report shows them.
    pub fn reported(&self) -> Vec<ReportedItem> {
        self.items
            .iter()
            .map(|(item, (state, size))| ReportedItem {
                item: item.clone(),
                state: *state,
                per_accelerator: *size,
            })
            .collect()
    }
}
