use super::*;

const ENDPOINT: EndpointId = EndpointId(1);

fn prompt(ids: impl IntoIterator<Item = u64>) -> Vec<PromptPart> {
    ids.into_iter()
        .map(|id| PromptPart { id, tokens: 1 })
        .collect()
}

#[test]
fn the_parts_of_most_prompts_come_first_and_are_bounded() {
    let mut parts = InterruptedParts::default();
    for number in 0..40 {
        parts.note(ENDPOINT, &prompt([0x100 + number, 0x5c1e, 0x5c1e]), 10);
    }
    let logged = parts.most_frequent(ENDPOINT);
    assert_eq!(
        (logged.len(), &logged[..2]),
        (16, &["5c1e".to_owned(), "100".to_owned()][..])
    );
    assert!(parts.most_frequent(EndpointId(2)).is_empty());
    parts.expire(10_010);
    assert!(parts.most_frequent(ENDPOINT).is_empty());
}

#[test]
fn a_line_names_each_part_once() {
    assert_eq!(part_names(&prompt([0xa, 0xa, 0xb])), ["a", "b"]);
    assert_eq!(part_names(&prompt(0..1_000)).len(), 16);
}
