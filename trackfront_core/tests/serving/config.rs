use trackfront_core::serving::config::{ConfigError, RouteKind, RouteTarget, ServingConfig};

use super::support::{limits, route, services};

#[test]
fn longest_matching_prefix_wins() {
    let routes = vec![route("short", "/a/", "s"), route("long", "/a/b/", "s")];
    let config = ServingConfig::new(1, routes, services(&["s"]), limits()).expect("valid");
    let name = |host: &str, path: &str| config.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("h", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("h", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("h", "/a").as_deref(), None, "a prefix includes its trailing slash");
    assert_eq!(name("other", "/a/b/c"), None);
}

#[test]
fn invalid_routes_are_rejected_by_cause() {
    let reject = |routes| ServingConfig::new(1, routes, services(&["s"]), limits()).unwrap_err();
    let unknown = reject(vec![route("r", "/a/", "missing")]);
    assert!(matches!(unknown, ConfigError::UnknownService { .. }), "{unknown}");
    assert!(unknown.to_string().contains("missing"));
    let prefix = reject(vec![route("r", "/a", "s")]);
    assert!(matches!(prefix, ConfigError::BadPrefix { .. }), "{prefix}");
    let same = reject(vec![route("r", "/a/", "s"), route("q", "/a/", "s")]);
    assert!(matches!(same, ConfigError::SameRoute { .. }), "{same}");
    let mut nowhere = route("r", "/a/", "s");
    nowhere.targets.clear();
    assert!(matches!(reject(vec![nowhere]), ConfigError::NoTarget { .. }));
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("r", "/a/", "s");
    split.targets = vec![
        RouteTarget { service: "s".into(), weight: 90 },
        RouteTarget { service: "t".into(), weight: 10 },
        RouteTarget { service: "none".into(), weight: 0 },
    ];
    let to = |service: &str| {
        (0..1_000u64).filter(|hash| split.service_for(*hash).as_str() == service).count()
    };
    assert_eq!((to("s"), to("t"), to("none")), (900, 100, 0));
}

#[test]
fn idempotence_follows_route_kind() {
    let mut one = route("r", "/a/", "s");
    assert!(one.is_idempotent());
    one.kind = RouteKind::Once;
    one.resumable = true;
    assert!(!one.is_idempotent());
    one.kind = RouteKind::Stream;
    assert!(one.is_idempotent());
    one.resumable = false;
    assert!(!one.is_idempotent());
}
