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
fn a_part_counts_only_behind_the_same_parts() {
    let mut cache = PrefixCache::default();
    cache.insert(&parts(&[1, 2, 3]), 1_000);
    assert_eq!(cache.cached_tokens(&parts(&[1, 2, 9])), 200);
    assert_eq!(cache.cached_tokens(&parts(&[2, 3])), 0);
}

#[test]
fn what_was_unused_longest_gives_way_from_the_end_of_its_chain() {
    let mut cache = PrefixCache::default();
    cache.insert(&parts(&[1, 2]), 300);
    cache.insert(&parts(&[5]), 300);
    cache.insert(&parts(&[6]), 300);
    assert_eq!(
        cache.cached_tokens(&parts(&[1, 2])),
        100,
        "the end has given way, not the start"
    );
    assert_eq!(cache.tokens(), 300);
}

proptest! {
    #[test]
    fn it_never_holds_more_than_its_capacity(
        reads in prop::collection::vec(prop::collection::vec(0_u64..20, 1..5), 1..200),
        capacity in 0_u64..2_000,
    ) {
        let mut cache = PrefixCache::default();
        for read in reads {
            cache.insert(&parts(&read), capacity);
            prop_assert!(cache.tokens() <= capacity);
            let sum: u64 = cache.parts.values().map(|part| u64::from(part.tokens)).sum();
            prop_assert_eq!(sum, cache.tokens());
            prop_assert_eq!(cache.by_use.len(), cache.parts.len());
        }
    }
}
