use super::*;

#[test]
fn codes_are_serialized_as_their_name() {
    for code in RefusalCode::ALL {
        let text = serde_json::to_string(code).unwrap();
        assert_eq!(text, format!("\"{}\"", code.as_str()));
    }
}
