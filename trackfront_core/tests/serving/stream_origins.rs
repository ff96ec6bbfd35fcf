use std::collections::BTreeSet;
use std::time::Duration;

use trackfront_core::ids::{RequestId, ServiceName, SoftwareVersion};
use trackfront_core::serving::stream_origins::{
    AgedOrigin, Lookup, RelayedStreams, STREAM_TTL, SoftwareHistory, SoftwareId, SoftwareInUse,
    StreamEvidence, StreamId, StreamOrigin, StreamOrigins, StreamSoftware, UnknownCause,
};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::support::at;

fn software(version: &str) -> SoftwareId {
    SoftwareId::of(&SoftwareVersion::from(version))
}

fn origin(attempt: u64, version: &str) -> StreamOrigin {
    let attempt = RequestId::from(format!("{attempt:x}").as_str());
    StreamOrigin { stream: StreamId::of(&attempt), software: software(version) }
}

fn after(time: Duration) -> Moment {
    at(1_000) + time
}

#[test]
fn first_record_of_a_stream_counts_until_it_expires() {
    let mut origins = StreamOrigins::default();
    let stream = origin(1, "v1").stream;
    origins.record(origin(1, "v1"), at(1_000));
    origins.record(origin(1, "v2"), at(1_001));
    assert_eq!(origins.get(stream, at(2_000)), Some(software("v1")));
    assert_eq!(origins.get(origin(2, "v1").stream, at(2_000)), None);
    assert_eq!(origins.get(stream, after(STREAM_TTL)), None);
    origins.record(origin(3, "v1"), after(STREAM_TTL));
    assert_eq!(origins.all().count(), 1);
}

/// Guards against memory that grows with the streams: at ten times the largest load of a box only the newest are kept.
#[test]
fn streams_that_are_remembered_are_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..50_000 {
        origins.record(origin(number, "v1"), at(1_000 + number / 50));
    }
    assert!(origins.all().count() <= 8_192);
    assert_eq!(origins.get(origin(49_999, "").stream, at(2_000)), Some(software("v1")));
    assert_eq!(origins.get(origin(0, "").stream, at(2_000)), None);
}

#[test]
fn service_is_mixed_until_the_last_stream_of_a_version_is_over() {
    let (mut in_use, service) = (SoftwareInUse::default(), ServiceName::from("text"));
    in_use.record(&service, [software("v1")], at(0));
    assert!(!in_use.is_mixed(&service));
    in_use.record(&service, [software("v1"), software("v2")], at(1_000));
    assert!(in_use.is_mixed(&service));
    assert!(!in_use.is_mixed(&ServiceName::from("other")));
    in_use.record(&service, [software("v2")], after(STREAM_TTL - Duration::from_millis(1)));
    assert!(in_use.is_mixed(&service));
    in_use.record(&service, [software("v2")], after(STREAM_TTL));
    assert!(!in_use.is_mixed(&service));
}

/// Guards against origins that boxes tell each other for ever: what is told again keeps its age.
#[test]
fn what_is_told_again_keeps_its_age() {
    let mut origins = StreamOrigins::default();
    let aged = |age| AgedOrigin { origin: origin(1, "v1"), age: Duration::from_secs(age) };
    assert!(origins.record_aged(aged(50), after(STREAM_TTL)));
    assert!(!origins.record_aged(aged(55), after(STREAM_TTL)));
    let stream = origin(1, "v1").stream;
    assert_eq!(origins.get(stream, after(STREAM_TTL)), Some(software("v1")));
    assert_eq!(origins.get(stream, after(STREAM_TTL + Duration::from_secs(10))), None);
    assert!(!origins.record_aged(aged(1), after(STREAM_TTL)));
    assert_eq!(
        origins.get(stream, after(STREAM_TTL + Duration::from_secs(10))),
        Some(software("v1"))
    );
}

