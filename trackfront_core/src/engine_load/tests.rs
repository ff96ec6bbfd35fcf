use super::*;

const SENT: Sent = Sent { prompt_tokens: 100.0, output_tokens: 10.0, priority: 5 };

fn at(secs: u64) -> Moment {
    Moment(Duration::from_secs(secs))
}

fn fail(load: &mut EngineLoad, now: Moment) {
    load.begin(&SENT, now);
    load.end(&SENT, &Ended { failed: true, ..Ended::default() }, now);
}

#[test]
fn the_breaker_opens_probes_and_closes_slowly() {
    let mut load = EngineLoad::default();
    for _ in 0..FAILURES_TO_OPEN {
        assert!(load.takes_new_work(at(0)));
        fail(&mut load, at(0));
    }
    assert!(!load.takes_new_work(at(0)));
    assert!(load.takes_new_work(at(1)));
    load.begin(&SENT, at(1));
    assert!(!load.takes_new_work(at(1)), "one probe at a time");
    load.end(&SENT, &Ended { failed: true, ..Ended::default() }, at(1));
    assert!(!load.takes_new_work(at(2)), "the pause has doubled");
    load.begin(&SENT, at(3));
    let ended = Ended { first: Some(Duration::from_millis(5)), ..Ended::default() };
    load.end(&SENT, &ended, at(3));
    assert!(load.takes_new_work(at(3)));
    assert!(load.slow_start(at(3)) > load.slow_start(at(7)));
    assert_eq!(load.slow_start(at(20)), 1.0);
}

#[test]
fn a_full_batch_makes_the_next_request_wait() {
    let mut load = EngineLoad::default();
    let gap = Duration::from_millis(10);
    let ended = Ended {
        back_off: None,
        failed: false,
        first: Some(gap * 2),
        gap: Some(gap),
        whole: Some(Duration::from_millis(100)),
    };
    for _ in 0..20 {
        load.begin(&SENT, at(0));
        load.end(&SENT, &ended, at(0));
    }
    let idle = load.estimate(&SENT, at(0)).expect("it was measured");
    let digest = EngineDigest {
        engine: "e".into(),
        incarnation: 1,
        sequence: 1,
        age_ms: 0,
        ready: None,
        running: 4,
        queued: 8,
    };
    assert!(load.take_in(&digest, at(1)));
    let busy = load.estimate(&SENT, at(1)).expect("it was measured");
    assert!(busy.first > idle.first + Duration::from_millis(150), "{idle:?} {busy:?}");
}
