use super::*;
use yare::parameterized;

#[parameterized(
    right = { "Bearer s3cret", true },
    lower = { "bearer s3cret", true },
    wrong = { "Bearer other", false },
    prefix = { "Bearer s3cre", false },
    basic = { "Basic s3cret", false },
    bare = { "s3cret", false },
)]
fn only_the_bearer_secret_is_accepted(value: &str, accepted: bool) {
    let mut headers = HeaderMap::new();
    headers.insert(header::AUTHORIZATION, HeaderValue::from_str(value).unwrap());
    assert_eq!(has_secret(&headers, "s3cret"), accepted);
    assert!(!has_secret(&HeaderMap::new(), ""));
}
