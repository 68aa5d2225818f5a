use super::*;
use proptest::prelude::*;

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter()
        .map(|id| PromptPart {
            id: *id,
            tokens: 100,
        })
        .collect()
}

#[test]
fn part_is_cached_only_after_the_same_parts() {
    let mut cache = PrefixCache::default();
    cache.insert(&parts(&[1, 2, 3]), 1_000);
    assert_eq!(cache.cached_tokens(&parts(&[1, 2, 9])), 200);
    assert_eq!(cache.cached_tokens(&parts(&[2, 3])), 0);
}

#[test]
fn least_recently_used_chain_is_evicted_from_its_end() {
    let mut cache = PrefixCache::default();
    cache.insert(&parts(&[1, 2]), 300);
    cache.insert(&parts(&[5]), 300);
    cache.insert(&parts(&[6]), 300);
    assert_eq!(
        cache.cached_tokens(&parts(&[1, 2])),
        100,
        "the end is evicted, not the start"
    );
    assert_eq!(cache.tokens(), 300);
}

proptest! {
    #[test]
    fn capacity_is_never_exceeded(
        prompts in prop::collection::vec(prop::collection::vec(0_u64..20, 1..5), 1..200),
        capacity in 0_u64..2_000,
    ) {
        let mut cache = PrefixCache::default();
        for prompt in prompts {
            cache.insert(&parts(&prompt), capacity);
            prop_assert!(cache.tokens() <= capacity);
            let sum: u64 = cache.parts.values().map(|part| u64::from(part.tokens)).sum();
            prop_assert_eq!(sum, cache.tokens());
            prop_assert_eq!(cache.by_use.len(), cache.parts.len());
        }
    }
}
