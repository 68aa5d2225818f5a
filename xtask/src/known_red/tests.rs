use super::*;

#[test]
fn entries_need_all_four_fields() {
    let names =
        parse("a::b | cargo test a::b | late | issue 7\nc | cargo test c | lost | issue 8\n");
    assert_eq!(names, Ok(vec!["a::b".to_owned(), "c".to_owned()]));
    assert_eq!(parse(""), Ok(Vec::new()));
    assert!(parse("a::b | cargo test a::b | issue 7\n").is_err());
    assert!(parse("a | b | c | \n").is_err());
}

#[test]
fn too_many_entries_are_an_error() {
    let line = "a | b | c | d\n";
    assert!(parse(&line.repeat(8)).is_ok());
    assert!(parse(&line.repeat(9)).is_err());
}

/// Guards against documentation tests that are filtered out by the words of an entry.
#[test]
fn names_in_words_are_not_passed_to_the_harness() {
    assert!(is_harness_name("gateway::tests::answers"));
    assert!(!is_harness_name("a day on a deployment"));
}
