use std::time::Duration;

use trackfront_core::ids::{BackendId, ServerKey};
use trackfront_core::serving::directory::{
    ChangeOrigin, Directory, DirectoryEvent, DirectoryUpdate, ReceivedChanges, ServerChange,
    ServerState,
};
use trackfront_core::store_version::StoreVersion;

use super::support::{HEARTBEAT, at, entry};

fn v(number: u64) -> StoreVersion {
    StoreVersion::from(number)
}

fn set(version: u64, id: &str, models: &[&str]) -> ServerChange {
    ServerChange::Set { version: v(version), entry: entry(id, models) }
}

fn draining(version: u64, id: &str, remaining_ms: Option<u64>) -> ServerChange {
    let mut entry = entry(id, &[]);
    let remaining = remaining_ms.map(Duration::from_millis);
    entry.state = ServerState::Draining { remaining };
    ServerChange::Set { version: v(version), entry }
}

fn removed(version: u64, id: &str) -> ServerChange {
    ServerChange::Removed { version: v(version), key: ServerKey::from(id) }
}

fn ids(directory: &Directory) -> Vec<String> {
    directory.of_service(&"text".into()).iter().map(|s| s.entry.id.to_string()).collect()
}

#[test]
fn older_row_is_ignored() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(5, "x", &["m"])], v(5), at(0));
    assert!(directory.apply(vec![set(4, "x", &[])], v(6), at(1)).is_empty());
    let known = directory.get(&"x".into()).expect("known");
    assert_eq!((known.version, known.entry.models.len()), (v(5), 1));
    assert_eq!(directory.newest_version(), v(6));
}

#[test]
fn late_row_does_not_restore_removed_server() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(5, "x", &[])], v(5), at(0));
    assert_eq!(
        directory.apply(vec![removed(7, "x")], v(7), at(1)),
        [DirectoryEvent::Left("x".into())]
    );
    assert!(directory.apply(vec![set(6, "x", &[])], v(8), at(2)).is_empty());
    assert!(ids(&directory).is_empty());
    // A row newer than the removal: the platform had lost the row for a while.
    assert_eq!(directory.apply(vec![set(9, "x", &[])], v(9), at(3)).len(), 1);
    assert_eq!(ids(&directory), ["x"]);
}

#[test]
fn older_listing_is_ignored() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(5, "x", &[]), set(6, "y", &[])], v(9), at(0));
    assert_eq!(directory.replace(vec![(v(5), entry("x", &[]))], v(8), at(1)), None);
    assert_eq!(ids(&directory), ["x", "y"]);
    let events = directory.replace(vec![(v(5), entry("x", &[]))], v(9), at(2));
    assert_eq!(events, Some(vec![DirectoryEvent::Left("y".into())]));
    assert_eq!(ids(&directory), ["x"]);
}

#[test]
fn draining_counts_from_first_report() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[])], v(1), at(0));
    let events = directory.apply(vec![draining(2, "x", Some(2_000))], v(2), at(100));
    assert_eq!(events, [DirectoryEvent::Draining("x".into())]);
    directory.apply(vec![draining(3, "x", Some(2_000))], v(3), at(900));
    let known = directory.get(&"x".into()).expect("known");
    assert!(!known.is_ready());
    assert_eq!(known.draining_since, Some(at(100)));
    assert_eq!(known.leaves_at(), Some(at(2_100)));
}

#[test]
fn list_may_be_incomplete_after_discovering_loaded_server() {
    let mut directory = Directory::new(HEARTBEAT);
    assert!(!directory.may_be_incomplete(at(0)));
    directory.apply(vec![set(1, "x", &["m"])], v(1), at(0));
    directory.apply(vec![set(2, "y", &["n"])], v(2), at(1_500));
    assert!(directory.may_be_incomplete(at(3_000)), "y was discovered 1.5 s ago and held a model");
    assert!(!directory.may_be_incomplete(at(3_600)));
    // A new server without models, and a load on a known server, don't make the list incomplete.
    directory.apply(vec![set(3, "z", &[]), set(4, "x", &["m", "o"])], v(4), at(4_000));
    assert!(!directory.may_be_incomplete(at(4_001)));
}

