//! How long requests wait for an adapter.

use std::time::Duration;

use trackfront_core::serving::adapter_wait::AdapterWait;

use super::support::at;

/// Guards against requests that are refused for good by a time that is too long to wait: no request waits, so none shows that
/// adapters come sooner.
#[test]
fn time_that_nobody_can_wait_fades() {
    let mut wait = AdapterWait::default();
    for round in 0..100 {
        wait.record(Duration::from_secs(5), at(round * 20));
    }
    assert!(wait.longest(at(2_000)) > Duration::from_secs(8));
    let later = wait.longest(at(20_000));
    assert!(later < Duration::from_millis(600), "{later:?}");
    wait.record(Duration::from_millis(150), at(20_000));
    let next = wait.longest(at(20_000));
    assert!(next <= later, "the measurements from before do not come back: {next:?}");
}

#[test]
fn time_follows_measurements() {
    let mut wait = AdapterWait::default();
    assert_eq!(wait.longest(at(0)), Duration::from_millis(300));
    for round in 0..100 {
        wait.record(Duration::from_millis(400), at(round * 100));
    }
    let longest = wait.longest(at(10_000)).as_millis();
    assert!((700..=800).contains(&longest), "{longest}");
}
