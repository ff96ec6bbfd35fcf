use super::*;
use crate::engine_load::Ended;
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
    fleet.observe(&digest("a", item, 1), Moment::default());
    fleet.observe(&digest("b", item, 2), Moment::default());
    Router::new(fleet, "h".into(), RouterOptions::default())
}

#[test]
fn the_least_loaded_engine_is_chosen_and_its_load_is_corrected() {
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
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let item = ItemKey { model: "m".into(), adapter: None, version: "1".into() };
    let router = router(&item);
    // Ten tokens of 10 ms each are far over this, also with the slack.
    let query = query(&item, Duration::from_millis(40));
    let gap = Duration::from_millis(10);
    for id in ["a", "b"] {
        let entry = router.fleet.engine(&id.into()).expect("it is known");
        let sent = Sent { prompt_tokens: 10.0, output_tokens: 10.0, priority: 5 };
        entry.begin(&sent, query.now);
        let ended = Ended { first: Some(gap), gap: Some(gap), ..Ended::default() };
        entry.end(&sent, &ended, query.now);
    }
    assert!(matches!(router.choose(&query), Err(Refusal::TooLate { .. })));
    let patient = RouteQuery { time_left: Duration::from_secs(1), ..query };
    assert!(router.choose(&patient).is_ok());
}

/// Guards against requests to an engine that has just asked this box to stay away.
#[test]
fn an_engine_that_asked_to_stay_away_gets_nothing_until_then() {
    let item = ItemKey { model: "m".into(), adapter: None, version: "1".into() };
    let router = router(&item);
    let query = query(&item, Duration::from_secs(1));
    let back_off = |seconds| {
        let pick = router.choose(&query).expect("an engine");
        pick.entry.begin(&pick.sent, query.now);
        let back_off = Some(Duration::from_secs(seconds));
        pick.entry.end(&pick.sent, &Ended { back_off, ..Ended::default() }, query.now);
        pick.entry.id.clone()
    };
    assert_eq!(back_off(3).as_str(), "a");
    assert_eq!(back_off(2).as_str(), "b");
    let refused = router.choose(&query).map(|pick| pick.entry.id.clone());
    assert_eq!(refused, Err(Refusal::NoEngine { retry_after: Duration::from_secs(2) }));
    let later = RouteQuery { now: query.now + Duration::from_secs(2), ..query };
    assert_eq!(router.choose(&later).expect("an engine").entry.id.as_str(), "b");
}
