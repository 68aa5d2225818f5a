use super::*;

#[test]
fn sums_are_told_once_and_only_where_something_was_refused() {
    let mut tally = ShareTally::default();
    tally.note_asked(1, "library", 300);
    tally.note(1, ShareOutcome::Given, 300);
    tally.note_asked(2, "council", 900);
    tally.note(2, ShareOutcome::Given, 400);
    tally.note(2, ShareOutcome::WouldBeLate, 500);
    tally.note_asked(3, "school", 1_000);
    tally.note(3, ShareOutcome::NoProcessor, 1_000);
    let rows = tally.take_refused();
    let names: Vec<&str> = rows.iter().map(|row| row.workspace.as_str()).collect();
    assert_eq!(names, ["school", "council"]);
    assert_eq!((rows[1].given, rows[1].would_be_late), (400, 500));
    assert!(tally.take_refused().is_empty());
}

#[test]
fn a_line_tells_of_few_workspaces() {
    let mut tally = ShareTally::default();
    for workspace in 0..50 {
        tally.note_asked(workspace, "some", workspace + 1);
        tally.note(workspace, ShareOutcome::BeyondShare, 1);
    }
    let rows = tally.take_refused();
    assert_eq!(rows.len(), 8);
    assert!(rows.iter().all(|row| row.asked > 40));
}

#[test]
fn an_outcome_of_before_the_last_look_is_not_counted_alone() {
    let mut tally = ShareTally::default();
    tally.note(1, ShareOutcome::BeyondShare, 10);
    assert!(tally.take_refused().is_empty());
}
