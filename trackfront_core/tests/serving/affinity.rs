use trackfront_core::ids::BackendId;
use trackfront_core::serving::affinity::{PrefixIndex, prefixes};
use trackfront_core::serving::request::PromptPart;

use super::support::{at, item};

fn prompt(parts: &[(u64, u32)]) -> Vec<PromptPart> {
    parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect()
}

#[test]
fn only_a_shared_start_counts_as_cached() {
    let (mut index, id) = (PrefixIndex::default(), BackendId::from("x"));
    let model = item("m", None);
    index.record_prefill(&prefixes(&model, &prompt(&[(1, 100), (2, 50), (3, 10)])), &id, at(0));
    let cached = |index: &PrefixIndex, model, parts| {
        index.cached_tokens(&prefixes(model, &prompt(parts)), &id, at(1_000))
    };
    assert_eq!(cached(&index, &model, &[(1, 100), (2, 50), (9, 10)]), 150);
    assert_eq!(cached(&index, &model, &[(1, 100), (9, 50), (3, 10)]), 100);
    assert_eq!(cached(&index, &model, &[(2, 50), (1, 100)]), 0);
    assert_eq!(cached(&index, &item("m", Some("a1")), &[(1, 100)]), 0, "adapters differ");
    let other = prefixes(&model, &prompt(&[(1, 100)]));
    assert_eq!(index.cached_tokens(&other, &BackendId::from("y"), at(1_000)), 0);
}

#[test]
fn unused_prefix_expires() {
    let (mut index, id) = (PrefixIndex::default(), BackendId::from("x"));
    let found = prefixes(&item("m", None), &prompt(&[(1, 100)]));
    index.record_prefill(&found, &id, at(0));
    assert_eq!(index.cached_tokens(&found, &id, at(29_000)), 100);
    assert_eq!(index.cached_tokens(&found, &id, at(31_000)), 0);
}

#[test]
fn memory_is_bounded_and_drops_the_oldest() {
    let (mut index, id) = (PrefixIndex::default(), BackendId::from("x"));
    let model = item("m", None);
    for part in 0..50_000 {
        index.record_prefill(&prefixes(&model, &prompt(&[(part, 1)])), &id, at(0));
    }
    let kept = (0..50_000).filter(|part| {
        index.cached_tokens(&prefixes(&model, &prompt(&[(*part, 1)])), &id, at(0)) > 0
    });
    assert!(kept.count() <= 20_000);
    assert_eq!(index.cached_tokens(&prefixes(&model, &prompt(&[(49_999, 1)])), &id, at(0)), 1);
}
