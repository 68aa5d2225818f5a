//! Least-squares lines.

use serde::{Deserialize, Serialize};

/// A line through measured points.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LineFit {
    /// Growth for one more.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
    /// The value at size zero.
    pub at_zero: f64,
    /// The first size whose value lies off the line by more than a fifth, if there is one.
    pub bends_at: Option<f64>,
}

impl LineFit {
    /// How far off the line a value may lie, as a part of the largest value.
    const TOLERANCE: f64 = 0.2;

    /// Fits a line to pairs of size and value.
    pub fn of(pairs: &[(f64, f64)]) -> Self {
        let count = pairs.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| pairs.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|pair| pair.0), mean(|pair| pair.1));
        let spread: f64 = pairs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if pairs.len() < 2 || spread == 0.0 {
            return Self::default();
        }
        let product: f64 = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = product / spread;
        let at_zero = mean_y - slope * mean_x;
        let off = |x: f64, y: f64| (y - at_zero - slope * x).abs();
        let squares: f64 = pairs.iter().map(|(x, y)| off(*x, *y).powi(2)).sum();
        let largest = pairs.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let bend = pairs
            .iter()
            .find(|(x, y)| off(*x, *y) > Self::TOLERANCE * largest);
        Self {
            slope,
            error: (squares / (count - 2.0).max(1.0) / spread).sqrt(),
            at_zero,
            bends_at: bend.map(|(x, _)| *x),
        }
    }
}

#[cfg(test)]
mod tests;
