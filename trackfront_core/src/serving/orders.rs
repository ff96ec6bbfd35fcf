//! Orders to engines, and the rules for when they may be given.
//!
//! Each order carries the number of orders that the engine had accepted when it reported its state,
//! and an engine whose number differs refuses the order. So an order that arrives late, or is
//! executed seconds after it was sent, only takes effect on exactly the state it was checked
//! against.

use std::collections::BTreeSet;
use std::time::Duration;

use thiserror::Error;

use crate::ids::{AdapterName, Fence, ModelName};
use crate::serving::config::EngineSpec;
use crate::serving::directory::{Residents, ServerEntry};
use crate::serving::request::ModelRef;
use crate::units::Moment;

/// The loads that may begin at once beyond the steady rate and its overage. The ceiling allows
/// three.
const PACER_BURST_LOADS: f64 = 2.0;

/// The fraction of the overage that is used; the rest covers loads that begin later than ordered.
const USED_OVERAGE_FRACTION: f64 = 0.6;

/// The action of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model or an adapter.
    Unload,
}

impl Operation {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Operation::Load => "load",
            Operation::Unload => "unload",
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The action.
    pub operation: Operation,
    /// The model or adapter to load or unload.
    pub item: ModelRef,
    /// The order lease holder that gives the order, with one name per machine.
    pub holder: String,
    /// The fencing token of the holder's lease.
    pub fence: Fence,
    /// The number of orders that the engine must have accepted before.
    pub expected_sequence: u64,
}

/// The outcome of sending an order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted the order and executes it.
    Accepted,
    /// The order had already been executed.
    AlreadyDone,
    /// Another order is in progress, or the number of orders differs.
    Conflict,
    /// The engine has seen a larger fencing token.
    Stale,
    /// Another engine listens at that address, or the engine refused with this HTTP status.
    Refused(u16),
    /// The order was not sent.
    NotSent,
    /// No answer arrived: the engine may execute the order at any later time while its condition
    /// holds.
    NoAnswer,
}

impl OrderAnswer {
    /// Returns the name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            OrderAnswer::Accepted => "taken",
            OrderAnswer::AlreadyDone => "already_done",
            OrderAnswer::Conflict => "conflict",
            OrderAnswer::Stale => "stale",
            OrderAnswer::Refused(_) => "refused",
            OrderAnswer::NotSent => "not_sent",
            OrderAnswer::NoAnswer => "unknown",
        }
    }
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The number of orders that it has accepted.
    pub sequence: u64,
    /// The models and adapters that are loaded.
    pub models: Residents,
    /// The adapters that are being loaded.
    pub pending: BTreeSet<(ModelName, AdapterName)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The models of which its host memory has a copy.
    pub in_memory: BTreeSet<ModelName>,
    /// The models of which its disk has a copy.
    pub on_disk: BTreeSet<ModelName>,
    /// The number of requests in progress.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The start time of the reporting incarnation, if it reports one.
    pub started: Option<u64>,
}

impl EngineReport {
    /// Returns whether the report is of another incarnation than `entry`, whose count of orders
    /// began anew.
    pub fn is_of_other_incarnation(&self, entry: &ServerEntry) -> bool {
        self.started.zip(entry.started).is_some_and(|(own, other)| own != other)
    }

    /// Returns whether `model` can be loaded without the weight store.
    pub fn has_local_copy(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// Returns the memory in use, in MB, including adapters that are being loaded.
    pub fn used_mb(&self, spec: &EngineSpec) -> f64 {
        let models = self.models.iter().map(|(name, resident)| {
            let Some(model) = spec.models.get(name) else {
                // An unknown size leaves no room for anything.
                return spec.memory_mb;
            };
            model.weight_mb + model.adapter_mb * resident.adapters.len() as f64
        });
        let pending = self.pending.iter().map(|(name, _)| {
            spec.models.get(name).map_or(spec.memory_mb, |model| model.adapter_mb)
        });
        models.sum::<f64>() + pending.sum::<f64>()
    }

    /// Returns the number of adapters, including those that are being loaded.
    pub fn adapter_count(&self) -> usize {
        let loaded: usize = self.models.values().map(|resident| resident.adapters.len()).sum();
        loaded + self.pending.len()
    }
}

/// Why an order may not be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// An order is in progress.
    #[error("an order is under way; wait for its end")]
    Busy,
    /// The item does not fit into the free memory.
    #[error("there is no room; unload something first")]
    NoRoom,
    /// All adapter slots are in use.
    #[error("all places for adapters are taken; unload one first")]
    NoSlot,
    /// The adapter's model is not loaded.
    #[error("the adapter's model is not there; load it first")]
    NoModel,
    /// The configuration does not contain the model.
    #[error("the configuration does not have it; add it there")]
    NotConfigured,
    /// The order would change nothing.
    #[error("it is so already")]
    NoEffect,
}

