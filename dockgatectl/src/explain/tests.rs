use super::*;

const LOG: &str = r#"
{"at_ms":90,"level":"INFO","box":"a","event":{"event":"routes_in_force","old":1,"version":4}}
{"at_ms":95,"level":"INFO","box":"b","event":{"event":"routes_in_force","old":1,"version":3}}
{"at_ms":96,"level":"INFO","box":"a","event":{"event":"endpoint_ready","endpoint":"e1"}}
{"at_ms":98,"level":"INFO","box":"a","event":{"event":"endpoint_draining","endpoint":"e5"}}
{"at_ms":94,"level":"INFO","box":"a","event":{"event":"domain_evacuated","domain":"d1","revision":5}}
{"at_ms":95,"level":"INFO","box":"a","event":{"event":"domain_evacuated","domain":"d2","revision":6}}
{"at_ms":97,"level":"INFO","box":"a","event":{"event":"endpoint_ready","endpoint":"e7"}}
  1.25 a {"at_ms":120,"level":"INFO","box":"a","event":{"event":"refused","request":"r1","status":502,"asked":[{"endpoint":"e5"}]}}
{"at_ms":100,"level":"INFO","box":"a","event":{"event":"sent","request":"r1","endpoint":"e1","expected_ms":null}}
{"at_ms":101,"level":"INFO","box":"a","event":{"event":"sent","request":"r2","endpoint":"e7"}}
{"at_ms":110,"level":"INFO","box":"a","event":{"event":"send_failed","request":"r1","endpo
not a log line {"at_ms":1}
{"at_ms":130,"level":"INFO","box":"a","event":{"event":"store_lost","step":"op/config"}}
"#;

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

#[test]
fn timeline_has_the_request_lines_and_the_state_before() {
    let timeline = explain("r1", &lines(LOG)).unwrap();
    let (before, request) = timeline.split_once("the request:").unwrap();
    assert!(before.contains("version=4") && before.contains("endpoint=e1"));
    assert!(
        before.contains("endpoint=e5"),
        "state of an engine that was asked for admission is shown"
    );
    assert!(
        !before.contains("version=3"),
        "state of an uninvolved box is not shown"
    );
    assert!(!before.contains("e7") && !before.contains("store_lost"));
    assert!(before.contains("domain=d1") && before.contains("domain=d2"));
    let (sent, refused) = (
        request.find("sent").unwrap(),
        request.find("refused").unwrap(),
    );
    assert!(sent < refused && request.contains("status=502"));
    assert!(!request.contains("r2") && !request.contains("expected_ms"));
}

#[test]
fn timeline_does_not_depend_on_the_order_of_lines() {
    let mut shuffled: Vec<&str> = LOG.lines().collect();
    shuffled.reverse();
    assert_eq!(
        explain("r1", &lines(LOG)),
        explain("r1", &lines(&shuffled.join("\n")))
    );
}

#[test]
fn unknown_request_has_no_timeline() {
    assert_eq!(explain("r9", &lines(LOG)), None);
    assert_eq!(explain("r1", &lines("half a li")), None);
}

/// Guards against a stream whose earlier and later requests are not found from each other's ids.
#[test]
fn timeline_has_all_requests_of_a_stream() {
    const CHAIN: &str = r#"
{"at_ms":100,"level":"INFO","box":"a","event":{"event":"sent","request":"s1","endpoint":"e1"}}
{"at_ms":110,"level":"INFO","box":"b","event":{"event":"taken_up","request":"s2","resumes":"s1"}}
{"at_ms":120,"level":"INFO","box":"c","event":{"event":"taken_up","request":"s3","resumes":"s1"}}
{"at_ms":130,"level":"INFO","box":"c","event":{"event":"taken_up","request":"s5","resumes":"s4"}}
"#;
    for id in ["s1", "s2", "s3"] {
        let timeline = explain(id, &lines(CHAIN)).unwrap();
        let found = ["s1", "s2", "s3", "s5"].map(|id| timeline.contains(&format!("request={id}")));
        assert_eq!(found, [true, true, true, false], "from {id}");
    }
}
