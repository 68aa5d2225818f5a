use super::*;

#[test]
fn removing_a_box_moves_only_its_own_endpoints() {
    let boxes: Vec<BoxKey> = (0..8).map(BoxKey).collect();
    let remaining = &boxes[..7];
    for endpoint in (0..200).map(EndpointKey) {
        let before = owner_of(endpoint, &boxes);
        let after = owner_of(endpoint, remaining);
        assert!(before == after || before == Some(BoxKey(7)));
    }
}
