use super::*;

#[test]
fn retries_are_a_share_of_requests() {
    let budget = RetryBudget::default();
    let mut granted = 0;
    for _ in 0..10_000 {
        budget.earn();
        granted += u32::from(budget.take());
    }
    assert!(granted <= 10_000 / 10 + MAX_SAVED as u32, "{granted}");
}
