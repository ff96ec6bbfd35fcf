use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::directory::{Directory, DirectoryEvent, ServerChange, ServerState};

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
    ServerChange::Gone { version, id: BackendId::from(id) }
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
    assert_eq!(directory.newest(), 6);
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
    assert!(!directory.is_filling(at(0)));
    directory.apply(vec![set(1, "x", &["m"])], 1, at(0));
    directory.apply(vec![set(2, "y", &["n"])], 2, at(1_500));
    assert!(directory.is_filling(at(3_000)), "y came 1.5 s ago and held a model");
    assert!(!directory.is_filling(at(3_600)));
    // A server that starts is empty, and what a known one loads does not make the list incomplete.
    directory.apply(vec![set(3, "z", &[]), set(4, "x", &["m", "o"])], 4, at(4_000));
    assert!(!directory.is_filling(at(4_001)));
}

#[test]
fn what_a_listing_brought_can_be_relayed() {
    let (mut reader, mut mate) = (Directory::new(HEARTBEAT), Directory::new(HEARTBEAT));
    for directory in [&mut reader, &mut mate] {
        directory.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], 2, at(0));
    }
    let rows = vec![(1, entry("x", &["m"])), (7, entry("z", &["n"]))];
    let events = reader.replace(rows, 9, at(1)).expect("newer");
    let changes = reader.changes(&events, 9);
    mate.apply(changes, 9, at(2));
    assert_eq!((ids(&mate), mate.newest()), (ids(&reader), 9));
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
    directory.platform_came_back(Duration::from_secs(4), at(10_000));
    // All three went: two that were ready, and one that drained and is not expected back.
    directory.apply(vec![gone(5, "x"), gone(6, "y"), gone(7, "z")], 7, at(10_100));
    assert_eq!(ids(&directory), ["x", "y"]);
    assert!(directory.apply(vec![set(5, "x", &["m"])], 7, at(10_200)).is_empty(), "older");
    directory.apply(vec![set(9, "x", &[])], 9, at(11_000));
    assert!(directory.end_lapses(at(11_900)).is_empty());
    let events = directory.end_lapses(at(12_000));
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
    directory.reader_expects_lapses(Duration::from_millis(500), Some(at(1_000)), at(5_000));
    assert_eq!(directory.lapses_for(at(5_100)), Duration::from_millis(400));
    let events = directory.replace(vec![(2, entry("y", &[]))], 6, at(5_100)).expect("newer");
    assert_eq!(ids(&directory), ["x", "y"]);
    assert_eq!(directory.changes(&events, 6), [gone(6, "x")], "others judge for themselves");
    assert_eq!(directory.end_lapses(at(5_500)), [DirectoryEvent::Left("x".into())]);
}

#[test]
fn a_row_that_goes_without_an_outage_takes_its_server_away() {
    let mut directory = Directory::new(HEARTBEAT);
    directory.apply(vec![set(1, "x", &[]), set(2, "y", &[]), set(3, "z", &[])], 3, at(0));
    // One call failed.
    directory.platform_came_back(Duration::from_millis(300), at(9_000));
    directory.apply(vec![gone(5, "x")], 5, at(9_100));
    assert_eq!(ids(&directory), ["y", "z"]);
    // The reader alone was cut off: the platform has not failed this node, or long ago.
    directory.reader_expects_lapses(Duration::from_secs(2), None, at(10_000));
    directory.apply(vec![gone(6, "y")], 6, at(10_100));
    assert_eq!(ids(&directory), ["z"]);
    directory.reader_expects_lapses(Duration::from_secs(2), Some(at(2_000)), at(11_000));
    directory.apply(vec![gone(7, "z")], 7, at(11_100));
    assert!(ids(&directory).is_empty());
}

#[test]
fn waits_for_rows_go_by_the_heartbeat() {
    let mut slow = Directory::new(HEARTBEAT * 5);
    slow.apply(vec![set(1, "x", &["m"]), set(2, "y", &[])], 2, at(0));
    assert!(slow.is_filling(at(9_900)), "others may write theirs ten seconds later");
    assert!(!slow.is_filling(at(10_000)));
    // Away for four seconds, no row has lapsed.
    slow.platform_came_back(Duration::from_secs(4), at(20_000));
    slow.apply(vec![gone(3, "y")], 3, at(20_100));
    assert_eq!(ids(&slow), ["x"]);
}
