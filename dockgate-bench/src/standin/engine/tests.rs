use super::*;

#[test]
fn cached_prefixes_are_not_prefilled_again() {
    let mut cache = PrefixCache::default();
    let prompt = "x".repeat(640);
    assert_eq!(cache.missing_tokens(&prompt, 100), 160);
    assert_eq!(cache.missing_tokens(&prompt, 100), 0);
    assert_eq!(cache.missing_tokens(&format!("{prompt}yyyy"), 100), 1);
    assert_eq!(cache.missing_tokens(&"z".repeat(64), 0), 16);
    assert_eq!(
        cache.missing_tokens(&prompt, 0),
        160,
        "all blocks were evicted"
    );
}