#[test]
fn changes_of_listing_update_other_directory() {
    let (mut reader, mut peer) = (Directory::new(HEARTBEAT), Directory::new(HEARTBEAT));
    for directory in [&mut reader, &mut peer] {
        directory.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], v(2), at(0));
    }
    let rows = vec![(v(1), entry("x", &["m"])), (v(7), entry("z", &["n"]))];
    let events = reader.replace(rows, v(9), at(1)).expect("newer");
    let changes = reader.changes_for(&events, v(9));
    peer.apply(changes, v(9), at(2));
    assert_eq!((ids(&peer), peer.newest_version()), (ids(&reader), v(9)));
    assert_eq!(ids(&peer), ["x", "z"]);
}

#[test]
fn address_has_one_server_at_a_time() {
    let at_address = |version: u64, id: &str, models: &[&str]| {
        let mut entry = entry(id, models);
        entry.address = "127.0.0.1:99".into();
        ServerChange::Set { version: v(version), entry }
    };
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![at_address(1, "x", &["m"])], v(1), at(0));
    directory.apply(vec![at_address(5, "y", &[])], v(5), at(2_000));
    assert_eq!(ids(&directory), ["y"], "x crashed and y started there; the row of x still exists");
    // A row that x wrote before its end arrives late.
    directory.apply(vec![at_address(8, "x", &["m", "n"])], v(8), at(2_500));
    assert_eq!(ids(&directory), ["y"]);
    // So does a row of x after its removal.
    directory.apply(vec![removed(9, "x")], v(9), at(3_000));
    directory.apply(vec![at_address(11, "x", &["m"])], v(11), at(3_500));
    assert_eq!(ids(&directory), ["y"]);
    // Of two servers discovered together, the later one is unknown.
    let mut new_directory = Directory::new(HEARTBEAT);
    new_directory.apply(vec![at_address(8, "x", &[]), at_address(9, "y", &[])], v(9), at(0));
    assert_eq!(ids(&new_directory), ["x", "y"]);
}

#[test]
fn ready_servers_are_kept_for_grace_period_after_outage() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[]), set(3, "z", &[])], v(3), at(0));
    directory.apply(vec![draining(4, "z", None)], v(4), at(100));
    directory.platform_recovered(Duration::from_secs(4), at(10_000));
    // All three are removed: two ready servers, and a draining one, which isn't expected to return.
    directory.apply(vec![removed(5, "x"), removed(6, "y"), removed(7, "z")], v(7), at(10_100));
    assert_eq!(ids(&directory), ["x", "y"]);
    assert!(directory.apply(vec![set(5, "x", &["m"])], v(7), at(10_200)).is_empty(), "older");
    directory.apply(vec![set(9, "x", &[])], v(9), at(11_000));
    assert!(directory.drop_expired_rows(at(11_900)).is_empty());
    let events = directory.drop_expired_rows(at(12_000));
    assert_eq!(events, [DirectoryEvent::Left("y".into())]);
    assert_eq!(ids(&directory), ["x"]);
    // After the grace period, a removed row means a removed server.
    directory.apply(vec![removed(12, "x")], v(12), at(13_000));
    assert!(ids(&directory).is_empty());
}

#[test]
fn listing_without_expired_row_keeps_server_for_grace_period() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], v(2), at(0));
    directory.extend_expiry_grace(Duration::from_millis(500), Some(at(1_000)), at(5_000));
    assert_eq!(directory.remaining_expiry_grace(at(5_100)), Duration::from_millis(400));
    let events = directory.replace(vec![(v(2), entry("y", &[]))], v(6), at(5_100)).expect("newer");
    assert_eq!(ids(&directory), ["x", "y"]);
    assert_eq!(
        directory.changes_for(&events, v(6)),
        [removed(6, "x")],
        "other boxes decide for themselves"
    );
    assert_eq!(directory.drop_expired_rows(at(5_500)), [DirectoryEvent::Left("x".into())]);
}

