use super::*;

#[test]
fn codes_are_written_as_they_are_named() {
    for code in RefusalCode::ALL {
        let text = serde_json::to_string(code).unwrap();
        assert_eq!(text, format!("\"{}\"", code.as_str()));
    }
}
