use trackfront_core::ids::{BackendId, ModelName};
use trackfront_core::serving::load::{
    AttemptOutcome, InFlight, LoadTracker, RankInFlight, ReportedLoad, Work,
};

use super::support::at;

const SLOTS: u32 = 8;

fn work(prompt_tokens: u32, rank: u8) -> Work {
    Work { prompt_tokens, output_tokens: 10, rank }
}

fn share(requests: u32, rank: usize, ms: f64) -> InFlight {
    let mut share = InFlight::default();
    share.by_rank[rank] = RankInFlight { requests, prefill_ms: ms, decode_ms: 0.0 };
    share
}

#[test]
fn reading_counts_until_the_first_event_and_requests_until_the_end() {
    let (mut book, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    let mut counted = book.begin(&id, SLOTS, Some(&model), work(1_000, 1), at(0));
    let reading = book.server(&id).own().by_rank[1].prefill_ms;
    assert!(reading > 10.0, "{reading}");
    book.first_event(&mut counted, at(60));
    assert_eq!(book.server(&id).own().by_rank[1].prefill_ms, 0.0);
    assert_eq!(book.server(&id).own().requests(), 1);
    book.end(counted, AttemptOutcome::Answered, at(100));
    assert_eq!(book.server(&id).own().requests(), 0);
}

#[test]
fn an_urgent_request_waits_for_little_of_what_is_less_urgent() {
    let mut waiting = share(2, 0, 100.0);
    waiting.by_rank[3].prefill_ms = 1_000.0;
    assert_eq!(waiting.prefill_ahead_ms(3), 1_100.0);
    assert_eq!(waiting.prefill_ahead_ms(0), 300.0);
    assert_eq!(waiting.prefill_ahead_ms(200), 1_100.0, "a rank that is out of range is the last");
}

#[test]
fn what_peers_told_counts_for_a_while_and_is_replaced_whole() {
    let (mut book, id) = (LoadTracker::default(), BackendId::from("x"));
    book.apply_peer_report(7, vec![(id.clone(), share(3, 2, 50.0))], at(0));
    book.apply_peer_report(8, vec![(id.clone(), share(1, 0, 10.0))], at(1_000));
    assert_eq!(book.server(&id).total(at(100)).requests(), 4);
    book.apply_peer_report(8, vec![(id.clone(), share(2, 0, 30.0))], at(1_000));
    assert_eq!(book.server(&id).total(at(100)).prefill_ahead_ms(9), 80.0);
    book.forget_old(at(1_600));
    assert_eq!(book.server(&id).total(at(1_600)), share(2, 0, 30.0), "the first is too old");
    book.apply_peer_report(8, Vec::new(), at(1_700));
    assert_eq!(book.server(&id).total(at(1_700)).requests(), 0, "the peer named it no more");
}

#[test]
fn a_servers_own_word_is_corrected_by_what_was_sent_since() {
    let (mut book, id) = (LoadTracker::default(), BackendId::from("x"));
    book.apply_report(&id, ReportedLoad { running: 5, waiting: 2, slots: 8, pace: None }, at(0));
    let _held = book.begin(&id, SLOTS, None, work(0, 0), at(1));
    assert_eq!(book.server(&id).total(at(2)).requests(), 8);
    assert_eq!(book.server(&id).waiting(at(2)), 2);
    assert_eq!(book.server(&id).waiting(at(1_100)), 0, "its word is too old");
}

#[test]
fn the_cost_of_a_token_follows_what_is_measured() {
    let (mut book, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    let before = book.prefill_ms_per_token(&model);
    for round in 0..200 {
        let start = round * 1_000;
        let mut counted = book.begin(&id, SLOTS, Some(&model), work(1_000, 0), at(start));
        // Three times as slow as first believed.
        book.first_event(&mut counted, at(start + 180));
        book.end(counted, AttemptOutcome::Answered, at(start + 200));
    }
    let after = book.prefill_ms_per_token(&model);
    assert!((0.15..0.21).contains(&after), "{before} became {after}");
}

#[test]
fn an_unreachable_server_is_spared_longer_each_time_until_it_answers() {
    let (mut book, id) = (LoadTracker::default(), BackendId::from("x"));
    book.mark_unreachable(&id, at(0));
    assert!(book.server(&id).is_paused(at(200)));
    assert!(!book.server(&id).is_paused(at(300)));
    book.mark_unreachable(&id, at(300));
    assert!(book.server(&id).is_paused(at(700)));
    assert_eq!(book.server(&id).unreachable_since(), Some(at(0)));
    let counted = book.begin(&id, SLOTS, None, work(0, 0), at(900));
    book.end(counted, AttemptOutcome::Answered, at(910));
    assert!(!book.server(&id).is_paused(at(911)));
    assert_eq!(book.server(&id).unreachable_since(), None);
}

#[test]
fn failures_count_less_with_time() {
    let (mut book, id) = (LoadTracker::default(), BackendId::from("x"));
    for _ in 0..20 {
        let counted = book.begin(&id, SLOTS, None, work(0, 0), at(0));
        book.end(counted, AttemptOutcome::Failed, at(0));
    }
    let share = book.server(&id).failure_rate(at(0));
    assert!(share > 0.9, "{share}");
    assert!(book.server(&id).failure_rate(at(10_000)) < share / 10.0);
}

#[test]
fn a_request_that_the_client_left_takes_its_reading_off() {
    let (mut book, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    let counted = book.begin(&id, SLOTS, Some(&model), work(1_000, 1), at(0));
    book.end(counted, AttemptOutcome::Abandoned, at(5));
    assert_eq!(book.server(&id).own(), InFlight::default());
    book.forget(&id);
    assert_eq!(book.own_in_flight().count(), 0);
}

#[test]
fn the_first_call_sets_the_mean_and_the_next_ones_move_it() {
    let (mut book, id) = (LoadTracker::default(), BackendId::from("x"));
    assert_eq!(book.server(&id).mean_call_ms(), 0.0, "nothing is known");
    let first = book.begin(&id, SLOTS, None, work(0, 0), at(0));
    book.end(first, AttemptOutcome::Answered, at(80));
    assert_eq!(book.server(&id).mean_call_ms(), 80.0);
    let second = book.begin(&id, SLOTS, None, work(0, 0), at(100));
    book.end(second, AttemptOutcome::Answered, at(110));
    let mean = book.server(&id).mean_call_ms();
    assert!((60.0..80.0).contains(&mean), "{mean}");
}

#[test]
fn a_model_that_was_not_measured_costs_as_much_as_those_that_were() {
    let (mut book, id) = (LoadTracker::default(), BackendId::from("x"));
    let (known, new) = (ModelName::from("known"), ModelName::from("new"));
    let before = book.prefill_ms_per_token(&new);
    for start in (0..100).map(|number| number * 10) {
        // Each is read much faster than expected.
        let mut counted = book.begin(&id, SLOTS, Some(&known), work(1_000, 1), at(start));
        book.first_event(&mut counted, at(start + 5));
        book.end(counted, AttemptOutcome::Answered, at(start + 6));
    }
    assert!(book.prefill_ms_per_token(&known) < before);
    assert_eq!(book.prefill_ms_per_token(&new), book.prefill_ms_per_token(&known));
}

fn busy(requests: u32, rank: usize, decode_ms: f64) -> InFlight {
    let mut share = InFlight::default();
    share.by_rank[rank] = RankInFlight { requests, prefill_ms: 0.0, decode_ms };
    share
}

#[test]
fn a_slot_is_waited_for_once_all_are_taken() {
    assert_eq!(busy(3, 1, 3_000.0).slot_wait_ms(1, 4), 0.0, "one is free");
    assert_eq!(busy(4, 1, 4_000.0).slot_wait_ms(1, 4), 250.0, "one of four is free each 250 ms");
    assert_eq!(busy(6, 1, 6_000.0).slot_wait_ms(1, 4), 750.0, "two others wait before");
    assert_eq!(busy(6, 1, 6_000.0).slot_wait_ms(0, 4), 0.0, "the less urgent make way");
    assert_eq!(busy(6, 1, 6_000.0).slot_wait_ms(200, 4), 750.0);
}

#[test]
fn the_time_of_an_answer_follows_what_is_measured() {
    let (mut book, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    for round in 0..100 {
        let start = round * 1_000;
        let mut counted = book.begin(&id, SLOTS, Some(&model), work(1_000, 0), at(start));
        book.first_event(&mut counted, at(start + 50));
        // Ten tokens were expected.
        book.end(counted, AttemptOutcome::Answered, at(start + 250));
    }
    assert!((book.decode_ms(&model, 100) - 2_000.0).abs() < 1.0);
    assert_eq!(book.decode_ms(&"other".into(), 100), book.decode_ms(&model, 100));
    let _held = book.begin(&id, SLOTS, Some(&model), work(1_000, 2), at(200_000));
    assert!((book.server(&id).own().by_rank[2].decode_ms - 200.0).abs() < 1.0);
}

#[test]
fn waiting_for_a_slot_is_not_taken_for_slow_reading() {
    let (mut book, id, model) =
        (LoadTracker::default(), BackendId::from("x"), ModelName::from("m"));
    book.apply_peer_report(7, vec![(id.clone(), busy(SLOTS, 1, 1_000.0))], at(0));
    let before = book.prefill_ms_per_token(&model);
    let mut counted = book.begin(&id, SLOTS, Some(&model), work(1_000, 1), at(0));
    assert!(counted.expected_ms() > 100.0 + 1_000.0 / f64::from(SLOTS * SLOTS) - 1.0);
    book.first_event(&mut counted, at(5_000));
    assert_eq!(book.prefill_ms_per_token(&model), before);
}
