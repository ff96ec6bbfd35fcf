use trackfront_core::serving::forecast::Forecast;

#[test]
fn estimates_count_as_exact_before_any_answer() {
    let forecast = Forecast::default();
    assert!(forecast.within(100.0, 200.0) > 0.99);
    assert!(forecast.within(200.0, 100.0) < 0.01);
}

#[test]
fn systematic_delay_is_expected_again() {
    let mut forecast = Forecast::default();
    for _ in 0..2_000 {
        forecast.record(100.0, 200.0);
    }
    assert!(forecast.within(100.0, 120.0) < 0.05);
    assert!(forecast.within(100.0, 300.0) > 0.95);
}

#[test]
fn probability_is_the_fraction_that_was_in_time() {
    let mut forecast = Forecast::default();
    for round in 0..4_000 {
        forecast.record(100.0, if round % 4 == 0 { 600.0 } else { 80.0 });
    }
    let probability = forecast.within(100.0, 200.0);
    assert!((probability - 0.75).abs() < 0.05, "{probability}");
}

#[test]
fn few_milliseconds_on_an_idle_server_are_no_error() {
    let mut forecast = Forecast::default();
    for _ in 0..2_000 {
        forecast.record(1.0, 6.0);
    }
    assert!(forecast.within(100.0, 130.0) > 0.4);
}
