//! Figures that clients and engines send, and quotients of measured ones.
//!
//! Guards against one figure that ends every box: a panic ends the process, and equal news reaches them all (review/2).

use std::time::Duration;

use proptest::prelude::*;
use trackfront_core::ids::{BackendId, ModelName};
use trackfront_core::serving::load::{AttemptOutcome, LoadTracker, ReportedLoad, Work};
use trackfront_core::units::{
    LONGEST_DURATION, Moment, millis_to_duration, scaled, secs_to_duration,
};

use super::choice::case;
use super::support::{at, entry, info, item};

const SLOTS: u32 = 4;

/// Answers of which no length was expected, as many as make a decayed sum of tokens vanish.
const ANSWERS: u64 = 20_000;

#[test]
fn figures_that_no_duration_holds_saturate() {
    assert_eq!(secs_to_duration(1.5), Duration::from_millis(1_500));
    assert_eq!(millis_to_duration(-1.0), Duration::ZERO);
    assert_eq!(secs_to_duration(f64::NEG_INFINITY), Duration::ZERO);
    for unknown in [f64::NAN, f64::INFINITY, 1e22, f64::MAX] {
        assert_eq!(secs_to_duration(unknown), LONGEST_DURATION);
        let _ = Moment(LONGEST_DURATION) + secs_to_duration(unknown);
        let _ = std::time::Instant::now() + scaled(LONGEST_DURATION, unknown);
    }
}

/// A token seemed to take 1e22 ms after answers with an estimate of no tokens.
#[test]
fn answers_with_an_estimate_of_no_tokens_say_nothing_of_a_token() {
    let (mut loads, server) = (LoadTracker::default(), BackendId::from("x"));
    let (drafts, tags) = (ModelName::from("drafts"), ModelName::from("tags"));
    let mut answer = |model: &ModelName, output_tokens, start: u64| {
        let work = Work { prompt_tokens: 100, output_tokens, rank: 1 };
        let mut tracked = loads.begin(&server, SLOTS, Some(model), work, at(start));
        loads.first_event(&mut tracked, at(start + 10));
        loads.end(tracked, AttemptOutcome::Answered, at(start + 30));
        loads.decode_ms(model, 100)
    };
    let before = answer(&drafts, 10, 0);
    let after = (1..ANSWERS).map(|number| answer(&drafts, 0, number * 100)).last();
    assert_eq!(after, Some(before));
    let unmeasured = (1..ANSWERS).map(|number| answer(&tags, 0, number * 100)).last();
    assert!(unmeasured.is_some_and(|ms| ms > 0.0 && ms < 100_000.0), "{unmeasured:?}");
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    work: Work,
    first_ms: u64,
    whole_ms: u64,
    reported: (u32, u32, Option<u32>),
}

fn figure() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), 0..10_000u32, any::<u32>()]
}

fn time_ms() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), 0..1_000u64, Just(86_400_000), Just(u64::from(u32::MAX))]
}

fn answer() -> impl Strategy<Value = Answer> {
    let work = (figure(), figure(), 0..10u8).prop_map(|(prompt_tokens, output_tokens, rank)| {
        Work { prompt_tokens, output_tokens, rank }
    });
    let reported = (figure(), figure(), proptest::option::of(figure()));
    (work, time_ms(), time_ms(), reported).prop_map(|(work, first_ms, whole_ms, reported)| Answer {
        work,
        first_ms,
        whole_ms,
        reported,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever hints, counts, reports and times come, and however often, a server is chosen or the request refused.
    #[test]
    fn no_figure_of_a_client_or_an_engine_ends_the_process(
        answers in prop::collection::vec(answer(), 1..12),
        repeats in prop_oneof![Just(1u64), Just(2_000)],
        open in 0..12usize,
        (prompt_tokens, output_tokens) in (figure(), figure()),
    ) {
        let mut request = info(Some(item("m", None)), prompt_tokens);
        request.output_tokens = output_tokens;
        let mut case = case(vec![entry("x", &["m"])], request);
        let (server, model) = (BackendId::from("x"), ModelName::from("m"));
        let mut now = 1_000;
        for answer in answers.iter().cycle().take(answers.len() * repeats as usize) {
            let loads = case.loads();
            let mut tracked = loads.begin(&server, SLOTS, Some(&model), answer.work, at(now));
            loads.first_event(&mut tracked, at(now + answer.first_ms));
            let (running, waiting, pace) = answer.reported;
            let reported = ReportedLoad { running, waiting, slots: SLOTS, pace };
            loads.apply_report(&server, reported, at(now + answer.first_ms));
            loads.end(tracked, AttemptOutcome::Answered, at(now + answer.first_ms + answer.whole_ms));
            now += answer.first_ms + answer.whole_ms;
        }
        for answer in answers.iter().cycle().take(open) {
            let _ = case.loads().begin(&server, SLOTS, Some(&model), answer.work, at(now));
        }
        case.set_now(now);
        if let Ok(choice) = case.choose() {
            prop_assert!(choice.estimate <= LONGEST_DURATION);
        }
    }
}
