//! A directory whose table is restored from a copy.

use trackfront_core::serving::directory::{
    ChangeOrigin, Directory, DirectoryEvent, DirectoryUpdate, ReceivedChanges, ServerChange,
    ServerEntry, ServerState,
};
use trackfront_core::store_version::StoreVersion;

use super::support::{HEARTBEAT, at, entry};

/// The time after a restoration within which servers write their rows again, in milliseconds.
const GRACE_MS: u64 = 4_000;

fn v(era: u64, number: u64) -> StoreVersion {
    StoreVersion::new(era, number)
}

fn set(version: StoreVersion, entry: ServerEntry) -> ServerChange {
    ServerChange::Set { version, entry }
}

fn draining(id: &str) -> ServerEntry {
    ServerEntry { state: ServerState::Draining { remaining: None }, ..entry(id, &[]) }
}

/// Returns a directory of `x`, `y` and `z` at version 20 of era 1.
fn directory() -> Directory {
    let mut directory = Directory::new(HEARTBEAT);
    let rows = ["x", "y", "z"].iter().zip(10..).map(|(id, at)| (v(1, at), entry(id, &[])));
    directory.replace(rows.collect(), v(1, 20), at(0)).expect("the first listing");
    directory
}

fn ids(directory: &Directory) -> Vec<&str> {
    let mut ids: Vec<_> = directory.all().map(|known| known.entry.id.as_str()).collect();
    ids.sort_unstable();
    ids
}

/// Guards against listings after a restoration that are refused as older: requests reached servers that had left, for
/// as long as the boxes ran.
#[test]
fn listing_of_a_later_era_is_newer_whatever_its_version() {
    let mut directory = directory();
    let rows = vec![set(v(2, 4), entry("x", &["m"])), set(v(2, 5), draining("y"))];
    let events = directory.replace_with_rows(rows, v(2, 5), at(1_000)).expect("newer");
    assert!(events.contains(&DirectoryEvent::Draining("y".into())), "{events:?}");
    assert_eq!(directory.newest_version(), v(2, 5));
    // An answer of the era before arrives late.
    assert!(directory.apply(vec![set(v(1, 30), entry("w", &[]))], v(1, 30), at(1_100)).is_empty());
    assert_eq!(directory.replace(Vec::new(), v(1, 40), at(1_200)), None);
}

/// Guards against one event and one log line for each server of a fleet after a restoration.
#[test]
fn rows_that_only_changed_their_era_make_no_events() {
    let mut directory = directory();
    let rows = ["x", "y", "z"].iter().zip(10..).map(|(id, at)| (v(2, at), entry(id, &[])));
    let events = directory.replace(rows.collect(), v(2, 15), at(1_000)).expect("newer");
    assert_eq!(events, []);
    assert!(matches!(directory.update_since(v(1, 20)), DirectoryUpdate::Full(_)));
}

/// Guards against the loss of servers whose rows the copy lacks although they run, and against servers that are kept for
/// ever because their rows never come back.
#[test]
fn server_whose_row_the_copy_lacks_stays_until_it_must_be_gone() {
    let mut directory = directory();
    let rows = vec![set(v(2, 10), entry("x", &[]))];
    directory.replace_with_rows(rows, v(2, 10), at(1_000)).expect("newer");
    assert_eq!(ids(&directory), ["x", "y", "z"]);
    directory.apply(vec![set(v(2, 11), entry("y", &[]))], v(2, 11), at(2_000));
    assert!(directory.drop_expired_rows(at(900 + GRACE_MS)).is_empty());
    let dropped = directory.drop_expired_rows(at(1_000 + GRACE_MS));
    assert_eq!(dropped, [DirectoryEvent::Left("z".into())]);
    assert_eq!(ids(&directory), ["x", "y"]);
}

/// Guards against requests to a server whose row was removed before the copy, which the box learns only by the restored
/// listing.
#[test]
fn server_whose_row_was_removed_before_the_copy_leaves_at_once() {
    let mut directory = directory();
    let rows = vec![set(v(2, 10), entry("x", &[])), set(v(2, 12), entry("z", &[]))];
    let events = directory.replace_with_rows(rows, v(2, 14), at(1_000)).expect("newer");
    assert_eq!(events, [DirectoryEvent::Left("y".into())]);
}

