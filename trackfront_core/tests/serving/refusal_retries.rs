//! Detection of retries after a refusal, and their effect on an overloaded service.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::serving::refusal_retries::RefusalRetries;

use super::support::at;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn client_with_much_shorter_wait_is_a_retry() {
    let mut retries = RefusalRetries::default();
    for number in 0..50 {
        let usual = 3_600 + number * 8;
        assert_eq!(retries.record("r", ms(usual), at(number)), Duration::ZERO);
    }
    let before = retries.record("r", ms(2_500), at(60));
    assert!((ms(1_100)..ms(1_500)).contains(&before), "{before:?}");
    assert_eq!(retries.record("r", ms(3_700), at(61)), Duration::ZERO);
    assert_eq!(retries.record("other", ms(2_500), at(62)), Duration::ZERO, "another route");
}

#[test]
fn no_retries_on_route_with_varying_waits() {
    let mut retries = RefusalRetries::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..500 {
        let waits = ms(rng.random_range(200..10_000));
        let before = retries.record("r", waits, at(number));
        assert!(number < 100 || before == Duration::ZERO, "{number}: {before:?}");
    }
}

#[test]
fn first_requests_of_a_route_are_no_retries() {
    let mut retries = RefusalRetries::default();
    assert_eq!(retries.record("r", ms(4_000), at(0)), Duration::ZERO);
    assert_eq!(retries.record("r", ms(1_000), at(1)), Duration::ZERO);
}

/// The slots of a service, and the mean duration of a call.
const SLOTS: usize = 12;
const CALL_MS: u64 = 60;

/// The latency target, and how long clients wait at first.
const TARGET_MS: u64 = 300;
const CLIENT_WAIT_MS: u64 = 4_000;

#[derive(Clone, Copy)]
struct Client {
    began: u64,
    waits: u64,
    tries: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    without: u32,
}

/// Simulates 30 s of 234 calls a second at a service with a capacity of 200. A refused client retries once, after 0.3 to
/// 1.3 s. `retry_fraction` is the fraction of the target within which retries, which are late already, must be answered.
fn simulate(retry_fraction: f64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut retries = RefusalRetries::default();
    let mut outcome = Outcome::default();
    let mut waiting: VecDeque<Client> = VecDeque::new();
    let mut running: Vec<(u64, Client)> = Vec::new();
    let mut coming: Vec<(u64, Client)> = Vec::new();
    for now in 0..30_000u64 {
        if rng.random_range(0.0..1.0) < 0.234 {
            let waits = CLIENT_WAIT_MS * rng.random_range(88..=100) / 100;
            coming.push((now, Client { began: now, waits, tries: 0 }));
        }
        let due: Vec<Client> =
            coming.extract_if(.., |(when, _)| *when <= now).map(|(_, client)| client).collect();
        for client in due {
            let left = client.waits - (now - client.began);
            let before = retries.record("r", ms(left), at(now));
            let wait_ms = waiting.len() as u64 * CALL_MS / SLOTS as u64 + CALL_MS;
            let left_ms = TARGET_MS.saturating_sub(before.as_millis() as u64);
            let limit_ms = match before.is_zero() {
                true => left_ms,
                false => left_ms.max((TARGET_MS as f64 * retry_fraction) as u64),
            };
            match wait_ms <= limit_ms {
                true => waiting.push_back(client),
                false if client.tries == 0 => {
                    let back = now + rng.random_range(300..1_300);
                    coming.push((back, Client { tries: 1, ..client }));
                }
                false => outcome.without += 1,
            }
        }
        for (_, client) in running.extract_if(.., |(until, _)| *until <= now) {
            match now - client.began <= TARGET_MS {
                true => outcome.in_time += 1,
                false => outcome.late += 1,
            }
        }
        while running.len() < SLOTS {
            let Some(client) = waiting.pop_front() else {
                break;
            };
            running.push((now + rng.random_range(CALL_MS * 7 / 10..CALL_MS * 13 / 10), client));
        }
    }
    outcome
}

#[test]
fn reservation_answers_more_clients_in_time() {
    let (without_reservation, with_reservation) = (simulate(1.0), simulate(0.4));
    let fractions = |outcome: &Outcome| {
        let all = outcome.in_time + outcome.late + outcome.without;
        (f64::from(outcome.in_time) / f64::from(all), f64::from(outcome.without) / f64::from(all))
    };
    println!(
        "without reservation: {without_reservation:?} {:.3?}, with: {with_reservation:?} {:.3?}",
        fractions(&without_reservation),
        fractions(&with_reservation)
    );
    assert!(
        fractions(&with_reservation).0 > fractions(&without_reservation).0 + 0.1,
        "more clients are answered in time"
    );
    assert!(
        fractions(&with_reservation).1 < fractions(&without_reservation).1 + 0.03,
        "hardly more clients get no answer"
    );
}