/// Guards against a stream that loses its origin while it runs, a minute after its first event or when many are newer.
#[test]
fn streams_that_are_relayed_are_remembered_however_long_they_last() {
    let mut relayed = RelayedStreams::default();
    let stream = origin(0, "v1").stream;
    relayed.begin(origin(0, "v1"));
    for number in 1..20_000 {
        relayed.begin(origin(number, "v1"));
        relayed.end(origin(number, "v1").stream, after(STREAM_TTL * 2));
    }
    assert_eq!(relayed.get(stream, after(STREAM_TTL * 2)), Some(software("v1")));
    let ended = after(STREAM_TTL * 3);
    relayed.end(stream, ended);
    assert_eq!(relayed.within(STREAM_TTL, ended).count(), 1);
    assert_eq!(
        relayed.get(stream, (ended + STREAM_TTL).before(Duration::from_millis(1))),
        Some(software("v1"))
    );
    assert_eq!(relayed.get(stream, ended + STREAM_TTL), None);
}

#[test]
fn stream_ends_with_the_last_of_its_relays() {
    let mut relayed = RelayedStreams::default();
    let stream = origin(1, "v1").stream;
    relayed.begin(origin(1, "v1"));
    relayed.begin(origin(1, "v2"));
    relayed.end(stream, at(1_000));
    assert_eq!(relayed.get(stream, after(STREAM_TTL * 2)), Some(software("v1")));
    relayed.end(stream, at(1_000));
    assert_eq!(relayed.get(stream, after(STREAM_TTL * 2)), None);
}

fn set(versions: &[&str]) -> BTreeSet<SoftwareId> {
    versions.iter().map(|version| software(version)).collect()
}

#[test]
fn history_names_the_only_version_up_to_a_version_of_the_store() {
    let store = StoreVersion::from;
    let mut history = SoftwareHistory::default();
    assert_eq!(history.only_version_until(store(50), &set(&["v1"])), None, "the row may be new");
    assert!(history.add(software("v1"), store(10)));
    assert!(!history.add(software("v1"), store(20)));
    assert_eq!(history.only_version_until(store(50), &set(&["v1"])), Some(software("v1")));
    assert_eq!(history.only_version_until(store(50), &set(&["v2"])), None);
    assert!(history.add(software("v2"), store(60)));
    assert_eq!(history.only_version_until(store(50), &set(&["v1"])), Some(software("v1")));
    assert_eq!(history.only_version_until(store(60), &set(&["v1"])), None);
    assert!(history.retain(&set(&["v2"])));
    assert_eq!(history.versions().collect::<Vec<_>>(), [software("v2")]);
}

/// Guards against "I have not heard" taken for "it has not happened" (review/1), and against refusals of what is certain.
#[test]
fn conclusions_need_evidence() {
    let (known, one, two) = (software("v1"), set(&["v1"]), set(&["v1", "v2"]));
    let unknown = StreamSoftware::Unknown;
    let cases = [
        // A stream that is known needs nothing else.
        (Lookup::Found(known), None, false, None, StreamSoftware::Version(known)),
        // One version, by a current list and the platform's table.
        (Lookup::NotFound, Some(&one), true, None, StreamSoftware::Any),
        (Lookup::Incomplete, Some(&one), true, None, StreamSoftware::Any),
        (Lookup::NotFound, Some(&one), false, None, unknown(UnknownCause::ListNotCurrent)),
        (Lookup::NotFound, None, true, None, unknown(UnknownCause::HistoryUnread)),
        (Lookup::Unnamed, Some(&one), false, None, StreamSoftware::Any),
        (Lookup::Unnamed, None, true, None, unknown(UnknownCause::HistoryUnread)),
        // Two versions: only what began before this box started can be told.
        (Lookup::NotFound, Some(&two), true, None, unknown(UnknownCause::Mixed)),
        (Lookup::NotFound, Some(&two), true, Some(known), StreamSoftware::Version(known)),
        (
            Lookup::Incomplete,
            Some(&two),
            true,
            Some(known),
            unknown(UnknownCause::LookupIncomplete),
        ),
        (Lookup::Unnamed, Some(&two), true, Some(known), unknown(UnknownCause::Mixed)),
    ];
    for (lookup, versions, is_list_current, before_start, expected) in cases {
        let versions = versions.cloned();
        let evidence = StreamEvidence { lookup, versions, is_list_current, before_start };
        assert_eq!(evidence.conclude(), expected, "{evidence:?}");
    }
}
