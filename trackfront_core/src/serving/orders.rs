//! What may be ordered of an engine, and when.
//!
//! Each order names the number of orders that the engine had taken when it reported what it
//! holds. An engine whose number differs refuses. So an order that arrives late, or is carried out
//! seconds after it was sent, can only take effect on exactly the memory it was checked against.

use std::collections::BTreeSet;
use std::time::Duration;

use thiserror::Error;

use crate::ids::{AdapterName, Fence, ModelName};
use crate::serving::config::EngineSpec;
use crate::serving::directory::{Residents, ServerEntry};
use crate::serving::request::ModelRef;
use crate::units::Moment;

/// The loads that may begin at once beyond the steady rate and its overage. The ceiling leaves
/// three.
const PACER_BURST: f64 = 2.0;

/// The part of the overage that is used; the rest covers loads that begin later than ordered.
const OVERAGE_PART: f64 = 0.6;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Brings a model or an adapter in.
    Load,
    /// Takes it out.
    Unload,
}

impl Operation {
    /// Returns the name used in logs.
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
    /// What it does.
    pub operation: Operation,
    /// With what.
    pub item: ModelRef,
    /// Who gives it: one name a machine.
    pub holder: String,
    /// The fencing token of the giver's lease.
    pub fence: Fence,
    /// How many orders the engine has to have taken before.
    pub expected_sequence: u64,
}

/// What an engine said of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is under way.
    Accepted,
    /// It was done already.
    AlreadyDone,
    /// Another is under way, or the number of orders differs.
    Conflict,
    /// A larger fencing token was seen.
    Stale,
    /// The engine at that address is another one, or it refused for another reason.
    Refused(u16),
    /// Nothing was sent.
    NotSent,
    /// No answer came: it may be carried out at any later time while its condition holds.
    NoAnswer,
}

impl OrderAnswer {
    /// Returns the name used in logs.
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

/// What an engine reports of itself, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// How many orders it has taken.
    pub sequence: u64,
    /// What it holds.
    pub models: Residents,
    /// Adapters on their way.
    pub pending: BTreeSet<(ModelName, AdapterName)>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Models that its host memory keeps a copy of.
    pub in_memory: BTreeSet<ModelName>,
    /// Models that its disk keeps a copy of.
    pub on_disk: BTreeSet<ModelName>,
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// When the run that reports started, if it says so.
    pub started: Option<u64>,
}

impl EngineReport {
    /// Returns whether another run than that of `entry` reports: its count of orders began anew.
    pub fn is_of_other_incarnation(&self, entry: &ServerEntry) -> bool {
        self.started.zip(entry.started).is_some_and(|(own, other)| own != other)
    }

    /// Returns whether a load of `model` takes nothing from the weight store.
    pub fn has_local_copy(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// Returns the memory in use, in MB, adapters on their way included.
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

    /// Returns how many adapters there are, those on their way included.
    pub fn adapter_count(&self) -> usize {
        let loaded: usize = self.models.values().map(|resident| resident.adapters.len()).sum();
        loaded + self.pending.len()
    }
}

/// Why an order is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// An order is under way; wait for it.
    #[error("an order is under way; wait for its end")]
    Busy,
    /// It would not fit.
    #[error("there is no room; unload something first")]
    NoRoom,
    /// There is no place for another adapter.
    #[error("all places for adapters are taken; unload one first")]
    NoSlot,
    /// The model of the adapter is not there.
    #[error("the adapter's model is not there; load it first")]
    NoModel,
    /// The configuration does not have it.
    #[error("the configuration does not have it; add it there")]
    NotConfigured,
    /// It is so already.
    #[error("it is so already")]
    NoEffect,
}

/// Checks an order against what the engine reports at the number that the order will name.
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
            let on_its_way = report.pending.contains(&(item.model.clone(), adapter.clone()));
            if resident.adapters.contains(adapter) || on_its_way {
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

/// Spreads loads from the weight store so that their rate stays under its ceiling.
///
/// A new holder of the lease begins without any allowance, so the loads that the one before began
/// count in full.
#[derive(Debug)]
pub struct LoadPacer {
    terms: LoadRateTerms,
    allowance: f64,
    at: Moment,
}

/// How many loads from the weight store may begin within any window: the rate times the window's
/// length times the overage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRateTerms {
    /// The length of a window.
    pub window: Duration,
    /// How many times the rate may be reached within a window, from 1.
    pub overage: f64,
}

impl Default for LoadRateTerms {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 1.0 }
    }
}

impl LoadPacer {
    /// Makes a pacer without allowance.
    pub fn new(terms: LoadRateTerms, now: Moment) -> Self {
        Self { terms, allowance: 0.0, at: now }
    }

    /// Returns how many loads may begin now.
    pub fn available(&mut self, loads_per_s: f64, now: Moment) -> usize {
        let gained = now.since(self.at).as_secs_f64() * loads_per_s;
        let LoadRateTerms { window, overage } = self.terms;
        let over = (overage - 1.0).max(0.0) * loads_per_s * window.as_secs_f64();
        let burst = PACER_BURST + over * OVERAGE_PART;
        self.allowance = (self.allowance + gained).min(burst);
        self.at = now;
        self.allowance.max(0.0) as usize
    }

    /// Returns whether a load may begin now.
    pub fn may_load(&mut self, loads_per_s: f64, now: Moment) -> bool {
        self.available(loads_per_s, now) > 0
    }

    /// Counts a load that may have begun.
    pub fn record_load(&mut self) {
        self.allowance -= 1.0;
    }
}

/// How long an order may go without an answer until it is given up.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
