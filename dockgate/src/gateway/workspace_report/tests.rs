use super::*;

/// Guards against renamed fields, and against a key in the output.
#[test]
fn reports_are_serialized_as_recorded() {
    let counters = TallyRow {
        key: 9,
        workspace: "w".to_owned(),
        asked: 1,
        given: 2,
        beyond_share: 3,
        would_be_late: 4,
        no_processor: 5,
    };
    let report = WorkspaceReport {
        counters,
        times: 0.5,
        taken: 1.5,
        allotment: Some(ShareAllotment {
            guaranteed_per_s: 6,
            fair_per_s: 7,
            fleet_requested_per_s: 8,
            fleet_fair_per_s: 9,
        }),
    };
    let recorded = r#"{"workspace":"w","asked":1,"given":2,"beyond_share":3,"would_be_late":4,"no_processor":5,"times":0.5,"taken":1.5,"guaranteed_per_s":6,"fair_per_s":7,"fleet_requested_per_s":8,"fleet_fair_per_s":9}"#;
    assert_eq!(serde_json::to_string(&report).unwrap(), recorded);
}
