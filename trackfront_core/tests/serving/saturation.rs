use trackfront_core::ids::ServiceName;
use trackfront_core::serving::saturation::Saturation;

use super::support::at;

#[test]
fn refused_fraction_follows_refusals_and_decays() {
    let (mut saturation, text, plain) =
        (Saturation::default(), ServiceName::from("text"), ServiceName::from("plain"));
    assert_eq!(saturation.refused_fraction(&text, at(0)), 0.0);
    saturation.count(&text, true, at(0));
    assert!(saturation.refused_fraction(&text, at(0)) < 0.25, "one refusal is no saturation");
    for _ in 0..100 {
        saturation.count(&text, true, at(100));
        saturation.count(&text, false, at(100));
    }
    let fraction = saturation.refused_fraction(&text, at(100));
    assert!((0.45..0.55).contains(&fraction), "{fraction}");
    assert_eq!(saturation.refused_fraction(&plain, at(100)), 0.0, "services are counted apart");
    assert!(saturation.refused_fraction(&text, at(10_100)) < 0.05);
}
