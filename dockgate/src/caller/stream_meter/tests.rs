use super::*;

const RULE: CostRule = CostRule {
    input_weight: 0.5,
    output_weight: 1.0,
    slot_ms_weight: 1.0,
};

#[test]
fn stream_cost_does_not_depend_on_chunk_boundaries() {
    let text = "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":8,\
        \"completion_tokens\":3}}\n\ndata: [DONE]\n\n";
    for size in 1..text.len() {
        let mut meter = StreamMeter::default();
        for chunk in text.as_bytes().chunks(size) {
            meter.feed(chunk);
        }
        assert!(meter.is_done());
        assert_eq!(meter.cost(&RULE), 7.0);
    }
}

#[test]
fn stream_without_usage_costs_its_events() {
    let mut meter = StreamMeter::default();
    meter.feed(b"data: {}\r\n\r\n: note\n\ndata: {}\n\n");
    assert_eq!(meter.cost(&RULE), 2.0);
    assert!(!meter.is_done());
}

#[test]
fn buffered_cost_uses_reported_usage_or_body_length() {
    let body = br#"{"usage":{"prompt_tokens":2,"completion_tokens":5}}"#;
    assert_eq!(buffered_cost(body, &RULE), 6.0);
    assert_eq!(buffered_cost(b"nonsense", &RULE), 2.0);
}
