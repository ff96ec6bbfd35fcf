//! The bytes that a box holds for all requests together.

use trackfront_core::serving::memory_budget::{ALWAYS_HELD, HeldFor, MemoryBudget};

const LIMIT: usize = 64 * 1024 * 1024;

const MB: usize = 1024 * 1024;

/// Guards against bodies that take all memory while their servers hang (review/3).
#[test]
fn bodies_stay_within_their_part_and_small_ones_are_always_held() {
    let budget = MemoryBudget::new(LIMIT);
    let mut bodies = Vec::new();
    loop {
        let mut body = budget.reserve(HeldFor::Body);
        if !body.try_grow(4 * MB) {
            break;
        }
        bodies.push(body);
    }
    assert_eq!(bodies.len(), 12);
    let mut small = budget.reserve(HeldFor::Body);
    assert!(small.try_grow(ALWAYS_HELD));
    assert!(!small.try_grow(1));
    bodies.pop();
    assert!(small.try_grow(MB));
    assert!(budget.held() <= LIMIT);
}

/// Guards against slow readers that leave no room for others, however many they are.
#[test]
fn many_answers_that_are_not_read_leave_room_for_a_new_one() {
    for count in [1, 10, 100, 1_000] {
        let budget = MemoryBudget::new(LIMIT);
        let mut answers: Vec<_> = (0..count).map(|_| budget.reserve(HeldFor::Answer)).collect();
        for _ in 0..1_000 {
            answers.iter_mut().for_each(|answer| _ = answer.try_grow(32 * 1024));
        }
        assert!(budget.held() <= LIMIT.max(count * ALWAYS_HELD), "{count}: {}", budget.held());
        let mut new = budget.reserve(HeldFor::Answer);
        assert!(new.try_grow(ALWAYS_HELD), "{count} answers");
        assert!(budget.reserve(HeldFor::Body).try_grow(ALWAYS_HELD));
    }
}

#[test]
fn what_is_dropped_is_no_longer_held() {
    let budget = MemoryBudget::new(LIMIT);
    let mut answer = budget.reserve(HeldFor::Answer);
    assert!(answer.try_grow(10_000));
    answer.shrink(4_000);
    assert_eq!((budget.held(), answer.bytes()), (6_000, 6_000));
    answer.shrink(usize::MAX);
    assert_eq!(budget.held(), 0);
    assert!(answer.try_grow(1_000) && !answer.try_grow(usize::MAX));
    drop(answer);
    assert_eq!(budget.held(), 0);
}

#[test]
fn lower_limit_holds_for_what_comes_next() {
    let budget = MemoryBudget::new(LIMIT);
    let mut body = budget.reserve(HeldFor::Body);
    assert!(body.try_grow(4 * MB));
    budget.set_limit(MB);
    assert_eq!(budget.held(), 4 * MB);
    assert!(!budget.reserve(HeldFor::Body).try_grow(MB));
}
