use trackfront_core::serving::halls::{Evacuations, HallStatus};
use trackfront_core::store_version::StoreVersion;

use super::support::at;

fn status(hall: &str, version: u64, is_evacuated: bool) -> HallStatus {
    HallStatus { hall: hall.into(), version: version.into(), is_evacuated }
}

/// Applies the statuses of three halls twice and in different orders: the result must be the same.
#[test]
fn statuses_converge_in_any_order() {
    let statuses = [
        status("a", 3, true),
        status("b", 4, true),
        status("a", 6, false),
        status("c", 8, true),
        status("b", 9, false),
        status("a", 11, true),
    ];
    let mut expected = Evacuations::default();
    statuses.iter().for_each(|status| {
        expected.apply(status, at(0));
    });
    for rotation in 0..statuses.len() {
        for step in [1, 5] {
            let mut box_ = Evacuations::default();
            for index in 0..2 * statuses.len() {
                box_.apply(&statuses[(rotation + index * step) % statuses.len()], at(0));
            }
            assert_eq!(box_.statuses(), expected.statuses(), "from {rotation} by {step}");
        }
    }
    assert!(expected.is_evacuated(&"a".into()) && expected.is_evacuated(&"c".into()));
    assert!(!expected.is_evacuated(&"b".into()));
}

#[test]
fn listing_reopens_missing_halls_unless_their_rows_are_newer() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(&status("a", 3, true), at(0));
    evacuations.apply(&status("b", 9, true), at(0));
    let statuses = evacuations.statuses_from_listing(vec![status("c", 5, true)], 7.into(), at(50));
    let changes = statuses.iter().filter(|status| evacuations.apply(status, at(50))).count();
    assert_eq!(changes, 2, "a is reopened, c is evacuated");
    assert!(!evacuations.is_evacuated(&"a".into()));
    assert!(evacuations.is_evacuated(&"b".into()), "its row was written after the listing");
    assert!(evacuations.is_evacuated(&"c".into()));
    assert_eq!(evacuations.reopened_at(&"a".into()), Some(at(50)));
    assert_eq!(evacuations.reopened_at(&"b".into()), None);
}

/// Guards against requests to an evacuated hall whose row the restored store lacks until the operator writes it again,
/// and against a hall that stays evacuated for ever.
#[test]
fn evacuated_hall_that_the_copy_lacks_is_reopened_only_after_a_while() {
    let mut evacuations = Evacuations::default();
    let version = |era, number| StoreVersion::new(era, number);
    evacuations.statuses_from_listing(Vec::new(), version(1, 20), at(0));
    let evacuated = HallStatus { version: version(1, 30), ..status("a", 0, true) };
    evacuations.apply(&evacuated, at(500));
    let restored = evacuations.statuses_from_listing(Vec::new(), version(2, 22), at(1_000));
    assert_eq!(restored, []);
    assert!(!evacuations.take_relisting(at(10_900)));
    assert!(evacuations.take_relisting(at(11_000)));
    let statuses = evacuations.statuses_from_listing(Vec::new(), version(2, 40), at(11_000));
    statuses.iter().for_each(|status| assert!(evacuations.apply(status, at(11_000))));
    assert!(!evacuations.is_evacuated(&"a".into()));
}
