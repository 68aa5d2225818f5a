use super::*;

#[test]
fn each_line_names_a_test_its_cause_and_its_issue() {
    let names = parse("a::b | the clock | issue 7\nc | a race | issue 8\n");
    assert_eq!(names, Ok(vec!["a::b".to_owned(), "c".to_owned()]));
    assert_eq!(parse(""), Ok(Vec::new()));
    assert!(parse("a::b | the clock\n").is_err());
    assert!(parse("a | b | \n").is_err());
}

#[test]
fn a_list_that_nobody_mends_is_an_error() {
    let line = "a | b | c\n";
    assert!(parse(&line.repeat(3)).is_ok());
    assert!(parse(&line.repeat(4)).is_err());
}
