//! How many requests this node may send once more, as its share of one budget of all nodes.
//!
//! Over any window, all nodes together may send `ratio` times the requests of a service, plus a
//! fixed slack, beyond the first send of each request. A node spends a part of `ratio` times its
//! own requests, and the slack divided by the number of nodes. Nodes that are not known of are
//! covered by the parts that are held back.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids::ServiceName;
use crate::units::Moment;

/// The part of the ratio that nodes spend; the rest covers requests that end a window early.
const RATIO_PART: f64 = 0.8;

/// The part of the slack that nodes spend; the rest covers nodes that are not known of yet.
const SLACK_PART: f64 = 0.6;

/// How many slots a window is counted in.
const SLOTS: u32 = 20;

/// The budget of all nodes, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Sends once more, for each request.
    pub ratio: f64,
    /// Sends once more beside that, for each window.
    pub slack: f64,
    /// The length of a window.
    pub window: Duration,
}

/// What was counted in one slot of the window.
#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The budget of one service at this node.
#[derive(Debug, Default)]
struct ServiceBudget {
    slots: VecDeque<Slot>,
}

impl ServiceBudget {
    fn slot(&mut self, number: u64) -> &mut Slot {
        while self.slots.front().is_some_and(|slot| slot.number + u64::from(SLOTS) < number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot { number, requests: 0, repeats: 0 });
        }
        self.slots.back_mut().expect("it was just put in")
    }

    fn sums(&self) -> (u32, u32) {
        let add = |sums: (u32, u32), slot: &Slot| (sums.0 + slot.requests, sums.1 + slot.repeats);
        self.slots.iter().fold((0, 0), add)
    }
}

/// The budgets of all services at this node.
#[derive(Debug)]
pub struct RetryBudgets {
    terms: BudgetTerms,
    services: HashMap<ServiceName, ServiceBudget>,
}

impl RetryBudgets {
    /// Makes budgets under `terms`.
    pub fn new(terms: BudgetTerms) -> Self {
        assert!(terms.window > Duration::ZERO, "a window has a length");
        Self { terms, services: HashMap::new() }
    }

    /// Takes over new terms.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
    }

    /// Counts a request of a service that a client sent.
    pub fn count(&mut self, service: &ServiceName, now: Moment) {
        let number = self.number(now);
        self.service(service).slot(number).requests += 1;
    }

    /// Takes one send more, if `nodes` nodes that share the budget leave it.
    pub fn try_take(&mut self, service: &ServiceName, nodes: usize, now: Moment) -> bool {
        let number = self.number(now);
        let slack = self.terms.slack * SLACK_PART / nodes.max(1) as f64;
        let ratio = self.terms.ratio * RATIO_PART;
        let budget = self.service(service);
        budget.slot(number);
        let (requests, repeats) = budget.sums();
        let allowed = f64::from(requests) * ratio + slack;
        let granted = f64::from(repeats) + 1.0 <= allowed;
        if granted {
            budget.slot(number).repeats += 1;
        }
        granted
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceBudget {
        self.services.entry(service.clone()).or_default()
    }

    fn number(&self, now: Moment) -> u64 {
        let slot = self.terms.window / SLOTS;
        (now.0.as_nanos() / slot.as_nanos().max(1)) as u64
    }
}
