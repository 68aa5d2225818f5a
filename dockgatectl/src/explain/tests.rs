use super::*;

const LOG: &str = r#"
{"at_ms":90,"level":"INFO","box":"a","event":{"event":"routes_in_force","old":1,"version":4}}
{"at_ms":95,"level":"INFO","box":"b","event":{"event":"routes_in_force","old":1,"version":3}}
{"at_ms":96,"level":"INFO","box":"a","event":{"event":"endpoint_ready","endpoint":"e1"}}
{"at_ms":98,"level":"INFO","box":"a","event":{"event":"endpoint_draining","endpoint":"e5"}}
{"at_ms":97,"level":"INFO","box":"a","event":{"event":"endpoint_ready","endpoint":"e7"}}
  1.25 a {"at_ms":120,"level":"INFO","box":"a","event":{"event":"refused","request":"r1","status":502,"asked":[{"endpoint":"e5"}]}}
{"at_ms":100,"level":"INFO","box":"a","event":{"event":"sent","request":"r1","endpoint":"e1","expected_ms":null}}
{"at_ms":101,"level":"INFO","box":"a","event":{"event":"sent","request":"r2","endpoint":"e7"}}
{"at_ms":110,"level":"INFO","box":"a","event":{"event":"send_failed","request":"r1","endpo
not a log line {"at_ms":1}
{"at_ms":130,"level":"INFO","box":"a","event":{"event":"store_lost","step":"op/config"}}
"#;

fn lines(text: &str) -> Vec<StoryLine> {
    text.lines().filter_map(StoryLine::parse).collect()
}

#[test]
fn a_story_has_the_requests_lines_in_order_and_what_was_believed_before() {
    let story = explain("r1", &lines(LOG)).unwrap();
    let (before, request) = story.split_once("the request:").unwrap();
    assert!(before.contains("version=4") && before.contains("endpoint=e1"));
    assert!(
        before.contains("endpoint=e5"),
        "an engine that was asked is concerned"
    );
    assert!(
        !before.contains("version=3"),
        "another box is not concerned"
    );
    assert!(!before.contains("e7") && !before.contains("store_lost"));
    let (sent, refused) = (
        request.find("sent").unwrap(),
        request.find("refused").unwrap(),
    );
    assert!(sent < refused && request.contains("status=502"));
    assert!(!request.contains("r2") && !request.contains("expected_ms"));
}

#[test]
fn the_order_of_lines_makes_no_difference() {
    let mut shuffled: Vec<&str> = LOG.lines().collect();
    shuffled.reverse();
    assert_eq!(
        explain("r1", &lines(LOG)),
        explain("r1", &lines(&shuffled.join("\n")))
    );
}

#[test]
fn a_request_that_no_line_names_has_no_story() {
    assert_eq!(explain("r9", &lines(LOG)), None);
    assert_eq!(explain("r1", &lines("half a li")), None);
}
