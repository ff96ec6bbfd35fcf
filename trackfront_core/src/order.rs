//! Orders to engines and the life of one order.

// The state machine macro generates items that cannot carry doc comments.
#![allow(missing_docs)]

use serde::{Deserialize, Serialize};
use statig::prelude::*;

use crate::ids::{BackendId, Fence, ItemKey, OrderId};
use crate::ports::{LoadReport, OrderReply, ReportedState};
use crate::units::Mib;

/// What an order asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load the item into memory and answer requests for it.
    Load,
    /// Finish the item's requests and free its memory.
    Unload,
}

impl Action {
    /// Returns the action's name, as it stands in the audit trail.
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
    /// The order's identifier, by which the engine knows a repeat.
    pub id: OrderId,
    /// The fencing token of the shard's owner.
    pub fence: Fence,
    /// What to do.
    pub action: Action,
    /// With what.
    pub item: ItemKey,
    /// The memory that the item takes on each of the engine's accelerators.
    pub per_accelerator: Mib,
}

/// An order as written down in the table before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The engine.
    pub engine: BackendId,
    /// The order.
    pub order: Order,
    /// Why.
    pub cause: String,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine's report shows the order's effect.
    Done,
    /// The engine refused it, so it never took effect.
    Refused(String),
    /// The engine has seen a larger fencing token: this box no longer owns the shard.
    Stale(Fence),
    /// The engine knows the order but the item did not come to its state.
    Failed,
}

/// What happens to an order.
#[derive(Debug)]
pub enum OrderEvent<'a> {
    /// The order is being sent, for the first time or again.
    Sent,
    /// The engine answered.
    Replied(&'a OrderReply),
    /// The engine reported its memory.
    Reported(&'a LoadReport),
}

/// The data that all states of an order share.
#[derive(Debug)]
pub struct OrderLife {
    order: Order,
}

/// One order from its intent to its end.
#[state_machine(
    initial = "OrderState::written()",
    state(name = "OrderState", derive(Debug, Clone, PartialEq, Eq)),
    after_transition = "Self::log_transition"
)]
impl OrderLife {
    /// The intent is in the table; nothing was sent.
    #[state]
    fn written(&mut self, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        match event {
            OrderEvent::Sent => Transition(OrderState::in_doubt()),
            OrderEvent::Reported(report) => self.judge(report),
            OrderEvent::Replied(_) => Super,
        }
    }

    /// Sent, and nobody knows whether it arrived.
    #[state]
    fn in_doubt(&mut self, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        match event {
            OrderEvent::Sent => Handled,
            OrderEvent::Replied(OrderReply::Accepted) => Transition(OrderState::accepted()),
            OrderEvent::Replied(OrderReply::Stale { seen }) => {
                Transition(OrderState::ended(OrderResult::Stale(*seen)))
            }
            // An engine answers a repeat as it answered before, so no earlier send was taken.
            OrderEvent::Replied(OrderReply::Refused { reason }) => {
                Transition(OrderState::ended(OrderResult::Refused(reason.clone())))
            }
            OrderEvent::Replied(_) => Handled,
            OrderEvent::Reported(report) => self.judge(report),
        }
    }

    /// The engine took the order; its effect is still to come.
    #[state]
    fn accepted(&mut self, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        match event {
            OrderEvent::Reported(report) => self.judge(report),
            // An engine that restarted has forgotten the order and gets it again.
            OrderEvent::Sent => Transition(OrderState::in_doubt()),
            OrderEvent::Replied(_) => Handled,
        }
    }

    /// The order is over; nothing changes it any more.
    #[state]
    fn ended(result: &mut OrderResult, event: &OrderEvent<'_>) -> Outcome<OrderState> {
        log::trace!("an ended order ({result:?}) ignores {event:?}");
        Handled
    }
}

impl OrderLife {
    /// Starts the life of an order whose intent was written, now or by a former owner.
    pub fn new(order: Order) -> Self {
        Self { order }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Decides by the engine's own report. Only a report that knows the order counts: an older
    /// one shows the memory as it was before.
    fn judge(&self, report: &LoadReport) -> Outcome<OrderState> {
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

    /// Logs one line for each transition.
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
