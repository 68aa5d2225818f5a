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
