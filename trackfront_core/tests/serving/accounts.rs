use trackfront_core::accounts::{
    AccountError, AccountLimit, Accounts, ClientAccount, KeyHash, LimitUnit,
};
use trackfront_core::serving::config::{Authentication, ServingConfig};

use super::support::{limits, route, services};

fn account(name: &str, keys: &[&str]) -> ClientAccount {
    ClientAccount {
        name: name.into(),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        priority: None,
        limit: None,
        regions: None,
    }
}

fn limit(per_s: f64, burst: f64) -> Option<AccountLimit> {
    Some(AccountLimit { unit: LimitUnit::Tokens { plain: 200 }, per_s, burst })
}

#[test]
fn key_belongs_to_one_account() {
    let accounts = Accounts::new(vec![account("a", &["k1", "k2"]), account("b", &["k3"])]);
    let accounts = accounts.expect("valid");
    let holder = |key: &str| accounts.by_key(&KeyHash::of(key.as_bytes())).map(|a| a.name.clone());
    assert_eq!(holder("k2").expect("known").as_str(), "a");
    assert_eq!(holder("k3").expect("known").as_str(), "b");
    assert_eq!(holder("K3"), None);
    let shared = Accounts::new(vec![account("a", &["k1"]), account("b", &["k1"])]);
    assert!(matches!(shared, Err(AccountError::SharedKey { .. })));
    let again = Accounts::new(vec![account("a", &["k1", "k1"])]);
    assert!(again.is_ok(), "one account may list a key twice");
}

#[test]
fn invalid_limits_are_rejected() {
    for (per_s, burst) in [(-1.0, 0.0), (f64::INFINITY, 0.0), (f64::NAN, 1.0), (1.0, -1.0)] {
        let bad = ClientAccount { limit: limit(per_s, burst), ..account("a", &[]) };
        assert!(matches!(Accounts::new(vec![bad]), Err(AccountError::BadLimit { .. })));
    }
}

#[test]
fn request_costs_its_tokens_or_the_plain_amount() {
    let tokens = limit(1.0, 1.0).expect("there");
    assert_eq!(tokens.units(Some(2_400)), 2_400.0);
    assert_eq!(tokens.units(None), 200.0);
    let requests = AccountLimit { unit: LimitUnit::Requests, ..tokens };
    assert_eq!(requests.units(Some(2_400)), 1.0);
}

#[test]
fn only_public_routes_need_no_key() {
    let mut open = route("open", "/open/", "s");
    open.public = true;
    let routes = vec![route("closed", "/closed/", "s"), open];
    let config = ServingConfig::new(1, routes, services(&["s"]), limits()).expect("valid");
    let key = KeyHash::of(b"k1");
    let authenticate = |config: &ServingConfig, path: &str, key: Option<&KeyHash>| {
        config.authenticate(config.route("h", path).expect("a route"), key)
    };
    assert_eq!(
        authenticate(&config, "/closed/x", None),
        Authentication::Anonymous,
        "there are no accounts"
    );
    let accounts = Accounts::new(vec![account("a", &["k1"])]).expect("valid");
    let config = config.with_accounts(Some(accounts));
    assert_eq!(authenticate(&config, "/closed/x", None), Authentication::UnknownKey);
    assert_eq!(
        authenticate(&config, "/closed/x", Some(&KeyHash::of(b"k2"))),
        Authentication::UnknownKey
    );
    assert!(matches!(authenticate(&config, "/closed/x", Some(&key)), Authentication::Account(_)));
    assert_eq!(authenticate(&config, "/open/x", None), Authentication::Anonymous);
    assert!(matches!(authenticate(&config, "/open/x", Some(&key)), Authentication::Account(_)));
    let without_keys = config.with_accounts(Some(Accounts::default()));
    assert_eq!(authenticate(&without_keys, "/closed/x", Some(&key)), Authentication::UnknownKey);
}

#[test]
fn debug_output_hides_keys_and_hashes() {
    let shown = format!("{:?}", account("a", &["k1"]));
    assert!(!shown.contains("k1") && !shown.contains(&KeyHash::of(b"k1").to_hex()), "{shown}");
}
