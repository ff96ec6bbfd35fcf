use trackfront_core::store_version::StoreVersion;

/// Guards against versions that are compared across a restoration of the store, which gives them out again.
#[test]
fn any_version_of_a_later_era_is_newer() {
    let versions = [(0, 0), (0, 9), (1, 0), (1, 200), (2, 0), (2, 3), (2, 200)];
    let versions = versions.map(|(era, number)| StoreVersion::new(era, number));
    assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
    assert_eq!(StoreVersion::new(2, 3).next(), StoreVersion::new(2, 4));
    assert_eq!((versions[5].era(), versions[5].number()), (2, 3));
    assert_eq!(StoreVersion::from_bits(versions[5].to_bits()), versions[5]);
}

/// Guards against boxes of the release before that cannot read versions: those of a store without eras are encoded as
/// plain numbers.
#[test]
fn versions_without_an_era_are_encoded_as_numbers() {
    let version = StoreVersion::from(130);
    assert_eq!(serde_json::to_string(&version).expect("encodes"), "130");
    assert_eq!(version.to_string(), "130");
    assert_eq!(StoreVersion::new(2, 130).to_string(), "2.130");
}

#[test]
fn parts_that_do_not_fit_are_reduced() {
    let version = StoreVersion::new(u64::MAX, u64::MAX);
    assert_eq!(version.era(), StoreVersion::MAX_ERA);
    assert!(version > StoreVersion::new(2, 3));
}

#[test]
fn only_rows_of_a_later_era_with_no_larger_number_may_precede() {
    let known = StoreVersion::new(1, 20);
    assert!(StoreVersion::new(2, 20).may_precede(known));
    assert!(!StoreVersion::new(2, 21).may_precede(known));
    assert!(!StoreVersion::new(1, 20).may_precede(known));
}
