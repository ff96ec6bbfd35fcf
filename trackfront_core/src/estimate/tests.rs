use super::*;

#[test]
fn line_fits_its_samples() {
    let mut line = Line::default();
    for x in 0..100 {
        line.add(f64::from(x % 10), 5.0 + 2.0 * f64::from(x % 10));
    }
    let value = line.at(20.0).expect("there are samples");
    assert!((value - 45.0).abs() < 0.01, "{value}");
}