#[test]
fn row_removed_without_outage_removes_server() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[]), set(3, "z", &[])], v(3), at(0));
    // A single call failed.
    directory.platform_recovered(Duration::from_millis(300), at(9_000));
    directory.apply(vec![removed(5, "x")], v(5), at(9_100));
    assert_eq!(ids(&directory), ["y", "z"]);
    // Only the reader was cut off: the platform never failed this box, or long ago.
    directory.extend_expiry_grace(Duration::from_secs(2), None, at(10_000));
    directory.apply(vec![removed(6, "y")], v(6), at(10_100));
    assert_eq!(ids(&directory), ["z"]);
    directory.extend_expiry_grace(Duration::from_secs(2), Some(at(2_000)), at(11_000));
    directory.apply(vec![removed(7, "z")], v(7), at(11_100));
    assert!(ids(&directory).is_empty());
}

#[test]
fn row_timeouts_scale_with_heartbeat() {
    let mut slow = Directory::new(HEARTBEAT * 5);
    slow.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], v(2), at(0));
    assert!(slow.may_be_incomplete(at(9_900)), "others may write their rows ten seconds later");
    assert!(!slow.may_be_incomplete(at(10_000)));
    // An outage of four seconds is too short for rows to expire.
    slow.platform_recovered(Duration::from_secs(4), at(20_000));
    slow.apply(vec![removed(3, "y")], v(3), at(20_100));
    assert_eq!(ids(&slow), ["x"]);
}

/// Returns a directory that knows `x` and `y` at version 2, and one that started at version 6,
/// after the removal of `x`.
fn old_and_new_directory() -> (Directory, Directory) {
    let (mut old, mut new) = (Directory::new(HEARTBEAT), Directory::new(HEARTBEAT));
    old.replace(vec![(v(1), entry("x", &[])), (v(2), entry("y", &[]))], v(2), at(0));
    new.replace(vec![(v(2), entry("y", &[])), (v(5), entry("z", &[]))], v(6), at(100));
    (old, new)
}

#[test]
fn first_listing_is_not_sent_as_changes() {
    let (mut old, new) = old_and_new_directory();
    let all = [DirectoryEvent::Joined("y".into()), DirectoryEvent::Joined("z".into())];
    let received = ReceivedChanges::from_listing(v(0), v(6), new.changes_for(&all, v(6)), 24);
    assert_eq!(received, ReceivedChanges::empty(v(6)));
    assert_eq!(old.apply_received(received, at(200)), None, "it lacks the changes between 2 and 6");
    assert_eq!((ids(&old), old.newest_version()), (vec!["x".into(), "y".into()], v(2)));
    // A box of an earlier release sends it nevertheless.
    let changes = new.changes_for(&all, v(6));
    let received = ReceivedChanges { origin: ChangeOrigin::Feed, from: v(0), to: v(6), changes };
    assert_eq!(old.apply_received(received, at(200)), None);
}

#[test]
fn update_from_newer_directory_is_full() {
    let (mut old, new) = old_and_new_directory();
    let update = new.update_since(old.newest_version());
    assert!(matches!(update, DirectoryUpdate::Full(_)), "{update:?}");
    let events = old.apply_update(update, new.newest_version(), at(200));
    assert!(events.contains(&DirectoryEvent::Left("x".into())), "{events:?}");
    assert_eq!((ids(&old), old.newest_version()), (vec!["y".into(), "z".into()], v(6)));
    // Later changes are known individually.
    let mut new = new;
    new.apply(vec![removed(7, "y")], v(7), at(300));
    assert_eq!(new.update_since(v(6)), DirectoryUpdate::Changes(vec![removed(7, "y")]));
}

