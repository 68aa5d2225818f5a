use super::*;

fn points(levels: &[(f64, bool)]) -> BTreeMap<String, ServicePoint> {
    let named = levels
        .iter()
        .enumerate()
        .map(|(index, (level, backlogged))| {
            let point = ServicePoint {
                level: *level,
                backlogged: *backlogged,
            };
            (index.to_string(), point)
        });
    named.collect()
}

#[test]
fn gap_covers_periods_in_which_both_workspaces_are_backlogged() {
    let mut meter = GapMeter::default();
    meter.add(points(&[(0.0, true), (100.0, true)]), 1.0);
    meter.add(points(&[(10.0, true), (110.0, true)]), 1.0);
    assert_eq!(meter.worst_level(), 0.0);
    meter.add(points(&[(20.0, true), (115.0, true)]), 1.0);
    assert_eq!(meter.worst_level(), 5.0);
    meter.add(points(&[(90.0, true), (115.0, false)]), 1.0);
    meter.add(points(&[(95.0, true), (115.0, true)]), 1.0);
    assert_eq!(
        meter.worst_level(),
        5.0,
        "an idle period is not part of the gap"
    );
}

#[test]
fn gap_in_seconds_is_relative_to_the_fair_rate() {
    let mut meter = GapMeter::default();
    meter.add(points(&[(0.0, true), (0.0, true)]), 1.0);
    meter.add(points(&[(12.0, true), (8.0, true)]), 1.0);
    assert_eq!(meter.fair_rate(), 10.0);
    assert_eq!(meter.worst_seconds(), 0.4);
}
