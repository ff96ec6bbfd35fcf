//! Choice among engines by what their coordinators say.

use std::time::Duration;

use trackfront_core::serving::choice::{Candidate, Choice};
use trackfront_core::serving::coordinated_choice::{
    EngineLimits, RequestNeeds, choose_coordinated,
};
use trackfront_core::serving::coordinated_load::EngineLoad;

use super::support::{at, entry, known};
use trackfront_core::units::millis_to_duration;

/// The gap target of the streams here.
const GAP_TARGET_MS: u32 = 400;

const LIMITS: EngineLimits = EngineLimits { slots: 8, kv_tokens: 100_000 };

/// Returns an engine that is idle by what the box itself knows.
fn candidate(id: &str, own_prefill_ms: f64) -> Candidate {
    let choice = Choice {
        server: known(vec![entry(id, &["m"])]).remove(0),
        cached_tokens: 0,
        estimate: millis_to_duration(own_prefill_ms),
        waiting: 0,
        requests: 0,
        at: at(0),
    };
    Candidate {
        choice,
        cost_ms: own_prefill_ms,
        fixed_cost_ms: 0.0,
        own_prefill_ms,
        prefill_ms_per_token: 0.1,
        slots: LIMITS.slots,
    }
}

/// Returns the load of an idle engine whose coordinator has counted for long.
fn idle() -> EngineLoad {
    EngineLoad { slowness: 1.0, counted_ms: 60_000, ..EngineLoad::default() }
}

fn reading(prefill_ms: u32) -> EngineLoad {
    EngineLoad { requests: 1, prefill_ms, prefill_ahead_ms: prefill_ms, ..idle() }
}

/// Returns the load of an engine that writes streams and reads prompts.
fn streaming(paced_streams: u32, prefill_ms: u32) -> EngineLoad {
    let load = reading(prefill_ms);
    EngineLoad { requests: paced_streams + 1, paced_streams, min_gap_ms: GAP_TARGET_MS, ..load }
}

/// Returns the needs of a request with a short answer and no target for its gaps.
fn short_answer() -> RequestNeeds {
    RequestNeeds {
        decode_ms: 100.0,
        tokens: 1_000,
        event_gap_target: None,
        bound_pauses: true,
        rank: 0,
    }
}

fn long_answer() -> RequestNeeds {
    let event_gap_target = Some(Duration::from_millis(GAP_TARGET_MS.into()));
    RequestNeeds { decode_ms: 3_000.0, event_gap_target, ..short_answer() }
}

/// Returns the choice among candidates, without whether it has to wait.
fn choice_among(
    candidates: Vec<Candidate>,
    loads: &[Option<EngineLoad>],
    needs: &RequestNeeds,
    limits: EngineLimits,
) -> Choice {
    choose_coordinated(candidates, loads, needs, limits).choice
}

/// Returns the choice among the engines a, b and so on for a prompt of `own_prefill_ms`.
fn choose(own_prefill_ms: f64, needs: &RequestNeeds, loads: &[Option<EngineLoad>]) -> Choice {
    let ids = ["a", "b", "c"].into_iter().take(loads.len());
    let candidates = ids.map(|id| candidate(id, own_prefill_ms)).collect();
    choice_among(candidates, loads, needs, LIMITS)
}

fn chosen(own_prefill_ms: f64, needs: &RequestNeeds, loads: &[Option<EngineLoad>]) -> String {
    choose(own_prefill_ms, needs, loads).server.entry.id.to_string()
}

#[test]
fn engine_with_least_to_read_is_chosen_and_estimate_is_that_of_coordinator() {
    let loads = [Some(reading(300)), Some(reading(50)), Some(reading(120))];
    let choice = choose(100.0, &short_answer(), &loads);
    assert_eq!(choice.server.entry.id, "b".into());
    assert_eq!(choice.requests, 1);
    assert!(choice.estimate >= Duration::from_millis(150), "{:?}", choice.estimate);
}

