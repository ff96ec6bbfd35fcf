use super::*;

#[test]
fn only_a_shared_start_shares_hashes() {
    let one = block_hashes(&[b'a'; BLOCK_BYTES * 3]);
    let mut other = vec![b'a'; BLOCK_BYTES * 3];
    other[BLOCK_BYTES] = b'b';
    let other = block_hashes(&other);
    assert_eq!(one[0], other[0]);
    assert_ne!(one[1], other[1]);
    assert_ne!(one[2], other[2]);
}

#[test]
fn the_memory_is_bounded_and_evictions_are_heard() {
    let memory = PrefixMemory::default();
    let engine = BackendId::from("e");
    for block in 0..200_000 {
        memory.sent(&[block], &engine, Moment::default());
    }
    let kept: usize = memory.shards.iter().map(|shard| shard.lock().len()).sum();
    assert!(kept <= MAX_REMEMBERED);
    assert_eq!(memory.longest(&[7, 199_999]), Some((engine.clone(), 2)));
    memory.evicted(199_999, &"other".into());
    memory.evicted(199_999, &engine);
    assert_eq!(memory.longest(&[199_999]), None);
}
