//! Orders to engines, and the lifecycle of one order.

// The state machine macro generates items that cannot carry doc comments.
#![allow(missing_docs)]

use serde::{Deserialize, Serialize};
use statig::prelude::*;

use crate::ids::{BackendId, Fence, ItemKey, OrderId};
use crate::ports::{LoadReport, OrderReply, ReportedState};
use crate::units::Mib;

/// The action of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load the item into memory and serve requests for it.
    Load,
    /// Finish the item's requests and free its memory.
    Unload,
}

impl Action {
    /// Returns the action's name in the audit trail.
    pub fn name(self) -> &'static str {
        match self {
            Action::Load => "load",
            Action::Unload => "unload",
        }
    }
}

/// An order to an engine. Sending the same order twice has the effect of sending it once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The identifier, by which the engine recognizes a resent order.
    pub id: OrderId,
    /// The fencing token of the shard's owner.
    pub fence: Fence,
    /// The action.
    pub action: Action,
    /// The item to load or unload.
    pub item: ItemKey,
    /// The memory of the item on each of the engine's accelerators.
    pub per_accelerator: Mib,
}

/// An order, written to the table before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The engine.
    pub engine: BackendId,
    /// The order.
    pub order: Order,
    /// The cause, for the audit trail.
    pub cause: String,
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine's report shows that the order was carried out.
    Done,
    /// The engine refused the order, which has no effect.
    Refused(String),
    /// The engine has received a larger fencing token, so this box no longer owns the shard.
    Stale(Fence),
    /// The engine received the order, but could not carry it out.
    Failed,
}

/// An event in the lifecycle of an order.
#[derive(Debug)]
pub enum OrderEvent<'a> {
    /// The order is sent or resent.
    Sent,
    /// The engine replied.
    Replied(&'a OrderReply),
    /// The engine reported its memory.
    Reported(&'a LoadReport),
}

/// The state machine of one order, from its intent to its result.
#[derive(Debug)]
pub struct OrderLifecycle {
    order: Order,
}

#[state_machine(
    initial = "OrderState::written()",
    state(name = "OrderState", derive(Debug, Clone, PartialEq, Eq)),
    after_transition = "Self::log_transition"
)]
impl OrderLifecycle {
    /// The intent is in the table, and the order was not sent.
    #[state]
    fn written(&mut self, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        match event {
            OrderEvent::Sent => Transition(OrderState::in_doubt()),
            OrderEvent::Reported(report) => self.resolve(report),
            OrderEvent::Replied(_) => Super,
        }
    }

    /// The order was sent, and it is unknown whether it arrived.
    #[state]
    fn in_doubt(&mut self, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        match event {
            OrderEvent::Sent => Handled,
            OrderEvent::Replied(OrderReply::Accepted) => Transition(OrderState::accepted()),
            OrderEvent::Replied(OrderReply::Stale { seen }) => {
                Transition(OrderState::ended(OrderResult::Stale(*seen)))
            }
            // An engine gives a resent order the same reply, so it refused the earlier ones as well.
            OrderEvent::Replied(OrderReply::Refused { reason }) => {
                Transition(OrderState::ended(OrderResult::Refused(reason.clone())))
            }
            OrderEvent::Replied(_) => Handled,
            OrderEvent::Reported(report) => self.resolve(report),
        }
    }

    /// The engine accepted the order and has not carried it out yet.
    #[state]
    fn accepted(&mut self, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        match event {
            OrderEvent::Reported(report) => self.resolve(report),
            // An engine that restarted no longer has the order, which is resent.
            OrderEvent::Sent => Transition(OrderState::in_doubt()),
            OrderEvent::Replied(_) => Handled,
        }
    }

    /// The order has a final result.
    #[state]
    fn ended(result: &mut OrderResult, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        log::trace!("an ended order ({result:?}) ignores {event:?}");
        Handled
    }
}

impl OrderLifecycle {
    /// Creates the lifecycle of an order whose intent was written by this owner or an earlier one.
    pub fn new(order: Order) -> Self {
        Self { order }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Resolves the order by the engine's report. A report that does not list the order is from
    /// before it, so it does not count.
    fn resolve(&self, report: &LoadReport) -> Outcome<OrderState> {
        if !report.recent_orders.contains(&self.order.id) {
            return Handled;
        }
        let state = report.items.iter().find(|held| held.item == self.order.item).map(|i| i.state);
        match (self.order.action, state) {
            (Action::Load, Some(ReportedState::Ready)) => {
                Transition(OrderState::ended(OrderResult::Done))
            }
            (Action::Unload, None) => Transition(OrderState::ended(OrderResult::Done)),
            (Action::Load, None) => Transition(OrderState::ended(OrderResult::Failed)),
            _ => Handled,
        }
    }

    /// Logs a transition.
    fn log_transition(&mut self, from: &OrderState, to: &OrderState, _: &mut ()) {
        log::debug!(
            "order {} ({} {}): {from:?} -> {to:?}",
            self.order.id,
            self.order.action.name(),
            self.order.item
        );
    }
}

#[cfg(test)]
mod tests;
