//! Least-squares line fitting.

use serde::{Deserialize, Serialize};

/// A least-squares line through measured points.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LineFit {
    /// Slope of the line.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
    /// Intercept: the value at size zero.
    pub at_zero: f64,
    /// The first size whose residual exceeds a fifth of the largest value.
    pub bends_at: Option<f64>,
}

impl LineFit {
    /// Largest tolerated residual, as a fraction of the largest value.
    const TOLERANCE: f64 = 0.2;

    /// Fits a line to points of size and value.
    pub fn from_points(pairs: &[(f64, f64)]) -> Self {
        let count = pairs.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| pairs.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|pair| pair.0), mean(|pair| pair.1));
        let sum_xx: f64 = pairs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if pairs.len() < 2 || sum_xx == 0.0 {
            return Self::default();
        }
        let sum_xy: f64 = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let at_zero = mean_y - slope * mean_x;
        let residual = |x: f64, y: f64| (y - at_zero - slope * x).abs();
        let residual_sum: f64 = pairs.iter().map(|(x, y)| residual(*x, *y).powi(2)).sum();
        let largest = pairs.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let outlier = pairs
            .iter()
            .find(|(x, y)| residual(*x, *y) > Self::TOLERANCE * largest);
        Self {
            slope,
            error: (residual_sum / (count - 2.0).max(1.0) / sum_xx).sqrt(),
            at_zero,
            bends_at: outlier.map(|(x, _)| *x),
        }
    }
}

#[cfg(test)]
mod tests;
