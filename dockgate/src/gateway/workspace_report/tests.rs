use super::*;

/// A row is recorded by hand; its key stays in the process.
#[test]
fn a_row_of_a_workspace_is_written_as_recorded() {
    let counters = TallyRow {
        key: 9,
        workspace: "w".to_owned(),
        asked: 1,
        given: 2,
        beyond_share: 3,
        would_be_late: 4,
        no_processor: 5,
    };
    let row = WorkspaceReport {
        counters,
        times: 0.5,
        taken: 1.5,
    };
    let recorded = r#"{"workspace":"w","asked":1,"given":2,"beyond_share":3,"would_be_late":4,"no_processor":5,"times":0.5,"taken":1.5}"#;
    assert_eq!(serde_json::to_string(&row).unwrap(), recorded);
}
