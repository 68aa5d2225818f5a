use super::*;

#[test]
fn grant_id_identifies_its_incarnation() {
    let id = GrantId::new(Incarnation(7), u32::MAX);
    assert!(id.is_issued_by(Incarnation(7)));
    assert!(!id.is_issued_by(Incarnation(8)));
}
