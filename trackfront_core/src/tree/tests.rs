use super::*;

#[test]
fn route_matches_path_and_subpaths() {
    let route = Route { method: None, path: "/bookings".into(), repeatable: false };
    assert!(route.matches("POST", "/bookings"));
    assert!(route.matches("POST", "/bookings/7"));
    assert!(!route.matches("POST", "/bookingsx"));
}
