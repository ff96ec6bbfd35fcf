use super::*;

#[test]
fn a_changed_byte_is_found() {
    let files = TreeFiles([("root.toml".to_string(), "deployment = \"a\"".to_string())].into());
    let mut bytes = Snapshot::new(Revision(1), files).encode();
    assert!(Snapshot::decode(&bytes).is_ok());
    let place = bytes.windows(3).position(|window| window == b"dep").expect("it is there");
    bytes[place] = b'x';
    assert_eq!(Snapshot::decode(&bytes), Err(SnapshotError::BadChecksum(Revision(1))));
    assert!(Snapshot::decode(&bytes[..20]).is_err());
}