/// Checks an order against the engine's report at the order count that the order will carry.
///
/// # Errors
///
/// Returns why the order may not be given.
pub fn check_order(
    operation: Operation,
    item: &ModelRef,
    report: &EngineReport,
    spec: &EngineSpec,
) -> Result<(), OrderError> {
    if report.busy {
        return Err(OrderError::Busy);
    }
    match operation {
        Operation::Load => check_load(item, report, spec),
        Operation::Unload => check_unload(item, report),
    }
}

fn check_load(item: &ModelRef, report: &EngineReport, spec: &EngineSpec) -> Result<(), OrderError> {
    let model = spec.models.get(&item.model).ok_or(OrderError::NotConfigured)?;
    let resident = report.models.get(&item.model);
    let needed_mb = match &item.adapter {
        None if resident.is_some() => return Err(OrderError::NoEffect),
        None => model.weight_mb,
        Some(adapter) => {
            let resident = resident.ok_or(OrderError::NoModel)?;
            let is_pending = report.pending.contains(&(item.model.clone(), adapter.clone()));
            if resident.adapters.contains(adapter) || is_pending {
                return Err(OrderError::NoEffect);
            }
            if report.adapter_count() >= spec.adapter_slots as usize {
                return Err(OrderError::NoSlot);
            }
            model.adapter_mb
        }
    };
    match report.used_mb(spec) + needed_mb <= spec.memory_mb {
        true => Ok(()),
        false => Err(OrderError::NoRoom),
    }
}

fn check_unload(item: &ModelRef, report: &EngineReport) -> Result<(), OrderError> {
    let resident = report.models.get(&item.model).ok_or(OrderError::NoEffect)?;
    match &item.adapter {
        Some(adapter) if !resident.adapters.contains(adapter) => Err(OrderError::NoEffect),
        _ => Ok(()),
    }
}

/// Paces loads from the weight store so that their rate stays below its ceiling.
///
/// A new lease holder starts without any allowance, so that the loads begun by the previous holder
/// count in full.
#[derive(Debug)]
pub struct LoadPacer {
    terms: LoadRateTerms,
    allowance: f64,
    updated_at: Moment,
}

/// The ceiling on loads from the weight store that begin within any window: the rate times the
/// window's length times the overage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRateTerms {
    /// The length of the window.
    pub window: Duration,
    /// The factor by which the rate may be exceeded within a window; at least 1.
    pub overage: f64,
}

impl Default for LoadRateTerms {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 1.0 }
    }
}

impl LoadPacer {
    /// Creates a pacer without any allowance.
    pub fn new(terms: LoadRateTerms, now: Moment) -> Self {
        Self { terms, allowance: 0.0, updated_at: now }
    }

    /// Returns the number of loads that may begin now at a rate of `loads_per_s`.
    pub fn available(&mut self, loads_per_s: f64, now: Moment) -> usize {
        let gained = now.since(self.updated_at).as_secs_f64() * loads_per_s;
        let LoadRateTerms { window, overage } = self.terms;
        let over = (overage - 1.0).max(0.0) * loads_per_s * window.as_secs_f64();
        let burst = PACER_BURST_LOADS + over * USED_OVERAGE_FRACTION;
        self.allowance = (self.allowance + gained).min(burst);
        self.updated_at = now;
        self.allowance.max(0.0) as usize
    }

    /// Returns whether a load may begin now.
    pub fn may_load(&mut self, loads_per_s: f64, now: Moment) -> bool {
        self.available(loads_per_s, now) > 0
    }

    /// Records a load that may have begun.
    pub fn record_load(&mut self) {
        self.allowance -= 1.0;
    }
}

/// The time to wait for an answer to an order.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
