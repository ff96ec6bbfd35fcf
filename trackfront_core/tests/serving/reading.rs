use trackfront_core::ids::ModelName;
use trackfront_core::serving::reading::ReadingSpeeds;

/// Notes prompts of several lengths that take 20 ms and then `token_ms` a token.
fn note(speeds: &mut ReadingSpeeds, model: &ModelName, token_ms: f64, rounds: u32) {
    for round in 0..rounds {
        let tokens = 100 + 700 * (round % 5);
        speeds.note(model, tokens, 20.0 + f64::from(tokens) * token_ms);
    }
}

#[test]
fn the_time_of_any_request_is_told_from_that_of_a_token() {
    let (mut speeds, model) = (ReadingSpeeds::default(), ModelName::from("m"));
    note(&mut speeds, &model, 0.025, 300);
    assert!((speeds.start_ms() - 20.0).abs() < 2.0, "{}", speeds.start_ms());
    assert!((speeds.token_ms(&model) - 0.025).abs() < 0.001, "{}", speeds.token_ms(&model));
    assert!((speeds.token_ms(&"new".into()) - 0.025).abs() < 0.001);
}

#[test]
fn a_model_that_is_read_more_slowly_is_known_by_its_own_measurements() {
    let mut speeds = ReadingSpeeds::default();
    let (quick, slow) = (ModelName::from("quick"), ModelName::from("slow"));
    for _ in 0..60 {
        note(&mut speeds, &quick, 0.02, 5);
        note(&mut speeds, &slow, 0.06, 5);
    }
    assert!(speeds.token_ms(&quick) < 0.03, "{}", speeds.token_ms(&quick));
    assert!(speeds.token_ms(&slow) > 0.045, "{}", speeds.token_ms(&slow));
}

#[test]
fn one_measurement_far_off_moves_little() {
    let (mut speeds, model) = (ReadingSpeeds::default(), ModelName::from("m"));
    note(&mut speeds, &model, 0.025, 300);
    let before = speeds.start_ms() + 1_000.0 * speeds.token_ms(&model);
    speeds.note(&model, 1_000, 60_000.0);
    let after = speeds.start_ms() + 1_000.0 * speeds.token_ms(&model);
    assert!(after < before * 1.3, "{before} became {after}");
}

#[test]
fn before_anything_was_measured_a_round_figure_holds() {
    let speeds = ReadingSpeeds::default();
    assert_eq!(speeds.start_ms(), 0.0);
    assert!((speeds.token_ms(&"m".into()) - 0.1).abs() < 1e-9);
}
