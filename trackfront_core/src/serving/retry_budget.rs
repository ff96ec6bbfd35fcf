//! The retry budget of this box, a part of one budget for all boxes.
//!
//! Over any window, all boxes together may retry `ratio` times the requests of a service, plus a fixed
//! slack. A box spends a fraction of `ratio` times its own requests, and a fraction of the slack divided
//! by the number of boxes. The reserved fractions cover boxes that this one does not know.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids::ServiceName;
use crate::units::Moment;

/// The fraction of the ratio that boxes spend; the rest covers requests that leave the window before
/// their retries do.
const SPENT_RATIO_FRACTION: f64 = 0.8;

/// The fraction of the slack that boxes spend; the rest covers boxes that are not known yet.
const SPENT_SLACK_FRACTION: f64 = 0.6;

/// The number of slots in which a window is counted.
const SLOTS: u32 = 20;

/// The budget of all boxes, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// The retries for each request.
    pub ratio: f64,
    /// The retries in each window on top of that.
    pub slack: f64,
    /// The length of a window.
    pub window: Duration,
}

/// The counts in one slot of the window.
#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The budget of one service at this box.
#[derive(Debug, Default)]
struct ServiceBudget {
    slots: VecDeque<Slot>,
}

impl ServiceBudget {
    fn slot(&mut self, slot_number: u64) -> &mut Slot {
        while self.slots.front().is_some_and(|slot| slot.number + u64::from(SLOTS) < slot_number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < slot_number) {
            self.slots.push_back(Slot { number: slot_number, requests: 0, retries: 0 });
        }
        self.slots.back_mut().expect("the slot was just pushed")
    }

    fn totals(&self) -> (u32, u32) {
        let add =
            |totals: (u32, u32), slot: &Slot| (totals.0 + slot.requests, totals.1 + slot.retries);
        self.slots.iter().fold((0, 0), add)
    }
}

/// The retry budgets of all services at this box.
#[derive(Debug)]
pub struct RetryBudgets {
    terms: BudgetTerms,
    services: HashMap<ServiceName, ServiceBudget>,
}

impl RetryBudgets {
    /// Creates budgets with `terms`. Panics if the window is empty.
    pub fn new(terms: BudgetTerms) -> Self {
        assert!(terms.window > Duration::ZERO, "a window has a length");
        Self { terms, services: HashMap::new() }
    }

    /// Sets new terms, which apply at once.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
    }

    /// Counts a client's request to a service.
    pub fn count(&mut self, service: &ServiceName, now: Moment) {
        let slot_number = self.slot_number(now);
        self.service(service).slot(slot_number).requests += 1;
    }

    /// Takes one retry from the budget that this many boxes share. Returns whether there was one.
    pub fn try_take(&mut self, service: &ServiceName, boxes: usize, now: Moment) -> bool {
        let slot_number = self.slot_number(now);
        let slack = self.terms.slack * SPENT_SLACK_FRACTION / boxes.max(1) as f64;
        let ratio = self.terms.ratio * SPENT_RATIO_FRACTION;
        let budget = self.service(service);
        budget.slot(slot_number);
        let (requests, retries) = budget.totals();
        let allowed = f64::from(requests) * ratio + slack;
        let is_granted = f64::from(retries) + 1.0 <= allowed;
        if is_granted {
            budget.slot(slot_number).retries += 1;
        }
        is_granted
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceBudget {
        self.services.entry(service.clone()).or_default()
    }

    fn slot_number(&self, now: Moment) -> u64 {
        let slot = self.terms.window / SLOTS;
        (now.0.as_nanos() / slot.as_nanos().max(1)) as u64
    }
}
