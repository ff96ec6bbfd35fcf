use std::time::Duration;

use trackfront_core::serving::retry_budget::{BudgetTerms, RetryBudgets};

use super::support::at;

const TERMS: BudgetTerms = BudgetTerms { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

/// Counts what all of `nodes` nodes may send once more in any window of ten seconds, when each
/// asks without end for a minute and gets a request each `every_ms`.
fn worst_window(nodes: usize, every_ms: u64) -> (f64, f64) {
    let mut budgets: Vec<_> = (0..nodes).map(|_| RetryBudgets::new(TERMS)).collect();
    let service = "s".into();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for ms in (0..60_000u64).step_by(10) {
        for budget in &mut budgets {
            if ms.is_multiple_of(every_ms) {
                budget.count(&service, at(ms));
                requests.push(ms);
            }
            while budget.try_take(&service, nodes, at(ms)) {
                repeats.push(ms);
            }
        }
    }
    let within = |times: &[u64], start| {
        times.iter().filter(|ms| (start..start + 10_000).contains(*ms)).count() as f64
    };
    (0..50_000).step_by(250).fold((0.0, 0.0), |worst: (f64, f64), start| {
        let over = within(&repeats, start) - 0.2 * within(&requests, start);
        if over > worst.0 { (over, within(&repeats, start)) } else { worst }
    })
}

#[test]
fn all_nodes_together_stay_under_the_budget_in_every_window() {
    for (nodes, every_ms) in [(1, 10), (6, 100), (9, 1_000), (91, 400)] {
        let (over, repeats) = worst_window(nodes, every_ms);
        assert!(over <= 52.0, "{nodes} nodes: {repeats} repeats, {over} over the ratio");
    }
}

#[test]
fn a_service_without_requests_spends_no_other_ones_budget() {
    let mut budgets = RetryBudgets::new(BudgetTerms { slack: 0.0, ..TERMS });
    for _ in 0..100 {
        budgets.count(&"busy".into(), at(0));
    }
    assert!(!budgets.try_take(&"idle".into(), 1, at(1)));
    assert!(budgets.try_take(&"busy".into(), 1, at(1)));
}

#[test]
fn new_terms_count_at_once() {
    let mut budgets = RetryBudgets::new(TERMS);
    assert!(budgets.try_take(&"s".into(), 1, at(0)));
    budgets.set_terms(BudgetTerms { ratio: 0.0, slack: 0.0, ..TERMS });
    assert!(!budgets.try_take(&"s".into(), 1, at(1)));
}
