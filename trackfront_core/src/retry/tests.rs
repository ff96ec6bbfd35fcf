use super::*;

/// Guards against retries that multiply the load when every request fails.
#[test]
fn retries_are_limited_to_a_fraction_of_requests() {
    let budget = RetryBudget::default();
    let mut granted = 0;
    for _ in 0..10_000 {
        budget.count_request();
        granted += u32::from(budget.try_take());
    }
    assert!(granted <= 10_000 / 10 + MAX_AVAILABLE as u32, "{granted}");
}
