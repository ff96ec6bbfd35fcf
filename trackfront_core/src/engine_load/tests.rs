use super::*;

const REQUEST: RequestProfile =
    RequestProfile { prompt_tokens: 100.0, output_tokens: 10.0, priority: 5 };

fn at(secs: u64) -> Moment {
    Moment(Duration::from_secs(secs))
}

fn fail(load: &mut EngineLoad, now: Moment) {
    load.begin(&REQUEST, now);
    load.end(&REQUEST, &RequestResult { failed: true, ..RequestResult::default() }, now);
}

/// Guards against a failed engine that gets requests, or gets its full load at once when it is back.
#[test]
fn circuit_breaker_opens_probes_and_closes_slowly() {
    let mut load = EngineLoad::default();
    for _ in 0..FAILURES_TO_OPEN {
        assert!(load.accepts_requests(at(0)));
        fail(&mut load, at(0));
    }
    assert!(!load.accepts_requests(at(0)));
    assert!(load.accepts_requests(at(1)));
    load.begin(&REQUEST, at(1));
    assert!(!load.accepts_requests(at(1)), "one probe at a time");
    load.end(&REQUEST, &RequestResult { failed: true, ..RequestResult::default() }, at(1));
    assert!(!load.accepts_requests(at(2)), "the time has doubled");
    load.begin(&REQUEST, at(3));
    let result =
        RequestResult { first: Some(Duration::from_millis(5)), ..RequestResult::default() };
    load.end(&REQUEST, &result, at(3));
    assert!(load.accepts_requests(at(3)));
    assert!(load.slow_start(at(3)) > load.slow_start(at(7)));
    assert_eq!(load.slow_start(at(20)), 1.0);
}

/// Guards against estimates that ignore the queue of an engine.
#[test]
fn full_batch_delays_the_next_request() {
    let mut load = EngineLoad::default();
    let gap = Duration::from_millis(10);
    let result = RequestResult {
        retry_after: None,
        failed: false,
        first: Some(gap * 2),
        gap: Some(gap),
        whole: Some(Duration::from_millis(100)),
    };
    for _ in 0..20 {
        load.begin(&REQUEST, at(0));
        load.end(&REQUEST, &result, at(0));
    }
    let idle = load.estimate(&REQUEST, at(0)).expect("it was measured");
    let digest = EngineDigest {
        engine: "e".into(),
        incarnation: 1,
        sequence: 1,
        age_ms: 0,
        ready: None,
        running: 4,
        queued: 8,
    };
    assert!(load.apply_digest(&digest, at(1)));
    let busy = load.estimate(&REQUEST, at(1)).expect("it was measured");
    assert!(busy.first > idle.first + Duration::from_millis(150), "{idle:?} {busy:?}");
}
