use super::*;

#[test]
fn a_key_is_never_printed() {
    let key = DeploymentKey::new("0123456789abcdef").expect("long enough");
    assert!(!format!("{key:?}").contains("0123"));
    assert!(DeploymentKey::new("short").is_err());
}
