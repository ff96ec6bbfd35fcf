use super::*;
use crate::ports::{EngineError, ReportedItem};

fn order(action: Action) -> Order {
    Order {
        id: "o1".into(),
        fence: Fence(1),
        action,
        item: ItemKey { model: "m".into(), adapter: None, version: "1".into() },
        per_accelerator: Mib(10),
    }
}

fn report(orders: &[&str], state: Option<ReportedState>) -> LoadReport {
    let item = order(Action::Load).item;
    LoadReport {
        incarnation: 1,
        sequence: 1,
        age_ms: 0,
        accelerators: vec![Mib(100)],
        items: state
            .map(|state| ReportedItem { item, state, per_accelerator: Mib(10) })
            .into_iter()
            .collect(),
        running: 0,
        queued: 0,
        queued_prompt_tokens: 0,
        fence: Fence(1),
        recent_orders: orders.iter().map(|id| (*id).into()).collect(),
    }
}

/// Guards against memory that is reused although an unload has not arrived.
#[test]
fn earlier_report_does_not_resolve_an_unload() {
    let mut lifecycle = OrderLifecycle::new(order(Action::Unload)).state_machine();
    lifecycle.handle(&OrderEvent::Sent);
    lifecycle.handle(&OrderEvent::Reported(&report(&[], None)));
    assert_eq!(lifecycle.state(), &OrderState::InDoubt {});
    lifecycle.handle(&OrderEvent::Reported(&report(&["o1"], None)));
    assert_eq!(lifecycle.state(), &OrderState::Ended { result: OrderResult::Done });
}

/// Guards against an order that is given up although the engine carries it out.
#[test]
fn lost_reply_leaves_the_order_in_doubt_until_a_report() {
    let mut lifecycle = OrderLifecycle::new(order(Action::Load)).state_machine();
    lifecycle.handle(&OrderEvent::Sent);
    let lost = OrderReply::Unknown(EngineError::Unavailable("reset".into()));
    lifecycle.handle(&OrderEvent::Replied(&lost));
    assert_eq!(lifecycle.state(), &OrderState::InDoubt {});
    lifecycle.handle(&OrderEvent::Reported(&report(&["o1"], Some(ReportedState::Ready))));
    assert_eq!(lifecycle.state(), &OrderState::Ended { result: OrderResult::Done });
}