/// Guards against requests to a server whose row is removed soon after a restoration: the time that the restored list
/// leaves for rows to come back is not for rows that it had.
#[test]
fn row_that_is_removed_after_the_restoration_removes_its_server_at_once() {
    let mut directory = directory();
    let rows = ["x", "y"].iter().zip(10..).map(|(id, at)| (v(2, at), entry(id, &[])));
    directory.replace(rows.collect(), v(2, 15), at(1_000)).expect("newer");
    let removed = ["x", "z"].iter().zip(16..);
    let removed =
        removed.map(|(id, at)| ServerChange::Removed { version: v(2, at), key: (*id).into() });
    directory.apply(removed.collect(), v(2, 17), at(1_500));
    assert_eq!(ids(&directory), ["y"]);
}

/// Guards against requests to a server that had left, by its row in the copy; a row that is still there after the time
/// for expiry is that of a server that runs.
#[test]
fn removed_server_returns_only_by_a_row_that_was_written_since() {
    let mut directory = directory();
    directory.apply(
        vec![ServerChange::Removed { version: v(1, 21), key: "x".into() }],
        v(1, 21),
        at(500),
    );
    let listing = || {
        let rows = ["x", "y", "z"].iter().zip(10..).map(|(id, at)| (v(2, at), entry(id, &[])));
        rows.collect::<Vec<_>>()
    };
    directory.replace(listing(), v(2, 15), at(1_000)).expect("newer");
    assert_eq!(ids(&directory), ["y", "z"]);
    assert!(!directory.take_relisting(at(1_000 + GRACE_MS)));
    assert!(directory.take_relisting(at(3_000 + GRACE_MS)));
    assert!(!directory.take_relisting(at(4_000 + GRACE_MS)), "once for each restoration");
    directory.replace(listing(), v(2, 16), at(4_000 + GRACE_MS)).expect("newer");
    assert_eq!(ids(&directory), ["x", "y", "z"]);
}

/// Guards against requests to a server that drains, and orders by an outdated inventory, because of its row in the copy.
#[test]
fn restored_row_of_the_same_incarnation_does_not_undo_what_is_known() {
    let mut directory = directory();
    let mut later = draining("x");
    later.sequence = 7;
    directory.apply(vec![set(v(1, 25), later)], v(1, 25), at(500));
    let mut before = entry("x", &["m"]);
    before.sequence = 5;
    let rows = vec![set(v(2, 11), before)];
    directory.replace_with_rows(rows, v(2, 15), at(1_000)).expect("newer");
    let known = directory.get(&"x".into()).expect("known");
    assert!(!known.is_ready() && known.entry.sequence == 7 && known.entry.models.is_empty());
    // A row with a larger version than the known one was written later, whatever its era.
    let mut written_again = entry("x", &["m"]);
    written_again.sequence = 7;
    directory.apply(vec![set(v(2, 26), written_again)], v(2, 26), at(1_500));
    assert!(directory.get(&"x".into()).expect("known").is_ready());
}

/// Guards against a snapshot of all servers for each box of a hall after a restoration: what it changed fits into one
/// message, however many servers there are.
#[test]
fn restoration_is_relayed_as_the_few_changes_that_it_made() {
    const SERVERS: u64 = 1_300;
    const BOXES: usize = 40;
    const MAX_CHANGES: usize = 24;
    let name = |number: u64| format!("server-{number:04}");
    let rows = |era| {
        let row = |number| (v(era, 1 + number), entry(&name(number), &["m"]));
        (0..SERVERS).map(row).collect::<Vec<_>>()
    };
    let mut boxes: Vec<Directory> = (0..BOXES).map(|_| Directory::new(HEARTBEAT)).collect();
    for known in &mut boxes {
        known.replace(rows(1), v(1, 2_000), at(0)).expect("the first listing");
        known.apply(vec![set(v(1, 2_001), entry("joined", &[]))], v(1, 2_001), at(100));
    }
    let [reader, others @ ..] = boxes.as_mut_slice() else { unreachable!("there are boxes") };
    let mut listing = rows(2);
    listing[7].1.state = ServerState::Draining { remaining: None };
    let events = reader.replace(listing, v(2, 1_800), at(1_000)).expect("newer");
    let changes = reader.changes_for(&events, v(2, 1_800));
    let received = ReceivedChanges::from_listing(v(1, 2_001), v(2, 1_800), changes, MAX_CHANGES);
    assert_eq!((received.origin, received.changes.len()), (ChangeOrigin::Listing, 2));
    for known in others {
        known.apply_received(received.clone(), at(1_050)).expect("it was at the same version");
        assert_eq!(ids(known), ids(reader));
        assert!(!known.get(&name(7).as_str().into()).expect("known").is_ready());
        assert_eq!(known.drop_expired_rows(at(1_050 + GRACE_MS)).len(), 1, "it never came back");
    }
}
