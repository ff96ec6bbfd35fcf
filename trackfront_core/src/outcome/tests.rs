use super::*;

#[test]
fn near_matches_are_named() {
    let error = RequestError::UnknownModel { name: "lama".into(), nearest: vec!["lima".into()] };
    assert!(error.to_string().contains("(near: lima)"));
    assert_eq!(error.outcome(), Outcome::NotRun);
}
