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

#[test]
fn a_flood_is_beyond_its_share_and_the_others_are_not() {
    let mut window = ShareWindow::default();
    window.tick(1_000, 4_000, 100.0);
    window.note_asked(1, 1_000);
    window.note_given(1, 400);
    window.note_asked(2, 50);
    window.note_given(2, 50);
    window.tick(3_000, 4_000, 100.0);
    assert!(window.level(1).is_beyond());
    assert!(window.level(1).times() > 2.0, "it had 400 of about 150");
    assert_eq!(window.level(2), ShareLevel::WITHIN);
    window.tick(5_000, 4_000, 100.0);
    window.tick(9_000, 4_000, 100.0);
    assert_eq!(window.level(1), ShareLevel::WITHIN, "the window has passed");
}

proptest! {
    /// Reports that are lost, doubled or come late lead to the same totals once one comes through.
    #[test]
    fn totals_survive_bad_delivery(
        steps in prop::collection::vec((0_u64..4, 0_u64..1_000, 0_usize..3), 1..100),
    ) {
        let mut sender = ShareWindow::default();
        let mut receiver = ShareWindow::default();
        let mut sent: Vec<Vec<ShareRow>> = Vec::new();
        for (workspace, units, delivery) in steps {
            sender.note_asked(workspace, units);
            sender.note_given(workspace, units / 2);
            sent.push(sender.rows());
            let index = match delivery {
                0 => sent.len() - 1,
                1 => 0,
                _ => sent.len() / 2,
            };
            receiver.merge(BoxKey(1), Incarnation(7), &sent[index]);
        }
        receiver.merge(BoxKey(1), Incarnation(7), &sender.rows());
        prop_assert_eq!(&receiver.total, &sender.own);
    }
}
