use super::*;

#[test]
fn a_route_covers_its_path_and_all_below() {
    let route = Route { method: None, path: "/bookings".into(), repeatable: false };
    assert!(route.fits("POST", "/bookings"));
    assert!(route.fits("POST", "/bookings/7"));
    assert!(!route.fits("POST", "/bookingsx"));
}
