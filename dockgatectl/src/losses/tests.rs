use super::*;

fn line(event: &str) -> LogLine {
    let text = format!(r#"{{"at_ms":1,"box":"a","event":{{{event}}}}}"#);
    LogLine::parse(&text).unwrap()
}

#[test]
fn losses_are_listed_in_their_table() {
    let lines = [
        line(
            r#""event":"refused","request":"r1","route":"x","reason":"beyond_share",
            "asked":[{"first_event_ms":90},{"first_event_ms":70}]"#,
        ),
        line(r#""event":"refused","request":"r2","route":"x","reason":"beyond_share","asked":[]"#),
        line(r#""event":"sent","request":"r3","attempt":1,"expected_ms":120"#),
        line(r#""event":"answered","request":"r3","attempts":1,"first_ms":150"#),
        line(r#""event":"answered","request":"r4","attempts":1,"first_ms":150"#),
        line(r#""event":"send_failed","request":"r5","problem":"timed out","took_ms":250"#),
    ];
    let text = loss_report(&lines);
    let row = |name: &str| {
        let row = text.lines().find(|row| row.starts_with(name)).unwrap();
        let figures = row[name.len()..].split_whitespace();
        figures
            .map(|figure| figure.parse().unwrap())
            .collect::<Vec<i64>>()
    };
    assert_eq!(row("beyond_share x"), [2, 0, 70, 70]);
    assert_eq!(row("expected after  100 to 150 ms"), [1, 30, 30, 30]);
    assert_eq!(row("send_failed: timed out"), [1, 250, 250, 250]);
}

#[test]
fn buckets_have_no_gap() {
    let names = [0, 49, 50, 599, 600, 90_000].map(bucket_name);
    let ends = [
        "   0 to 50",
        "   0 to 50",
        "  50 to 100",
        " 300 to 600",
        " 600 to ",
        " 600 to ",
    ];
    assert_eq!(names, ends.map(|end| format!("expected after {end} ms")));
}
