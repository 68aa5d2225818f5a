use super::*;
use dockgate_core::parse_declaration;
use yare::parameterized;

fn config() -> FleetConfig {
    let text = "[pool chat]\nkind = engine\nmodels = small\n\
        [pool status]\nkind = service\n[kind quiz]\nrepeatable = no\n";
    let empty = FleetConfig::default();
    let declaration = parse_declaration("f", text).unwrap();
    empty.apply(&declaration.changes_from(&empty)).unwrap()
}

fn limits() -> LimitSettings {
    LimitSettings {
        connections: 1,
        body_bytes: 1,
        header_bytes: 1,
        header_timeout: Default::default(),
        body_timeout: Default::default(),
        queue_timeout: Default::default(),
        connect_timeout: Default::default(),
        answer_timeout: Default::default(),
        attempts: 1,
        stop_grace: Default::default(),
        stop_timeout: Default::default(),
    }
}

#[parameterized(
    root = { "/services/status", Some("/") },
    path = { "/services/status/a/b?c=d", Some("/a/b?c=d") },
    query = { "/services/status?c=d", Some("/?c=d") },
    unknown = { "/services/other/a", None },
    engine = { "/services/chat/a", None },
)]
fn service_path_is_mapped_to_endpoint_path(path: &str, expected: Option<&str>) {
    let (config, limits) = (config(), limits());
    let classifier = RequestClassifier::new(&config, &limits);
    let target = classifier.service_target(path).ok();
    assert_eq!(target.map(|target| target.path).as_deref(), expected);
}

#[parameterized(
    known = { r#"{"model":"small","stream":true}"#, None },
    unknown = { r#"{"model":"large"}"#, Some(RefusalCode::UnknownModel) },
    no_model = { "{}", Some(RefusalCode::BadRequest) },
    no_json = { "small", Some(RefusalCode::BadRequest) },
)]
fn chat_body_needs_known_model(body: &str, refused: Option<RefusalCode>) {
    let (config, limits) = (config(), limits());
    let classifier = RequestClassifier::new(&config, &limits);
    let target = classifier.chat_target(body.as_bytes());
    assert_eq!(target.err().map(|refusal| refusal.code), refused);
}

#[test]
fn repeatability_follows_the_request_kind() {
    let (config, limits) = (config(), limits());
    let classifier = RequestClassifier::new(&config, &limits);
    let mut headers = HeaderMap::new();
    assert!(classifier.repeatable(&headers).unwrap());
    headers.insert(headers::KIND, "quiz".parse().unwrap());
    assert!(!classifier.repeatable(&headers).unwrap());
    headers.insert(headers::KIND, "other".parse().unwrap());
    assert!(classifier.repeatable(&headers).is_err());
}
