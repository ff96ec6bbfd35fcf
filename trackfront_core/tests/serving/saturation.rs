use trackfront_core::ids::ServiceName;
use trackfront_core::serving::saturation::Saturation;

use super::support::at;

#[test]
fn the_share_follows_refusals_and_forgets_them() {
    let (mut crowding, text, plain) =
        (Saturation::default(), ServiceName::from("text"), ServiceName::from("plain"));
    assert_eq!(crowding.refused_fraction(&text, at(0)), 0.0);
    crowding.count(&text, true, at(0));
    assert!(crowding.refused_fraction(&text, at(0)) < 0.25, "one refusal is no crowd");
    for _ in 0..100 {
        crowding.count(&text, true, at(100));
        crowding.count(&text, false, at(100));
    }
    let crowded = crowding.refused_fraction(&text, at(100));
    assert!((0.45..0.55).contains(&crowded), "{crowded}");
    assert_eq!(crowding.refused_fraction(&plain, at(100)), 0.0, "services are counted apart");
    assert!(crowding.refused_fraction(&text, at(10_100)) < 0.05);
}
