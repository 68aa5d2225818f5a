use super::*;
use yare::parameterized;

/// Plays a domain in which no box is answered; returns the time in which each box has probed once,
/// and the number of probes in the ten seconds after that.
fn play(live: usize) -> (u64, usize) {
    let mut searches = vec![StoreSearch::default(); live];
    let mut due_ms = vec![0; live];
    let mut probed = vec![false; live];
    let mut state = 7_u64;
    let mut draw = || {
        state = crate::gateway::name_hash(&state.to_string());
        (state % 10_000) as f64 / 10_000.0
    };
    let (mut wave_ms, mut later) = (0, 0);
    for now_ms in (0..13_000).step_by(10) {
        for index in 0..live {
            if due_ms[index] > now_ms {
                continue;
            }
            due_ms[index] = match searches[index].turn(index, live, draw(), now_ms) {
                StandbyTurn::WaitMs(wait_ms) => now_ms + wait_ms,
                StandbyTurn::Probe => {
                    wave_ms = if probed[index] { wave_ms } else { now_ms };
                    probed[index] = true;
                    later += usize::from(now_ms >= 3_000);
                    now_ms + 1_000
                }
            };
        }
    }
    assert!(probed.iter().all(|probed| *probed), "every box has probed");
    (wave_ms, later)
}

/// The limits follow from the bound of three seconds within which boxes learn of changes, and from
/// sixteen probes a second, of which half are drawn.
#[parameterized(
    small = { 8 },
    domain_of_a_large_fleet = { 200 },
    twice_that = { 400 },
    a_thousand = { 1_000 },
)]
fn each_box_probes_soon_and_few_do_later(live: usize) {
    let (wave_ms, later) = play(live);
    assert!(wave_ms <= 2_300, "{wave_ms} ms until each box has probed");
    assert!(later <= 10 * 2 * 16, "{later} probes in ten seconds");
}

#[test]
fn a_new_search_begins_a_new_wave() {
    let mut search = StoreSearch::default();
    assert_eq!(search.turn(90, 200, 0.9, 9_000), StandbyTurn::WaitMs(1_366));
    assert_eq!(search.turn(90, 200, 0.9, 11_000), StandbyTurn::Probe);
    assert_eq!(
        search.turn(90, 200, 0.9, 12_000),
        StandbyTurn::WaitMs(1_000)
    );
    search.restart(20_000);
    assert_eq!(
        search.turn(90, 200, 0.9, 20_000),
        StandbyTurn::WaitMs(1_366)
    );
}
