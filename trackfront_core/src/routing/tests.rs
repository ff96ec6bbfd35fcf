use super::*;
use crate::engine_load::RequestResult;
use crate::fleet::EngineDigest;

fn digest(engine: &str, item: &ItemKey, running: u32) -> EngineDigest {
    EngineDigest {
        engine: engine.into(),
        incarnation: 1,
        sequence: 1,
        age_ms: 0,
        ready: Some(vec![item.clone()]),
        running,
        queued: 0,
    }
}

fn query(item: &ItemKey, time_left: Duration) -> RouteQuery<'_> {
    RouteQuery {
        item,
        prompt_tokens: 10.0,
        output_tokens: 10.0,
        blocks: &[],
        priority: 5,
        time_left,
        tried: &[],
        now: Moment::default(),
    }
}

fn router(item: &ItemKey) -> Router {
    let fleet = Arc::new(Fleet::default());
    fleet.set_engines(&[("a".into(), "h".into()), ("b".into(), "h".into())]);
    fleet.apply_digest(&digest("a", item, 1), Moment::default());
    fleet.apply_digest(&digest("b", item, 2), Moment::default());
    Router::new(fleet, "h".into(), RouterOptions::default())
}

#[test]
fn least_loaded_engine_is_chosen_and_its_load_is_corrected() {
    let item = ItemKey { model: "m".into(), adapter: None, version: "1".into() };
    let router = router(&item);
    let query = query(&item, Duration::from_secs(1));
    let first = router.choose(&query).expect("an engine");
    assert_eq!(first.entry.id.as_str(), "a");
    first.entry.begin(&first.sent, query.now);
    first.entry.begin(&first.sent, query.now);
    let second = router.choose(&query).expect("an engine");
    assert_eq!(second.entry.id.as_str(), "b");
    let tried = ["a".into(), "b".into()];
    let none = router.choose(&RouteQuery { tried: &tried, ..query });
    assert!(matches!(none, Err(Refusal::NoEngine { .. })));
}

#[test]
fn request_that_cannot_be_answered_in_time_is_refused() {
    let item = ItemKey { model: "m".into(), adapter: None, version: "1".into() };
    let router = router(&item);
    // Ten tokens of 10 ms each exceed this more than the tolerated factor.
    let query = query(&item, Duration::from_millis(40));
    let gap = Duration::from_millis(10);
    for id in ["a", "b"] {
        let entry = router.fleet.engine(&id.into()).expect("it is known");
        let sent = RequestProfile { prompt_tokens: 10.0, output_tokens: 10.0, priority: 5 };
        entry.begin(&sent, query.now);
        let ended = RequestResult { first: Some(gap), gap: Some(gap), ..RequestResult::default() };
        entry.end(&sent, &ended, query.now);
    }
    assert!(matches!(router.choose(&query), Err(Refusal::TooLate { .. })));
    let with_more_time = RouteQuery { time_left: Duration::from_secs(1), ..query };
    assert!(router.choose(&with_more_time).is_ok());
}

/// Guards against requests to an engine that has just asked this box to send none.
#[test]
fn engine_that_asked_for_no_requests_gets_none_until_then() {
    let item = ItemKey { model: "m".into(), adapter: None, version: "1".into() };
    let router = router(&item);
    let query = query(&item, Duration::from_secs(1));
    let refuse = |seconds| {
        let pick = router.choose(&query).expect("an engine");
        pick.entry.begin(&pick.sent, query.now);
        let retry_after = Some(Duration::from_secs(seconds));
        pick.entry.end(
            &pick.sent,
            &RequestResult { retry_after, ..RequestResult::default() },
            query.now,
        );
        pick.entry.id.clone()
    };
    assert_eq!(refuse(3).as_str(), "a");
    assert_eq!(refuse(2).as_str(), "b");
    let refused = router.choose(&query).map(|pick| pick.entry.id.clone());
    assert_eq!(refused, Err(Refusal::NoEngine { retry_after: Duration::from_secs(2) }));
    let later = RouteQuery { now: query.now + Duration::from_secs(2), ..query };
    assert_eq!(router.choose(&later).expect("an engine").entry.id.as_str(), "b");
}
