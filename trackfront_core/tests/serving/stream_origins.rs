use std::time::Duration;

use trackfront_core::ids::{RequestId, ServiceName, SoftwareVersion};
use trackfront_core::serving::stream_origins::{
    STREAM_TTL, SoftwareId, SoftwareInUse, StreamId, StreamOrigin, StreamOrigins,
};
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