#[test]
fn prompt_goes_past_streams_that_it_would_make_late() {
    let loads = [Some(streaming(3, 150)), Some(reading(300))];
    assert_eq!(chosen(300.0, &short_answer(), &loads), "b");
    assert_eq!(chosen(60.0, &short_answer(), &loads), "a", "the streams keep their target");
    let unbounded = RequestNeeds { bound_pauses: false, ..short_answer() };
    assert_eq!(chosen(300.0, &unbounded, &loads), "a");
}

#[test]
fn prompt_too_long_for_any_target_makes_fewest_streams_late() {
    let loads = [Some(streaming(3, 0)), Some(streaming(1, 0)), Some(streaming(2, 0))];
    assert_eq!(chosen(900.0, &short_answer(), &loads), "b");
}

#[test]
fn prompt_goes_to_streams_that_are_late_anyway() {
    let loads = [Some(streaming(4, 300)), Some(streaming(4, 500))];
    assert_eq!(chosen(100.0, &short_answer(), &loads), "b");
}

#[test]
fn long_answer_seeks_quiet_engine() {
    // The first would answer sooner, if only because the prompt is cached there.
    let choose_for = |needs: &RequestNeeds| {
        let candidates = vec![candidate("a", 10.0), candidate("b", 250.0)];
        let choice = choice_among(candidates, &[Some(reading(200)), Some(idle())], needs, LIMITS);
        choice.server.entry.id.to_string()
    };
    assert_eq!(choose_for(&long_answer()), "b");
    assert_eq!(choose_for(&short_answer()), "a");
}

/// Prompts keep away from the engine that writes such answers.
#[test]
fn long_answer_joins_others() {
    let loads = [Some(idle()), Some(EngineLoad { requests: 3, ..streaming(3, 0) })];
    assert_eq!(chosen(100.0, &long_answer(), &loads), "b");
    assert_eq!(chosen(100.0, &short_answer(), &loads), "a");
}

#[test]
fn slower_engine_of_a_kind_gets_less() {
    let slow = EngineLoad { slowness: 2.4, ..reading(0) };
    assert_eq!(chosen(100.0, &short_answer(), &[Some(slow), Some(reading(130))]), "b");
    assert_eq!(chosen(100.0, &short_answer(), &[Some(slow), Some(reading(150))]), "a");
}

#[test]
fn engine_with_full_kv_cache_is_avoided() {
    let full = EngineLoad { requests: 5, tokens: 99_500, ..idle() };
    let free = EngineLoad { requests: 5, tokens: 60_000, ..reading(300) };
    assert_eq!(chosen(100.0, &short_answer(), &[Some(full), Some(free)]), "b");
    let unknown = EngineLimits { kv_tokens: 0, ..LIMITS };
    let candidates = vec![candidate("a", 100.0), candidate("b", 100.0)];
    let choice = choice_among(candidates, &[Some(full), Some(free)], &short_answer(), unknown);
    assert_eq!(choice.server.entry.id, "a".into());
}

#[test]
fn engine_without_free_slot_is_avoided() {
    let taken = EngineLoad { requests: LIMITS.slots, ..idle() };
    assert_eq!(chosen(100.0, &long_answer(), &[Some(taken), Some(reading(90))]), "b");
}

/// What its engine runs began before the coordinator did.
#[test]
fn coordinator_that_has_just_started_gives_a_lower_bound() {
    let mut candidates = vec![candidate("a", 100.0), candidate("b", 100.0)];
    candidates[0].cost_ms = 700.0;
    candidates[0].choice.estimate = Duration::from_millis(700);
    let choose_after = |counted_ms| {
        let started = EngineLoad { counted_ms, ..idle() };
        let loads = [Some(started), Some(reading(300))];
        let choice = choice_among(candidates.clone(), &loads, &short_answer(), LIMITS);
        choice.server.entry.id.to_string()
    };
    assert_eq!(choose_after(50), "b");
    assert_eq!(choose_after(60_000), "a");
}

