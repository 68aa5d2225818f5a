use super::*;

#[test]
fn refused_workspaces_are_returned_once() {
    let mut tally = ShareTally::default();
    tally.record_request(1, "library", 300);
    tally.record_outcome(1, ShareOutcome::Begun, 300);
    tally.record_request(2, "council", 900);
    tally.record_outcome(2, ShareOutcome::Begun, 400);
    tally.record_outcome(2, ShareOutcome::WouldBeLate, 500);
    tally.record_request(3, "school", 1_000);
    tally.record_outcome(3, ShareOutcome::NoProcessor, 1_000);
    let rows = tally.take_refused();
    let names: Vec<&str> = rows.iter().map(|row| row.workspace.as_str()).collect();
    assert_eq!(names, ["school", "council"]);
    assert_eq!((rows[1].given, rows[1].would_be_late), (400, 500));
    assert!(tally.take_refused().is_empty());
}

#[test]
fn number_of_rows_is_bounded() {
    let mut tally = ShareTally::default();
    for workspace in 0..50 {
        tally.record_request(workspace, "some", workspace + 1);
        tally.record_outcome(workspace, ShareOutcome::BeyondShare, 1);
    }
    let rows = tally.take_refused();
    assert_eq!(rows.len(), 8);
    assert!(rows.iter().all(|row| row.asked > 40));
}

#[test]
fn outcomes_without_a_recorded_request_are_ignored() {
    let mut tally = ShareTally::default();
    tally.record_outcome(1, ShareOutcome::BeyondShare, 10);
    assert!(tally.take_refused().is_empty());
}

#[test]
fn prompts_that_begin_in_the_next_period_are_counted() {
    let mut tally = ShareTally::default();
    tally.record_request(1, "library", 300);
    tally.take_refused();
    tally.record_outcome(1, ShareOutcome::Begun, 300);
    tally.record_outcome(1, ShareOutcome::BeyondShare, 100);
    assert_eq!(tally.take_refused()[0].given, 300);
}
