use super::*;

#[test]
fn similar_names_are_listed() {
    let error = RequestError::UnknownModel { name: "lama".into(), nearest: vec!["lima".into()] };
    assert!(error.to_string().contains("(near: lima)"));
    assert_eq!(error.outcome(), Outcome::NotRun);
}
