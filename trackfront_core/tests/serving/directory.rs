use std::time::Duration;

use trackfront_core::ids::{BackendId, ServerKey};
use trackfront_core::serving::directory::{
    ChangeOrigin, Directory, DirectoryEvent, DirectoryUpdate, ReceivedChanges, ServerChange,
    ServerState,
};

use super::support::{HEARTBEAT, at, entry};

fn set(version: u64, id: &str, models: &[&str]) -> ServerChange {
    ServerChange::Set { version, entry: entry(id, models) }
}

fn draining(version: u64, id: &str, remaining_ms: Option<u64>) -> ServerChange {
    let mut entry = entry(id, &[]);
    let remaining = remaining_ms.map(Duration::from_millis);
    entry.state = ServerState::Draining { remaining };
    ServerChange::Set { version, entry }
}

fn gone(version: u64, id: &str) -> ServerChange {
    ServerChange::Removed { version, key: ServerKey::from(id) }
}

fn ids(directory: &Directory) -> Vec<String> {
    directory.of_service(&"text".into()).iter().map(|s| s.entry.id.to_string()).collect()
}

#[test]
fn an_older_row_changes_nothing() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(5, "x", &["m"])], 5, at(0));
    assert!(directory.apply(vec![set(4, "x", &[])], 6, at(1)).is_empty());
    let known = directory.get(&"x".into()).expect("known");
    assert_eq!((known.version, known.entry.models.len()), (5, 1));
    assert_eq!(directory.newest_version(), 6);
}

#[test]
fn a_server_that_went_does_not_come_back_by_a_late_row() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(5, "x", &[])], 5, at(0));
    assert_eq!(directory.apply(vec![gone(7, "x")], 7, at(1)), [DirectoryEvent::Left("x".into())]);
    assert!(directory.apply(vec![set(6, "x", &[])], 8, at(2)).is_empty());
    assert!(ids(&directory).is_empty());
    // A row that is newer than its going: the platform had lost it for a while.
    assert_eq!(directory.apply(vec![set(9, "x", &[])], 9, at(3)).len(), 1);
    assert_eq!(ids(&directory), ["x"]);
}

#[test]
fn an_old_listing_is_passed_over_whole() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(5, "x", &[]), set(6, "y", &[])], 9, at(0));
    assert_eq!(directory.replace(vec![(5, entry("x", &[]))], 8, at(1)), None);
    assert_eq!(ids(&directory), ["x", "y"]);
    let events = directory.replace(vec![(5, entry("x", &[]))], 9, at(2));
    assert_eq!(events, Some(vec![DirectoryEvent::Left("y".into())]));
    assert_eq!(ids(&directory), ["x"]);
}

#[test]
fn draining_is_counted_from_when_it_was_learned_first() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[])], 1, at(0));
    let events = directory.apply(vec![draining(2, "x", Some(2_000))], 2, at(100));
    assert_eq!(events, [DirectoryEvent::Draining("x".into())]);
    directory.apply(vec![draining(3, "x", Some(2_000))], 3, at(900));
    let known = directory.get(&"x".into()).expect("known");
    assert!(!known.is_ready());
    assert_eq!(known.draining_since, Some(at(100)));
    assert_eq!(known.leaves_at(), Some(at(2_100)));
}

#[test]
fn a_list_that_still_finds_loaded_servers_is_filling() {
    let mut directory = Directory::new(HEARTBEAT);
    assert!(!directory.may_be_incomplete(at(0)));
    directory.apply(vec![set(1, "x", &["m"])], 1, at(0));
    directory.apply(vec![set(2, "y", &["n"])], 2, at(1_500));
    assert!(directory.may_be_incomplete(at(3_000)), "y came 1.5 s ago and held a model");
    assert!(!directory.may_be_incomplete(at(3_600)));
    // A server that starts is empty, and what a known one loads does not make the list incomplete.
    directory.apply(vec![set(3, "z", &[]), set(4, "x", &["m", "o"])], 4, at(4_000));
    assert!(!directory.may_be_incomplete(at(4_001)));
}

