use super::*;

#[test]
fn hashes_are_equal_only_up_to_the_first_difference() {
    let one = block_hashes(&[b'a'; BLOCK_BYTES * 3]);
    let mut other = vec![b'a'; BLOCK_BYTES * 3];
    other[BLOCK_BYTES] = b'b';
    let other = block_hashes(&other);
    assert_eq!(one[0], other[0]);
    assert_ne!(one[1], other[1]);
    assert_ne!(one[2], other[2]);
}

/// Guards against an index that grows without bound, and against one that ignores evictions.
#[test]
fn index_is_bounded_and_applies_evictions() {
    let index = PrefixIndex::default();
    let engine = BackendId::from("e");
    for block in 0..200_000 {
        index.record_send(&[block], &engine, Moment::default());
    }
    let kept: usize = index.shards.iter().map(|shard| shard.lock().len()).sum();
    assert!(kept <= MAX_INDEXED_BLOCKS);
    assert_eq!(index.longest_match(&[7, 199_999]), Some((engine.clone(), 2)));
    index.record_eviction(199_999, &"other".into());
    index.record_eviction(199_999, &engine);
    assert_eq!(index.longest_match(&[199_999]), None);
}
