use std::time::Duration;

use trackfront_core::serving::forecast::Forecast;
use trackfront_core::units::Moment;

const NOW: Moment = Moment(Duration::from_secs(1));

/// Returns the probability by what was just recorded.
fn within(forecast: &Forecast, expected_ms: f64, limit_ms: f64) -> f64 {
    forecast.within(expected_ms, limit_ms, NOW).probability
}

#[test]
fn estimates_count_as_exact_before_any_answer() {
    let forecast = Forecast::default();
    assert!(within(&forecast, 100.0, 200.0) > 0.99);
    assert!(within(&forecast, 200.0, 100.0) < 0.01);
}

#[test]
fn systematic_delay_is_expected_again() {
    let mut forecast = Forecast::default();
    for _ in 0..2_000 {
        forecast.record(100.0, 200.0, 1.0, NOW);
    }
    assert!(within(&forecast, 100.0, 120.0) < 0.05);
    assert!(within(&forecast, 100.0, 300.0) > 0.95);
}

#[test]
fn probability_is_the_fraction_that_was_in_time() {
    let mut forecast = Forecast::default();
    for round in 0..4_000 {
        forecast.record(100.0, if round % 4 == 0 { 600.0 } else { 80.0 }, 1.0, NOW);
    }
    let probability = within(&forecast, 100.0, 200.0);
    assert!((probability - 0.75).abs() < 0.05, "{probability}");
}

#[test]
fn few_milliseconds_on_an_idle_server_are_no_error() {
    let mut forecast = Forecast::default();
    for _ in 0..2_000 {
        forecast.record(1.0, 6.0, 1.0, NOW);
    }
    assert!(within(&forecast, 100.0, 130.0) > 0.4);
}