#[test]
fn what_a_listing_brought_can_be_relayed() {
    let (mut reader, mut mate) = (Directory::new(HEARTBEAT), Directory::new(HEARTBEAT));
    for directory in [&mut reader, &mut mate] {
        directory.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], 2, at(0));
    }
    let rows = vec![(1, entry("x", &["m"])), (7, entry("z", &["n"]))];
    let events = reader.replace(rows, 9, at(1)).expect("newer");
    let changes = reader.changes_for(&events, 9);
    mate.apply(changes, 9, at(2));
    assert_eq!((ids(&mate), mate.newest_version()), (ids(&reader), 9));
    assert_eq!(ids(&mate), ["x", "z"]);
}

#[test]
fn an_address_has_one_server_at_a_time() {
    let at_address = |version: u64, id: &str, models: &[&str]| {
        let mut entry = entry(id, models);
        entry.address = "127.0.0.1:99".into();
        ServerChange::Set { version, entry }
    };
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![at_address(1, "x", &["m"])], 1, at(0));
    directory.apply(vec![at_address(5, "y", &[])], 5, at(2_000));
    assert_eq!(ids(&directory), ["y"], "x crashed and y started there; the row of x still stands");
    // What x wrote before its end arrives late.
    directory.apply(vec![at_address(8, "x", &["m", "n"])], 8, at(2_500));
    assert_eq!(ids(&directory), ["y"]);
    // So does a row of x after it went.
    directory.apply(vec![gone(9, "x")], 9, at(3_000));
    directory.apply(vec![at_address(11, "x", &["m"])], 11, at(3_500));
    assert_eq!(ids(&directory), ["y"]);
    // Of two that were found together it is not known which is later.
    let mut new_node = Directory::new(HEARTBEAT);
    new_node.apply(vec![at_address(8, "x", &[]), at_address(9, "y", &[])], 9, at(0));
    assert_eq!(ids(&new_node), ["x", "y"]);
}

#[test]
fn rows_that_lapsed_while_the_platform_was_away_are_waited_for() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[]), set(3, "z", &[])], 3, at(0));
    directory.apply(vec![draining(4, "z", None)], 4, at(100));
    directory.platform_recovered(Duration::from_secs(4), at(10_000));
    // All three went: two that were ready, and one that drained and is not expected back.
    directory.apply(vec![gone(5, "x"), gone(6, "y"), gone(7, "z")], 7, at(10_100));
    assert_eq!(ids(&directory), ["x", "y"]);
    assert!(directory.apply(vec![set(5, "x", &["m"])], 7, at(10_200)).is_empty(), "older");
    directory.apply(vec![set(9, "x", &[])], 9, at(11_000));
    assert!(directory.drop_expired_rows(at(11_900)).is_empty());
    let events = directory.drop_expired_rows(at(12_000));
    assert_eq!(events, [DirectoryEvent::Left("y".into())]);
    assert_eq!(ids(&directory), ["x"]);
    // Later, a row that goes is a server that goes.
    directory.apply(vec![gone(12, "x")], 12, at(13_000));
    assert!(ids(&directory).is_empty());
}

#[test]
fn a_listing_without_a_lapsed_row_keeps_its_server_for_a_while() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], 2, at(0));
    directory.extend_expiry_grace(Duration::from_millis(500), Some(at(1_000)), at(5_000));
    assert_eq!(directory.remaining_expiry_grace(at(5_100)), Duration::from_millis(400));
    let events = directory.replace(vec![(2, entry("y", &[]))], 6, at(5_100)).expect("newer");
    assert_eq!(ids(&directory), ["x", "y"]);
    assert_eq!(directory.changes_for(&events, 6), [gone(6, "x")], "others judge for themselves");
    assert_eq!(directory.drop_expired_rows(at(5_500)), [DirectoryEvent::Left("x".into())]);
}

