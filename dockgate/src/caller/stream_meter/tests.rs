use super::*;

const RULE: CostRule = CostRule {
    input_weight: 0.5,
    output_weight: 1.0,
    slot_ms_weight: 1.0,
};

#[test]
fn a_stream_is_measured_however_it_is_cut() {
    let text = "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":8,\
        \"completion_tokens\":3}}\n\ndata: [DONE]\n\n";
    for size in 1..text.len() {
        let mut meter = StreamMeter::default();
        for part in text.as_bytes().chunks(size) {
            meter.feed(part);
        }
        assert!(meter.is_done());
        assert_eq!(meter.cost(&RULE), 7.0);
    }
}

#[test]
fn events_count_where_usage_is_not_told() {
    let mut meter = StreamMeter::default();
    meter.feed(b"data: {}\r\n\r\n: note\n\ndata: {}\n\n");
    assert_eq!(meter.cost(&RULE), 2.0);
    assert!(!meter.is_done());
}

#[test]
fn whole_answers_tell_their_usage() {
    let body = br#"{"usage":{"prompt_tokens":2,"completion_tokens":5}}"#;
    assert_eq!(whole_cost(body, &RULE), 6.0);
    assert_eq!(whole_cost(b"nonsense", &RULE), 2.0);
}
