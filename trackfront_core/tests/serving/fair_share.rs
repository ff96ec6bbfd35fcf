//! The shares of client accounts at one engine.

use trackfront_core::serving::fair_share::FairShare;

use super::support::at;

const BURST: u32 = 1;
const STEADY: u32 = 2;

/// One account sends 40 requests of 1,000 tokens in two seconds, the other one of them every 400 ms.
fn after_burst() -> FairShare {
    let mut share = FairShare::default();
    for number in 0..40 {
        share.record(BURST, 1_000, at(number * 50));
        if number % 8 == 0 {
            share.record(STEADY, 1_000, at(number * 50));
        }
    }
    share
}

/// Guards against the callers of other accounts that wait behind a burst.
#[test]
fn account_with_a_burst_is_over_its_share() {
    let share = after_burst();
    assert!(share.is_over_share(BURST, at(2_000)));
    assert!(!share.is_over_share(STEADY, at(2_000)));
}

/// Guards against engines that nobody else needs and that are slow for the only account that uses them.
#[test]
fn account_alone_uses_everything() {
    let mut share = FairShare::default();
    for number in 0..1_000 {
        share.record(BURST, 4_000_000, at(number * 10));
    }
    assert!(!share.is_over_share(BURST, at(10_000)));
}

/// Guards against accounts that send alike, one of them with a longer prompt for once.
#[test]
fn accounts_with_similar_loads_are_within_their_shares() {
    let mut share = FairShare::default();
    for number in 0..100 {
        share.record(number % 4, 1_000, at(u64::from(number) * 20));
    }
    share.record(3, 2_000, at(2_000));
    for account in 0..4 {
        assert!(!share.is_over_share(account, at(2_000)), "account {account}");
    }
}

/// Guards against an account that pays for a burst long after it.
#[test]
fn burst_is_forgotten_within_some_seconds() {
    let mut share = after_burst();
    for second in 3..15 {
        share.record(BURST, 1_000, at(second * 1_000));
        share.record(STEADY, 1_000, at(second * 1_000));
    }
    assert!(!share.is_over_share(BURST, at(15_000)));
}

/// Guards against shares that count accounts which have gone.
#[test]
fn account_that_is_left_alone_is_within_its_share() {
    let mut share = after_burst();
    share.record(BURST, 1_000, at(14_000));
    assert!(!share.is_over_share(BURST, at(14_000)));
}

/// Guards against a burst that is forgotten, and memory that grows, with many accounts of few requests.
#[test]
fn burst_is_known_among_thousands_of_accounts() {
    let mut share = after_burst();
    for account in 0..100_000 {
        share.record(100 + account, 10, at(2_000));
    }
    assert!(share.is_over_share(BURST, at(2_000)));
}