#[test]
fn a_row_that_goes_without_an_outage_takes_its_server_away() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[]), set(3, "z", &[])], 3, at(0));
    // One call failed.
    directory.platform_recovered(Duration::from_millis(300), at(9_000));
    directory.apply(vec![gone(5, "x")], 5, at(9_100));
    assert_eq!(ids(&directory), ["y", "z"]);
    // The reader alone was cut off: the platform has not failed this node, or long ago.
    directory.extend_expiry_grace(Duration::from_secs(2), None, at(10_000));
    directory.apply(vec![gone(6, "y")], 6, at(10_100));
    assert_eq!(ids(&directory), ["z"]);
    directory.extend_expiry_grace(Duration::from_secs(2), Some(at(2_000)), at(11_000));
    directory.apply(vec![gone(7, "z")], 7, at(11_100));
    assert!(ids(&directory).is_empty());
}

#[test]
fn waits_for_rows_go_by_the_heartbeat() {
    let mut slow = Directory::new(HEARTBEAT * 5);
    slow.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], 2, at(0));
    assert!(slow.may_be_incomplete(at(9_900)), "others may write theirs ten seconds later");
    assert!(!slow.may_be_incomplete(at(10_000)));
    // Away for four seconds, no row has lapsed.
    slow.platform_recovered(Duration::from_secs(4), at(20_000));
    slow.apply(vec![gone(3, "y")], 3, at(20_100));
    assert_eq!(ids(&slow), ["x"]);
}

/// Returns a directory that knew `x` and `y` at version 2, and one that began at version 6, after `x` had gone.
fn one_that_ran_on_and_one_that_began() -> (Directory, Directory) {
    let (mut ran_on, mut began) = (Directory::new(HEARTBEAT), Directory::new(HEARTBEAT));
    ran_on.replace(vec![(1, entry("x", &[])), (2, entry("y", &[]))], 2, at(0));
    began.replace(vec![(2, entry("y", &[])), (5, entry("z", &[]))], 6, at(100));
    (ran_on, began)
}

#[test]
fn a_first_listing_is_not_told_as_changes() {
    let (mut ran_on, began) = one_that_ran_on_and_one_that_began();
    let all = [DirectoryEvent::Joined("y".into()), DirectoryEvent::Joined("z".into())];
    let told = ReceivedChanges::from_listing(0, 6, began.changes_for(&all, 6), 24);
    assert_eq!(told, ReceivedChanges::empty(6));
    assert_eq!(ran_on.apply_received(told, at(200)), None, "it lacks what is between 2 and 6");
    assert_eq!((ids(&ran_on), ran_on.newest_version()), (vec!["x".into(), "y".into()], 2));
    // A box of an earlier version tells it all the same.
    let changes = began.changes_for(&all, 6);
    let told = ReceivedChanges { origin: ChangeOrigin::Feed, from: 0, to: 6, changes };
    assert_eq!(ran_on.apply_received(told, at(200)), None);
}

#[test]
fn a_copy_of_one_that_began_later_is_whole() {
    let (mut ran_on, began) = one_that_ran_on_and_one_that_began();
    let update = began.update_since(ran_on.newest_version());
    assert!(matches!(update, DirectoryUpdate::Full(_)), "{update:?}");
    let events = ran_on.apply_update(update, began.newest_version(), at(200));
    assert!(events.contains(&DirectoryEvent::Left("x".into())), "{events:?}");
    assert_eq!((ids(&ran_on), ran_on.newest_version()), (vec!["y".into(), "z".into()], 6));
    // What came after that listing is known as changes.
    let mut began = began;
    began.apply(vec![gone(7, "y")], 7, at(300));
    assert_eq!(began.update_since(6), DirectoryUpdate::Changes(vec![gone(7, "y")]));
}