#[test]
fn update_is_full_after_forgotten_removal() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[])], v(2), at(0));
    directory.apply(vec![removed(3, "x")], v(3), at(100));
    assert_eq!(directory.update_since(v(2)), DirectoryUpdate::Changes(vec![removed(3, "x")]));
    directory.apply(Vec::new(), v(9), at(200_000));
    assert!(matches!(directory.update_since(v(2)), DirectoryUpdate::Full(_)));
    assert_eq!(directory.update_since(v(3)), DirectoryUpdate::Changes(Vec::new()));
}

#[test]
fn listing_changes_apply_only_to_previous_version() {
    let changes = || vec![removed(9, "x")];
    let received = || ReceivedChanges::from_listing(v(2), v(9), changes(), 24);
    let mut same = Directory::new(HEARTBEAT);
    same.replace(vec![(v(1), entry("x", &[])), (v(2), entry("y", &[]))], v(2), at(0));
    assert_eq!(
        same.apply_received(received(), at(100)),
        Some(vec![DirectoryEvent::Left("x".into())])
    );
    // `z` was added at version 5 and removed before the listing.
    let mut newer = Directory::new(HEARTBEAT);
    newer.replace(vec![(v(1), entry("x", &[])), (v(5), entry("z", &[]))], v(5), at(0));
    assert_eq!(newer.apply_received(received(), at(100)), None);
    assert_eq!(ids(&newer), ["x", "z"]);
    assert_eq!(
        ReceivedChanges::from_listing(v(2), v(9), changes(), 1),
        ReceivedChanges::empty(v(9))
    );
}

#[test]
fn messages_keep_changes_of_one_version_together() {
    let changes =
        vec![set(3, "c", &[]), removed(4, "d"), removed(4, "e"), removed(4, "f"), set(6, "g", &[])];
    let received = ReceivedChanges { origin: ChangeOrigin::Feed, from: v(1), to: v(8), changes };
    let messages = received.into_messages(2);
    let ends: Vec<_> = messages
        .iter()
        .map(|received| (received.from, received.to, received.changes.len()))
        .collect();
    assert_eq!(ends, [(v(1), v(4), 4), (v(4), v(8), 1)], "the changes of version 4 stay together");
}

#[test]
fn draining_may_have_begun_when_list_was_last_current() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[])], v(2), at(0));
    directory.confirm_current(at(1_000));
    directory.apply(vec![draining(3, "x", None)], v(3), at(1_200));
    directory.confirm_current(at(1_200));
    let known = directory.get(&"x".into()).expect("known");
    assert_eq!(known.may_drain_since, Some(at(1_000)), "the list was current then");
    // The reader stops relaying, and this box reads the feed itself 2.6 s later.
    directory.apply(vec![draining(4, "y", None)], v(4), at(3_800));
    directory.confirm_current(at(3_800));
    let known = directory.get(&"y".into()).expect("known");
    assert_eq!((known.may_drain_since, known.draining_since), (Some(at(1_200)), Some(at(3_800))));
    // Another row of the server changes neither moment.
    directory.apply(vec![draining(5, "y", None)], v(5), at(4_000));
    assert_eq!(directory.get(&"y".into()).expect("known").may_drain_since, Some(at(1_200)));
}

/// Returns a row of the incarnation of `x` that started at `started`.
fn incarnation(version: u64, started: u64, models: &[&str]) -> ServerChange {
    let mut entry = entry("x", models);
    entry.id = BackendId::from(format!("x@{started}"));
    entry.started = Some(started);
    entry.sequence = 1;
    ServerChange::Set { version: v(version), entry }
}

fn unusable(version: u64, key: &str) -> ServerChange {
    ServerChange::Unusable {
        version: v(version),
        key: key.into(),
        error: "of another writer".into(),
    }
}

