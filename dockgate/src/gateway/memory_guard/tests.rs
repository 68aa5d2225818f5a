use super::*;
use crate::gateway::engine_placement::tests::state_with_engines;

/// Guards against bytes of a body without a declared length that stay counted for the rest of a
/// stream: its buffer is larger than the body.
#[tokio::test]
async fn release_of_a_body_includes_the_rest_of_its_buffer() {
    let state = state_with_engines(0).await;
    let use_bytes = || state.with_memory(|memory| memory.use_bytes());
    let before = use_bytes();
    let mut memory = MemoryGuard::request(&state, 1, 0).unwrap();
    // The buffer grew for two frames of 1,000 and 500 bytes.
    assert!(memory.try_grow(1_000) && memory.try_grow(1_000));
    memory.release_body();
    assert_eq!(use_bytes(), before + MemoryBudget::REQUEST_BYTES);
    drop(memory);
    assert_eq!(use_bytes(), before);
}

/// Guards against an answer that is cut, or counted beside a body that was given up for it.
#[tokio::test]
async fn body_given_up_for_an_answer_is_counted_once() {
    let state = state_with_engines(0).await;
    let use_bytes = || state.with_memory(|memory| memory.use_bytes());
    let before = use_bytes();
    let mut request = MemoryGuard::request(&state, 1, 1_000).unwrap();
    let key = AnswerKey {
        workspace: 1,
        service: 2,
    };
    let mut answer = AnswerGuard::unreserved(&state, key);
    assert_eq!(answer.try_grow(400), AnswerGrowth::Counted);
    answer.take_body_of(&mut request);
    assert_eq!(answer.try_grow(600), AnswerGrowth::Counted);
    let counted = MemoryBudget::REQUEST_BYTES + 1_000;
    assert_eq!(use_bytes(), before + counted);
    let bytes = answer.attach_to(Bytes::from_static(b"answer"), true);
    drop(request);
    assert_eq!(use_bytes(), before + 1_000);
    drop(bytes);
    assert_eq!(use_bytes(), before);
}