#[test]
fn what_was_forgotten_is_not_told_as_changes() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[])], 2, at(0));
    directory.apply(vec![gone(3, "x")], 3, at(100));
    assert_eq!(directory.update_since(2), DirectoryUpdate::Changes(vec![gone(3, "x")]));
    directory.apply(Vec::new(), 9, at(200_000));
    assert!(matches!(directory.update_since(2), DirectoryUpdate::Full(_)));
    assert_eq!(directory.update_since(3), DirectoryUpdate::Changes(Vec::new()));
}

#[test]
fn differences_of_a_listing_count_only_from_the_version_before_it() {
    let changes = || vec![gone(9, "x")];
    let told = || ReceivedChanges::from_listing(2, 9, changes(), 24);
    let mut same = Directory::new(HEARTBEAT);
    same.replace(vec![(1, entry("x", &[])), (2, entry("y", &[]))], 2, at(0));
    assert_eq!(same.apply_received(told(), at(100)), Some(vec![DirectoryEvent::Left("x".into())]));
    // `z` came at 5 and was gone before the listing.
    let mut newer = Directory::new(HEARTBEAT);
    newer.replace(vec![(1, entry("x", &[])), (5, entry("z", &[]))], 5, at(0));
    assert_eq!(newer.apply_received(told(), at(100)), None);
    assert_eq!(ids(&newer), ["x", "z"]);
    assert_eq!(ReceivedChanges::from_listing(2, 9, changes(), 1), ReceivedChanges::empty(9));
}

#[test]
fn a_message_ends_where_all_before_is_told() {
    let changes =
        vec![set(3, "c", &[]), gone(4, "d"), gone(4, "e"), gone(4, "f"), set(6, "g", &[])];
    let told = ReceivedChanges { origin: ChangeOrigin::Feed, from: 1, to: 8, changes };
    let messages = told.into_messages(2);
    let ends: Vec<_> =
        messages.iter().map(|told| (told.from, told.to, told.changes.len())).collect();
    assert_eq!(ends, [(1, 4, 4), (4, 8, 1)], "version 4 stays together");
}

#[test]
fn a_server_of_which_the_node_learned_late_may_drain_for_as_long() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[])], 2, at(0));
    directory.confirm_current(at(1_000));
    directory.apply(vec![draining(3, "x", None)], 3, at(1_200));
    directory.confirm_current(at(1_200));
    let known = directory.get(&"x".into()).expect("known");
    assert_eq!(known.may_drain_since, Some(at(1_000)), "the list was the newest then");
    // The reader falls silent, and the box reads for itself 2.6 s later.
    directory.apply(vec![draining(4, "y", None)], 4, at(3_800));
    directory.confirm_current(at(3_800));
    let known = directory.get(&"y".into()).expect("known");
    assert_eq!((known.may_drain_since, known.draining_since), (Some(at(1_200)), Some(at(3_800))));
    // Another row of it changes nothing of that.
    directory.apply(vec![draining(5, "y", None)], 5, at(4_000));
    assert_eq!(directory.get(&"y".into()).expect("known").may_drain_since, Some(at(1_200)));
}

/// An entry of a run under key `x` that started at some second.
fn run(version: u64, started: u64, models: &[&str]) -> ServerChange {
    let mut entry = entry("x", models);
    entry.id = BackendId::from(format!("x@{started}"));
    entry.started = Some(started);
    entry.sequence = 1;
    ServerChange::Set { version, entry }
}

fn unusable(version: u64, key: &str) -> ServerChange {
    ServerChange::Unusable { version, key: key.into(), error: "of another writer".into() }
}

