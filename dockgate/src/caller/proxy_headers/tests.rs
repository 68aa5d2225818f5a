use super::*;
use http::HeaderValue;

#[test]
fn private_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-secret"),
        ("x-secret", "1"),
        ("transfer-encoding", "chunked"),
        ("authorization", "Bearer key"),
        ("dockgate-workspace", "another"),
        ("accept", "text/plain"),
    ] {
        let name: HeaderName = name.parse().unwrap();
        headers.insert(name, HeaderValue::from_static(value));
    }
    sanitize_request_headers(&mut headers);
    assert_eq!(headers.len(), 1);
    assert!(headers.contains_key(header::ACCEPT));
}
