//! Limits at a box that has just joined others.
//!
//! Guards against a joining box that coordinates a limit before it knows how many boxes share it. It had no quota to
//! grant, but told its clients and other boxes for up to 10 s that the account had used up its limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::yield_now;
use trackfront_core::accounts::{AccountLimit, LimitUnit};
use trackfront_core::quota::share::{OutgoingRequest, WaitOutcome};
use trackfront_core::quota::{AccountId, BoxId, QuotaRequest, rank_coordinators};
use trackfront_core::units::Moment;
use trackfrontd::limits::refusal;
use trackfrontd::quotas::Quotas;

const LIMIT: AccountLimit =
    AccountLimit { unit: LimitUnit::Tokens { plain: 100 }, per_s: 2_000.0, burst: 1_000.0 };
const UNITS: u32 = 100;
/// The maximum wait for units.
const MAX_WAIT: Duration = Duration::from_secs(2);

fn account() -> AccountId {
    AccountId::of(&"account".into())
}

/// Returns the preferred coordinator of the account's limit, and the next one.
fn boxes() -> (BoxId, BoxId) {
    let ranked = rank_coordinators(account().partition(), [BoxId(1), BoxId(2)].into_iter());
    (ranked[0], ranked[1])
}

fn quotas(own_id: BoxId) -> Arc<Quotas> {
    let quotas = Arc::new(Quotas::new(own_id, 0));
    quotas.set_limits(HashMap::from([(account(), LIMIT)]));
    quotas
}

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(ms))
}

/// Passes the quota requests of one box to the other, and the replies back. Returns the requests.
fn exchange(
    from: &Quotas,
    to: &Quotas,
    (from_id, to_id): (BoxId, BoxId),
    now: Moment,
) -> Vec<OutgoingRequest> {
    let requests = from.poll(now);
    for outgoing in &requests {
        assert_eq!(outgoing.to, to_id);
        if let Some(reply) = to.handle_request(from_id, &outgoing.request, now) {
            from.handle_reply(to_id, &reply, now);
        }
    }
    requests
}

#[tokio::test]
async fn box_that_does_not_know_all_boxes_coordinates_no_limit() {
    let (joining, running) = boxes();
    let (new, old) = (quotas(joining), quotas(running));
    old.set_boxes(&[joining], Some(2));
    new.set_boxes(&[running], None);

    // The other box coordinates the limit meanwhile, and its clients get their units.
    old.poll(at(0));
    let probe = QuotaRequest {
        number: 1,
        partition: account().partition() as u8,
        lends: false,
        unit_requests: vec![],
    };
    assert_eq!(
        new.handle_request(running, &probe, at(0)),
        None,
        "it cannot coordinate a limit yet"
    );
    for time in (0..2_000).step_by(100) {
        exchange(&old, &new, (running, joining), at(time));
        exchange(&new, &old, (joining, running), at(time));
    }
    assert_eq!(new.coordinator(account()), Some(running));
    let taken = {
        let new = new.clone();
        tokio::spawn(async move { new.take(account(), UNITS, at(2_000), MAX_WAIT).await })
    };
    yield_now().await;
    exchange(&new, &old, (joining, running), at(2_000));
    assert_eq!(taken.await.expect("it ends"), WaitOutcome::Granted);

    // It coordinates the limit for both once it knows all boxes.
    new.set_boxes(&[running], Some(2));
    for time in (2_100..9_000).step_by(100) {
        exchange(&old, &new, (running, joining), at(time));
        exchange(&new, &old, (joining, running), at(time));
    }
    assert_eq!(new.coordinator(account()), Some(joining));
    assert_eq!(old.coordinator(account()), Some(joining));
}

/// Guards against callers of the product's own interface that are told that their limit is reached while no box could
/// coordinate it, so that they reduce their load for nothing.
#[tokio::test]
async fn caller_without_coordinator_is_not_told_that_its_limit_is_reached() {
    let caller = "account".into();
    let alone = quotas(BoxId(1));
    alone.set_boxes(&[], None);
    let waiting = tokio::spawn({
        let alone = alone.clone();
        async move { alone.take(account(), UNITS, at(0), MAX_WAIT).await }
    });
    yield_now().await;
    assert_eq!(alone.poll(at(0)), []);
    let error = refusal(waiting.await.expect("it ends"), &caller).expect("it is refused");
    assert_eq!((error.status(), error.kind()), (503, "limit_unavailable"));
    assert!(error.retry_after().is_some());

    let reached = WaitOutcome::LimitReached { retry_after: Duration::from_secs(2) };
    let error = refusal(reached, &caller).expect("it is refused");
    assert_eq!((error.status(), error.kind()), (429, "limit_reached"));
    assert_eq!(refusal(WaitOutcome::Granted, &caller), None);
}