#[test]
fn a_later_run_takes_the_place_of_the_earlier_one() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![run(1, 100, &["m"])], 1, at(0));
    directory.apply(vec![draining(2, "y", None)], 2, at(100));
    let events = directory.apply(vec![run(3, 200, &[])], 3, at(1_000));
    assert_eq!(
        events,
        [DirectoryEvent::Left("x@100".into()), DirectoryEvent::Joined("x@200".into())]
    );
    assert!(directory.get(&"x@100".into()).is_none());
    let later = directory.get(&"x@200".into()).expect("known");
    assert_eq!((later.first_learned_at, later.replaces.clone()), (at(1_000), Some("x@100".into())));
    // What the earlier one wrote arrives last.
    assert!(directory.apply(vec![run(4, 100, &["m"])], 4, at(1_100)).is_empty());
    assert_eq!(ids(&directory), ["x@200", "y"]);
    // The row goes, whichever run had it.
    assert_eq!(
        directory.apply(vec![gone(5, "x")], 5, at(2_000)),
        [DirectoryEvent::Left("x@200".into())]
    );
    assert!(directory.apply(vec![run(6, 100, &["m"])], 6, at(2_100)).is_empty(), "it ended before");
    assert_eq!(directory.apply(vec![run(7, 300, &[])], 7, at(2_200)).len(), 1);
    let third = directory.get(&"x@300".into()).expect("known");
    assert_eq!((third.first_learned_at, third.replaces.clone()), (at(2_200), Some("x@200".into())));
}

#[test]
fn a_run_that_starts_after_a_draining_one_does_not_drain() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![run(1, 100, &[])], 1, at(0));
    let mut leaving = entry("x", &[]);
    (leaving.id, leaving.started) = ("x@100".into(), Some(100));
    leaving.state = ServerState::Draining { remaining: None };
    directory.apply(vec![ServerChange::Set { version: 2, entry: leaving }], 2, at(100));
    directory.apply(vec![run(3, 200, &[])], 3, at(200));
    let later = directory.get(&"x@200".into()).expect("known");
    assert_eq!((later.draining_since, later.may_drain_since, later.is_ready()), (None, None, true));
}

#[test]
fn a_listing_that_finds_a_later_run_is_told_as_one_change() {
    let (mut reader, mut mate) = (Directory::new(HEARTBEAT), Directory::new(HEARTBEAT));
    for directory in [&mut reader, &mut mate] {
        directory.apply(vec![run(1, 100, &["m"]), set(2, "y", &[])], 2, at(0));
    }
    let ServerChange::Set { entry: later, .. } = run(5, 200, &[]) else {
        unreachable!("it is set");
    };
    let events = reader.replace(vec![(2, entry("y", &[])), (5, later)], 6, at(100)).expect("newer");
    let changes = reader.changes_for(&events, 6);
    assert_eq!(changes.len(), 1, "{changes:?}");
    mate.apply_received(ReceivedChanges::from_listing(2, 6, changes, 24), at(200))
        .expect("it knew the same");
    assert_eq!((ids(&mate), mate.newest_version()), (vec!["x@200".into(), "y".into()], 6));
}

#[test]
fn a_row_of_another_writer_takes_its_server_away_until_the_next_good_one() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[])], 2, at(0));
    // Also where rows that go are waited for.
    directory.platform_recovered(Duration::from_secs(4), at(1_000));
    let events = directory.apply(vec![unusable(3, "x"), unusable(4, "z")], 4, at(1_100));
    assert_eq!(events, [DirectoryEvent::Left("x".into())]);
    assert_eq!((ids(&directory), directory.newest_version()), (vec!["y".into()], 4));
    assert!(
        directory.apply(vec![set(1, "x", &[])], 4, at(1_200)).is_empty(),
        "what was said before"
    );
    directory.apply(vec![set(5, "x", &[])], 5, at(1_300));
    assert_eq!(ids(&directory), ["x", "y"]);
    // A listing that has such a row says the same.
    let rows = vec![set(5, "x", &[]), unusable(8, "y")];
    let events = directory.replace_with_rows(rows, 8, at(1_400)).expect("newer");
    assert_eq!(events, [DirectoryEvent::Left("y".into())]);
    assert_eq!(directory.changes_for(&events, 8), [gone(8, "y")]);
}
