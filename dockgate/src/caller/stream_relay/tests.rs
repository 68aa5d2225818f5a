use super::*;

#[test]
fn only_complete_events_are_relayed() {
    let mut pending = BytesMut::from(&b"data: 1\n\ndata: 2\n\ndata: 3"[..]);
    assert_eq!(take_events(&mut pending).unwrap(), "data: 1\n\ndata: 2\n\n");
    assert_eq!(take_events(&mut pending), None);
    pending.extend_from_slice(b"\r\n\r\n");
    assert_eq!(take_events(&mut pending).unwrap(), "data: 3\r\n\r\n");
    assert!(pending.is_empty());
}

#[test]
fn resumed_body_names_the_relayed_events() {
    let body = Bytes::from_static(br#"{"model":"m","stream":true}"#);
    let value: serde_json::Value = serde_json::from_slice(&resumed_body(&body, 7)).unwrap();
    assert_eq!(
        (value["resume_from"].as_u64(), value["model"].as_str()),
        (Some(7), Some("m"))
    );
}
