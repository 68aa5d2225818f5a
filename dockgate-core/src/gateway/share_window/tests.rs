use super::*;
use proptest::prelude::*;
use yare::parameterized;

#[parameterized(
    enough = { &[10.0, 20.0], 40.0, f64::INFINITY },
    even = { &[50.0, 50.0], 40.0, 20.0 },
    small_first = { &[5.0, 100.0, 100.0], 65.0, 30.0 },
)]
fn the_level_is_max_min(asked: &[f64], capacity: f64, level: f64) {
    assert_eq!(max_min_level(asked, capacity), level);
}

const WINDOW_MS: u64 = 4_000;

fn window() -> ShareWindow {
    let mut window = ShareWindow::new(WINDOW_MS);
    window.tick(1_000, 100.0);
    window
}

#[test]
fn a_flood_is_beyond_its_share_and_the_others_are_not() {
    let mut window = window();
    window.note_asked(1, 1_000);
    window.note_given(1, 800);
    window.note_asked(2, 50);
    window.note_given(2, 50);
    window.tick(3_000, 100.0);
    assert!(window.level(1).is_beyond());
    assert!(window.level(1).times() > 1.9, "it had 800 of 350");
    assert_eq!(window.level(2), ShareLevel::WITHIN);
    window.tick(7_000, 100.0);
    window.tick(11_000, 100.0);
    assert_eq!(window.level(1), ShareLevel::WITHIN, "the window has passed");
}

#[test]
fn nobody_is_beyond_a_share_of_some_tenths_of_a_second() {
    let mut window = window();
    window.note_asked(1, 500);
    window.note_given(1, 300);
    window.tick(1_300, 100.0);
    assert!(!window.level(1).is_beyond(), "400 are owed in a window");
}

#[test]
fn a_box_that_has_just_begun_learns_a_whole_window_from_one_report() {
    let mut window = window();
    let row = ShareRow {
        workspace: 1,
        asked: 2_000,
        given: 1_000,
    };
    window.merge(BoxKey(1), &[row], 1_100);
    window.tick(1_300, 100.0);
    assert!(window.level(1).is_beyond());
    window.tick(3_200, 100.0);
    assert!(
        !window.level(1).is_beyond(),
        "a box that is not heard any more counts no longer"
    );
}

proptest! {
    /// Reports that are lost or doubled change nothing once one comes through.
    #[test]
    fn levels_survive_bad_delivery(
        steps in prop::collection::vec((0_u64..4, 0_u64..1_000, 0_usize..3), 1..100),
    ) {
        let (mut sender, mut receiver, mut direct) = (window(), window(), window());
        let mut sent: Vec<Vec<ShareRow>> = Vec::new();
        for (workspace, units, delivery) in steps {
            sender.note_asked(workspace, units);
            sender.note_given(workspace, units / 2);
            sent.push(sender.rows());
            let index = [sent.len() - 1, 0, sent.len() / 2][delivery];
            receiver.merge(BoxKey(1), &sent[index], 1_100);
        }
        receiver.merge(BoxKey(1), &sender.rows(), 1_200);
        direct.merge(BoxKey(1), &sender.rows(), 1_200);
        receiver.tick(1_300, 100.0);
        direct.tick(1_300, 100.0);
        prop_assert_eq!(&receiver.levels, &direct.levels);
        prop_assert_eq!(sender.rows().len(), sent.last().map_or(0, Vec::len));
    }
}
