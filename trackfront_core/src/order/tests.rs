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

#[test]
fn an_old_report_does_not_end_an_unload() {
    let mut life = OrderLife::new(order(Action::Unload)).state_machine();
    life.handle(&OrderEvent::Sent);
    life.handle(&OrderEvent::Reported(&report(&[], None)));
    assert_eq!(life.state(), &OrderState::InDoubt {});
    life.handle(&OrderEvent::Reported(&report(&["o1"], None)));
    assert_eq!(life.state(), &OrderState::Ended { result: OrderResult::Done });
}

#[test]
fn a_lost_reply_leaves_the_order_in_doubt_until_a_report() {
    let mut life = OrderLife::new(order(Action::Load)).state_machine();
    life.handle(&OrderEvent::Sent);
    let lost = OrderReply::Unknown(EngineError::Unavailable("reset".into()));
    life.handle(&OrderEvent::Replied(&lost));
    assert_eq!(life.state(), &OrderState::InDoubt {});
    life.handle(&OrderEvent::Reported(&report(&["o1"], Some(ReportedState::Ready))));
    assert_eq!(life.state(), &OrderState::Ended { result: OrderResult::Done });
}
