//! The load of servers as one box tracks it.

use trackfront_core::ids::{BackendId, ModelName};
use trackfront_core::serving::load::{
    AttemptOutcome, InFlight, LoadTracker, RankInFlight, ReportedLoad, Work,
};

use super::support::at;

const SLOTS: u32 = 8;

fn work(prompt_tokens: u32, rank: u8) -> Work {
    Work { prompt_tokens, output_tokens: 10, rank }
}

fn prefilling(requests: u32, rank: usize, ms: f64) -> InFlight {
    let mut in_flight = InFlight::default();
    in_flight.by_rank[rank] = RankInFlight { requests, prefill_ms: ms, decode_ms: 0.0 };
    in_flight
}

#[test]
fn prefill_counts_until_first_event_and_request_until_end() {
    let (mut tracker, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    let mut tracked = tracker.begin(&id, SLOTS, Some(&model), work(1_000, 1), at(0));
    let prefill_ms = tracker.server(&id).own().by_rank[1].prefill_ms;
    assert!(prefill_ms > 10.0, "{prefill_ms}");
    tracker.first_event(&mut tracked, at(60));
    assert_eq!(tracker.server(&id).own().by_rank[1].prefill_ms, 0.0);
    assert_eq!(tracker.server(&id).own().requests(), 1);
    tracker.end(tracked, AttemptOutcome::Answered, at(100));
    assert_eq!(tracker.server(&id).own().requests(), 0);
}

#[test]
fn urgent_request_waits_for_a_fraction_of_less_urgent_prefill() {
    let mut waiting = prefilling(2, 0, 100.0);
    waiting.by_rank[3].prefill_ms = 1_000.0;
    assert_eq!(waiting.prefill_ahead_ms(3), 1_100.0);
    assert_eq!(waiting.prefill_ahead_ms(0), 300.0);
    assert_eq!(waiting.prefill_ahead_ms(200), 1_100.0, "an out-of-range rank is the last one");
}

#[test]
fn peer_report_expires_and_is_replaced_as_a_whole() {
    let (mut tracker, id) = (LoadTracker::default(), BackendId::from("x"));
    tracker.apply_peer_report(7, vec![(id.clone(), prefilling(3, 2, 50.0))], at(0));
    tracker.apply_peer_report(8, vec![(id.clone(), prefilling(1, 0, 10.0))], at(1_000));
    assert_eq!(tracker.server(&id).total(at(100)).requests(), 4);
    tracker.apply_peer_report(8, vec![(id.clone(), prefilling(2, 0, 30.0))], at(1_000));
    assert_eq!(tracker.server(&id).total(at(100)).prefill_ahead_ms(9), 80.0);
    tracker.forget_old(at(1_600));
    assert_eq!(
        tracker.server(&id).total(at(1_600)),
        prefilling(2, 0, 30.0),
        "the first report has expired"
    );
    tracker.apply_peer_report(8, Vec::new(), at(1_700));
    assert_eq!(
        tracker.server(&id).total(at(1_700)).requests(),
        0,
        "the new report lacks the server"
    );
}

#[test]
fn requests_sent_after_server_report_are_added_to_it() {
    let (mut tracker, id) = (LoadTracker::default(), BackendId::from("x"));
    tracker.apply_report(&id, ReportedLoad { running: 5, waiting: 2, slots: 8, pace: None }, at(0));
    let _held = tracker.begin(&id, SLOTS, None, work(0, 0), at(1));
    assert_eq!(tracker.server(&id).total(at(2)).requests(), 8);
    assert_eq!(tracker.server(&id).waiting(at(2)), 2);
    assert_eq!(tracker.server(&id).waiting(at(1_100)), 0, "the report has expired");
}

#[test]
fn prefill_time_per_token_follows_measurements() {
    let (mut tracker, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    let before = tracker.prefill_ms_per_token(&model);
    for round in 0..200 {
        let start = round * 1_000;
        let mut tracked = tracker.begin(&id, SLOTS, Some(&model), work(1_000, 0), at(start));
        // Three times the default.
        tracker.first_event(&mut tracked, at(start + 180));
        tracker.end(tracked, AttemptOutcome::Answered, at(start + 200));
    }
    let after = tracker.prefill_ms_per_token(&model);
    assert!((0.15..0.21).contains(&after), "{before} became {after}");
}

#[test]
fn backoff_of_unreachable_server_doubles_until_it_answers() {
    let (mut tracker, id) = (LoadTracker::default(), BackendId::from("x"));
    tracker.mark_unreachable(&id, at(0));
    assert!(tracker.server(&id).is_paused(at(200)));
    assert!(!tracker.server(&id).is_paused(at(300)));
    tracker.mark_unreachable(&id, at(300));
    assert!(tracker.server(&id).is_paused(at(700)));
    assert_eq!(tracker.server(&id).unreachable_since(), Some(at(0)));
    let tracked = tracker.begin(&id, SLOTS, None, work(0, 0), at(900));
    tracker.end(tracked, AttemptOutcome::Answered, at(910));
    assert!(!tracker.server(&id).is_paused(at(911)));
    assert_eq!(tracker.server(&id).unreachable_since(), None);
}

#[test]
fn failure_rate_decays() {
    let (mut tracker, id) = (LoadTracker::default(), BackendId::from("x"));
    for _ in 0..20 {
        let tracked = tracker.begin(&id, SLOTS, None, work(0, 0), at(0));
        tracker.end(tracked, AttemptOutcome::Failed, at(0));
    }
    let rate = tracker.server(&id).failure_rate(at(0));
    assert!(rate > 0.9, "{rate}");
    assert!(tracker.server(&id).failure_rate(at(10_000)) < rate / 10.0);
}

#[test]
fn abandoned_request_removes_its_prefill() {
    let (mut tracker, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    let tracked = tracker.begin(&id, SLOTS, Some(&model), work(1_000, 1), at(0));
    tracker.end(tracked, AttemptOutcome::Abandoned, at(5));
    assert_eq!(tracker.server(&id).own(), InFlight::default());
    tracker.forget(&id);
    assert_eq!(tracker.own_in_flight().count(), 0);
}

#[test]
fn first_call_sets_mean_and_later_calls_move_it() {
    let (mut tracker, id) = (LoadTracker::default(), BackendId::from("x"));
    assert_eq!(tracker.server(&id).mean_call_ms(), 0.0, "no measurement yet");
    let first = tracker.begin(&id, SLOTS, None, work(0, 0), at(0));
    tracker.end(first, AttemptOutcome::Answered, at(80));
    assert_eq!(tracker.server(&id).mean_call_ms(), 80.0);
    let second = tracker.begin(&id, SLOTS, None, work(0, 0), at(100));
    tracker.end(second, AttemptOutcome::Answered, at(110));
    let mean = tracker.server(&id).mean_call_ms();
    assert!((60.0..80.0).contains(&mean), "{mean}");
}

#[test]
fn unmeasured_model_uses_mean_of_measured_models() {
    let (mut tracker, id) = (LoadTracker::default(), BackendId::from("x"));
    let (known, new) = (ModelName::from("known"), ModelName::from("new"));
    let before = tracker.prefill_ms_per_token(&new);
    for start in (0..100).map(|number| number * 10) {
        // Each prefill takes far less than expected.
        let mut tracked = tracker.begin(&id, SLOTS, Some(&known), work(1_000, 1), at(start));
        tracker.first_event(&mut tracked, at(start + 5));
        tracker.end(tracked, AttemptOutcome::Answered, at(start + 6));
    }
    assert!(tracker.prefill_ms_per_token(&known) < before);
    assert_eq!(tracker.prefill_ms_per_token(&new), tracker.prefill_ms_per_token(&known));
}

fn decoding(requests: u32, rank: usize, decode_ms: f64) -> InFlight {
    let mut in_flight = InFlight::default();
    in_flight.by_rank[rank] = RankInFlight { requests, prefill_ms: 0.0, decode_ms };
    in_flight
}

#[test]
fn slot_wait_starts_when_all_slots_are_taken() {
    assert_eq!(decoding(3, 1, 3_000.0).slot_wait_ms(1, 4), 0.0, "a slot is free");
    assert_eq!(
        decoding(4, 1, 4_000.0).slot_wait_ms(1, 4),
        250.0,
        "one of four becomes free every 250 ms"
    );
    assert_eq!(decoding(6, 1, 6_000.0).slot_wait_ms(1, 4), 750.0, "two others wait ahead");
    assert_eq!(decoding(6, 1, 6_000.0).slot_wait_ms(0, 4), 0.0, "less urgent requests yield");
    assert_eq!(decoding(6, 1, 6_000.0).slot_wait_ms(200, 4), 750.0);
}

#[test]
fn decode_time_follows_measurements() {
    let (mut tracker, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    for round in 0..100 {
        let start = round * 1_000;
        let mut tracked = tracker.begin(&id, SLOTS, Some(&model), work(1_000, 0), at(start));
        tracker.first_event(&mut tracked, at(start + 50));
        // Ten tokens were expected, so this is 20 ms for each.
        tracker.end(tracked, AttemptOutcome::Answered, at(start + 250));
    }
    assert!((tracker.decode_ms(&model, 100) - 2_000.0).abs() < 1.0);
    assert_eq!(tracker.decode_ms(&"other".into(), 100), tracker.decode_ms(&model, 100));
    let _held = tracker.begin(&id, SLOTS, Some(&model), work(1_000, 2), at(200_000));
    assert!((tracker.server(&id).own().by_rank[2].decode_ms - 200.0).abs() < 1.0);
}

#[test]
fn slot_wait_does_not_change_prefill_time() {
    let (mut tracker, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    tracker.apply_peer_report(7, vec![(id.clone(), decoding(SLOTS, 1, 1_000.0))], at(0));
    let before = tracker.prefill_ms_per_token(&model);
    let mut tracked = tracker.begin(&id, SLOTS, Some(&model), work(1_000, 1), at(0));
    assert!(tracked.expected_ms() > 100.0 + 1_000.0 / f64::from(SLOTS * SLOTS) - 1.0);
    tracker.first_event(&mut tracked, at(5_000));
    assert_eq!(tracker.prefill_ms_per_token(&model), before);
}