#[test]
fn local_cost_decides_if_no_coordinator_answers() {
    let mut candidates = vec![candidate("a", 100.0), candidate("b", 90.0)];
    for loads in [&[None, None][..], &[]] {
        let choice = choice_among(candidates.clone(), loads, &short_answer(), LIMITS);
        assert_eq!(choice.server.entry.id, "b".into());
        assert_eq!(choice.estimate, Duration::from_millis(90));
    }
    candidates[1].fixed_cost_ms = 20.0;
    candidates[1].cost_ms += 20.0;
    let choice = choice_among(candidates, &[None, None], &short_answer(), LIMITS);
    assert_eq!(choice.server.entry.id, "a".into());
}

#[test]
fn absurd_figures_do_not_win() {
    let huge = EngineLoad {
        requests: u32::MAX,
        prefill_ms: u32::MAX,
        prefill_ahead_ms: u32::MAX,
        tokens: u32::MAX,
        paced_streams: u32::MAX,
        min_gap_ms: u32::MAX,
        ..idle()
    };
    let with = |slowness| EngineLoad { slowness, ..idle() };
    let absurd = [
        huge,
        with(f32::NAN),
        with(f32::INFINITY),
        with(f32::NEG_INFINITY),
        with(-1.0),
        with(0.0),
        with(1e-30),
        EngineLoad { slowness: f32::NAN, ..huge },
    ];
    for load in absurd {
        for needs in [short_answer(), long_answer()] {
            let loads = [Some(load), Some(reading(100))];
            assert_eq!(chosen(100.0, &needs, &loads), "b", "{load:?}");
            assert!(choose(100.0, &needs, &loads[..1]).estimate < Duration::from_secs(86_400));
        }
    }
}

#[test]
fn least_harm_wins_if_all_engines_are_busy() {
    let busy = |paced_streams| EngineLoad {
        requests: LIMITS.slots + 20,
        tokens: 120_000,
        ..streaming(paced_streams, 2_000)
    };
    let loads = [Some(busy(6)), Some(busy(2)), Some(busy(4))];
    assert_eq!(chosen(200.0, &short_answer(), &loads), "b");
    assert_eq!(chosen(200.0, &long_answer(), &loads), "b");
}

/// Returns whether a prompt has to wait beside others that take `unread_ms`, at an engine that writes a stream.
fn must_wait(own_prefill_ms: f64, unread_ms: u32, rank: u8) -> bool {
    let load = EngineLoad { paced_streams: 1, min_gap_ms: GAP_TARGET_MS, ..reading(unread_ms) };
    let candidates = vec![candidate("a", own_prefill_ms)];
    let needs = RequestNeeds { rank, ..short_answer() };
    choose_coordinated(candidates, &[Some(load)], &needs, LIMITS).must_wait
}

/// Load: more prompts come to a model than its engines read. All streams there would pause for as long as the queue is.
#[test]
fn prompt_waits_while_those_at_the_engine_take_longer_than_the_gap_target() {
    assert!(!must_wait(50.0, GAP_TARGET_MS / 2, 0));
    assert!(must_wait(50.0, GAP_TARGET_MS, 0));
}

/// Load: the same, with urgent and less urgent kinds of requests, which would leave no room for the urgent ones.
#[test]
fn less_urgent_prompts_leave_room_for_urgent_ones() {
    let fits = |rank| !must_wait(50.0, GAP_TARGET_MS * 6 / 10, rank);
    assert_eq!([fits(0), fits(1), fits(2), fits(9)], [true, true, false, false]);
    assert!(!must_wait(50.0, GAP_TARGET_MS / 10, 9), "some room is left for all");
}

/// Load: a prompt whose reading alone takes longer than a gap target would never be sent.
#[test]
fn long_prompt_is_sent_to_an_engine_that_reads_nothing_else() {
    assert!(!must_wait(2.0 * f64::from(GAP_TARGET_MS), 0, 9));
}

/// Load: short answers without a target, at engines that write no stream with one.
#[test]
fn prompt_does_not_wait_where_no_target_is_set() {
    let candidates = vec![candidate("a", 50.0)];
    let found = choose_coordinated(candidates, &[Some(reading(5_000))], &short_answer(), LIMITS);
    assert!(!found.must_wait);
}
