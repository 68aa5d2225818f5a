use super::*;

const BEYOND: ShareLevel = ShareLevel::new(1.2);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn returns_are_spread_and_never_later_than_callers_heed() {
    let early = return_time(ShareLevel::WITHIN, SECOND, 6 * SECOND, 0.0);
    let late = return_time(ShareLevel::WITHIN, SECOND, 6 * SECOND, 1.0);
    assert_eq!((early, late), (SECOND / 2, SECOND));
    let capped = return_time(BEYOND, SECOND, 2 * SECOND, 1.0);
    assert_eq!(capped, Duration::from_millis(600));
}

#[test]
fn a_workspace_beyond_its_share_comes_back_later() {
    let within = return_time(ShareLevel::WITHIN, SECOND / 10, 15 * SECOND, 0.5);
    let beyond = return_time(BEYOND, SECOND / 10, 15 * SECOND, 0.5);
    assert!(beyond > within);
}
