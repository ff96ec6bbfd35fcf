use std::collections::BTreeSet;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::adapter_use::AdapterUse;

use super::support::{at, item};

#[test]
fn adapters_are_in_use_until_the_last_request_ends() {
    let mut adapters = AdapterUse::default();
    let (server, first) = (BackendId::from("x"), item("m", Some("a1")));
    adapters.begin(&server, &first);
    adapters.begin(&server, &first);
    adapters.begin(&server, &item("m", None));
    adapters.end(&server, &first);
    let expected = BTreeSet::from([first.clone()]);
    assert_eq!(adapters.by_server(at(0)).get(&server), Some(&expected));
    adapters.end(&server, &first);
    adapters.end(&server, &item("m", None));
    assert!(adapters.by_server(at(0)).is_empty());
}

#[test]
fn peer_reports_expire_and_are_replaced() {
    let mut adapters = AdapterUse::default();
    let (server, first, second) = ("x".into(), item("m", Some("a1")), item("m", Some("a2")));
    adapters.apply_peer_report(1, BTreeSet::from([(BackendId::from("x"), first.clone())]), at(0));
    adapters.apply_peer_report(
        2,
        BTreeSet::from([(BackendId::from("x"), second.clone())]),
        at(1_500),
    );
    assert_eq!(adapters.by_server(at(1_600))[&server], BTreeSet::from([first, second.clone()]));
    assert_eq!(adapters.by_server(at(2_500))[&server], BTreeSet::from([second]));
    adapters.apply_peer_report(2, BTreeSet::new(), at(2_600));
    assert!(adapters.by_server(at(2_700)).is_empty());
}
