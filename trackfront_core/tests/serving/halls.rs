use trackfront_core::serving::halls::{Evacuations, HallStatus};

use super::support::at;

fn word(hall: &str, version: u64, is_evacuated: bool) -> HallStatus {
    HallStatus { hall: hall.into(), version, is_evacuated }
}

/// Words of three halls in any order, twice, leave every box with the same.
#[test]
fn boxes_that_hear_the_same_words_in_any_order_agree() {
    let words = [
        word("a", 3, true),
        word("b", 4, true),
        word("a", 6, false),
        word("c", 8, true),
        word("b", 9, false),
        word("a", 11, true),
    ];
    let mut expected = Evacuations::default();
    words.iter().for_each(|word| {
        expected.apply(word, at(0));
    });
    for rotation in 0..words.len() {
        for step in [1, 5] {
            let mut box_ = Evacuations::default();
            for place in 0..2 * words.len() {
                box_.apply(&words[(rotation + place * step) % words.len()], at(0));
            }
            assert_eq!(box_.statuses(), expected.statuses(), "from {rotation} by {step}");
        }
    }
    assert!(expected.is_evacuated(&"a".into()) && expected.is_evacuated(&"c".into()));
    assert!(!expected.is_evacuated(&"b".into()));
}

#[test]
fn a_listing_ends_what_it_lacks_unless_that_is_newer() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(&word("a", 3, true), at(0));
    evacuations.apply(&word("b", 9, true), at(0));
    let words = evacuations.statuses_from_listing(vec![word("c", 5, true)], 7);
    let changes = words.iter().filter(|word| evacuations.apply(word, at(50))).count();
    assert_eq!(changes, 2, "a is used again, c is emptied");
    assert!(!evacuations.is_evacuated(&"a".into()));
    assert!(evacuations.is_evacuated(&"b".into()), "its row was written after the listing");
    assert!(evacuations.is_evacuated(&"c".into()));
    assert_eq!(evacuations.reopened_at(&"a".into()), Some(at(50)));
    assert_eq!(evacuations.reopened_at(&"b".into()), None);
}
