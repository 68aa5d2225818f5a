use super::*;

#[test]
fn slope_intercept_and_first_outlier_are_computed() {
    let fit = LineFit::from_points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.at_zero - 3.0).abs() < 1e-9);
    assert!(fit.error < 1e-9 && fit.bends_at.is_none());
    let fit = LineFit::from_points(&[(1.0, 0.0), (2.0, 0.0), (3.0, 9.0)]);
    assert!(fit.bends_at.is_some());
}