#[test]
fn later_incarnation_replaces_earlier_one() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![incarnation(1, 100, &["m"])], v(1), at(0));
    directory.apply(vec![draining(2, "y", None)], v(2), at(100));
    let events = directory.apply(vec![incarnation(3, 200, &[])], v(3), at(1_000));
    assert_eq!(
        events,
        [DirectoryEvent::Left("x@100".into()), DirectoryEvent::Joined("x@200".into())]
    );
    assert!(directory.get(&"x@100".into()).is_none());
    let later = directory.get(&"x@200".into()).expect("known");
    assert_eq!((later.first_learned_at, later.replaces.clone()), (at(1_000), Some("x@100".into())));
    // A row of the earlier incarnation arrives last.
    assert!(directory.apply(vec![incarnation(4, 100, &["m"])], v(4), at(1_100)).is_empty());
    assert_eq!(ids(&directory), ["x@200", "y"]);
    // The row is removed, whichever incarnation wrote it.
    assert_eq!(
        directory.apply(vec![removed(5, "x")], v(5), at(2_000)),
        [DirectoryEvent::Left("x@200".into())]
    );
    assert!(
        directory.apply(vec![incarnation(6, 100, &["m"])], v(6), at(2_100)).is_empty(),
        "it had ended before"
    );
    assert_eq!(directory.apply(vec![incarnation(7, 300, &[])], v(7), at(2_200)).len(), 1);
    let third = directory.get(&"x@300".into()).expect("known");
    assert_eq!((third.first_learned_at, third.replaces.clone()), (at(2_200), Some("x@200".into())));
}

#[test]
fn incarnation_after_draining_one_does_not_drain() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![incarnation(1, 100, &[])], v(1), at(0));
    let mut leaving = entry("x", &[]);
    (leaving.id, leaving.started) = ("x@100".into(), Some(100));
    leaving.state = ServerState::Draining { remaining: None };
    directory.apply(vec![ServerChange::Set { version: v(2), entry: leaving }], v(2), at(100));
    directory.apply(vec![incarnation(3, 200, &[])], v(3), at(200));
    let later = directory.get(&"x@200".into()).expect("known");
    assert_eq!((later.draining_since, later.may_drain_since, later.is_ready()), (None, None, true));
}

#[test]
fn listing_with_later_incarnation_is_one_change() {
    let (mut reader, mut peer) = (Directory::new(HEARTBEAT), Directory::new(HEARTBEAT));
    for directory in [&mut reader, &mut peer] {
        directory.apply(vec![incarnation(1, 100, &["m"]), set(2, "y", &[])], v(2), at(0));
    }
    let ServerChange::Set { entry: later, .. } = incarnation(5, 200, &[]) else {
        unreachable!("it is a `Set`");
    };
    let events =
        reader.replace(vec![(v(2), entry("y", &[])), (v(5), later)], v(6), at(100)).expect("newer");
    let changes = reader.changes_for(&events, v(6));
    assert_eq!(changes.len(), 1, "{changes:?}");
    peer.apply_received(ReceivedChanges::from_listing(v(2), v(6), changes, 24), at(200))
        .expect("both started from the same version");
    assert_eq!((ids(&peer), peer.newest_version()), (vec!["x@200".into(), "y".into()], v(6)));
}

#[test]
fn unusable_row_removes_server_until_next_usable_row() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[])], v(2), at(0));
    // This holds within the grace period as well.
    directory.platform_recovered(Duration::from_secs(4), at(1_000));
    let events = directory.apply(vec![unusable(3, "x"), unusable(4, "z")], v(4), at(1_100));
    assert_eq!(events, [DirectoryEvent::Left("x".into())]);
    assert_eq!((ids(&directory), directory.newest_version()), (vec!["y".into()], v(4)));
    assert!(
        directory.apply(vec![set(1, "x", &[])], v(4), at(1_200)).is_empty(),
        "the row is older"
    );
    directory.apply(vec![set(5, "x", &[])], v(5), at(1_300));
    assert_eq!(ids(&directory), ["x", "y"]);
    // An unusable row in a listing has the same effect.
    let rows = vec![set(5, "x", &[]), unusable(8, "y")];
    let events = directory.replace_with_rows(rows, v(8), at(1_400)).expect("newer");
    assert_eq!(events, [DirectoryEvent::Left("y".into())]);
    assert_eq!(directory.changes_for(&events, v(8)), [removed(8, "y")]);
}
