use super::*;

#[test]
fn decode_rejects_changed_or_truncated_bytes() {
    let files = TreeFiles([("root.toml".to_string(), "deployment = \"a\"".to_string())].into());
    let mut bytes = Snapshot::new(Revision(1), files).encode();
    assert!(Snapshot::decode(&bytes).is_ok());
    let position = bytes
        .windows(3)
        .position(|window| window == b"dep")
        .expect("the encoding contains the file's text");
    bytes[position] = b'x';
    assert_eq!(Snapshot::decode(&bytes), Err(SnapshotError::BadChecksum(Revision(1))));
    assert!(Snapshot::decode(&bytes[..20]).is_err());
}
