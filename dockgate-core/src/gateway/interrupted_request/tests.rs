use super::InterruptedRequest;
use crate::gateway::SuspectKey;

#[test]
fn keys_are_distinct_and_begin_with_the_parts() {
    let shared = SuspectKey::of_part("model", 1);
    let request = SuspectKey::new([9; 16]);
    let interrupted = [
        InterruptedRequest {
            request,
            parts: vec![shared],
        },
        InterruptedRequest {
            request: SuspectKey::new([8; 16]),
            parts: vec![shared, SuspectKey::of_part("model", 2)],
        },
        InterruptedRequest::from(request),
    ];
    let keys = InterruptedRequest::keys(&interrupted);
    assert_eq!(keys.len(), 4);
    assert!(keys[..2].contains(&shared));
    assert_eq!(keys[3], request);
}
