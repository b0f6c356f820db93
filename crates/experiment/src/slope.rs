//! Straight lines through measurements.

use serde::Serialize;

/// A line `intercept + slope * size` fitted by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size zero.
    pub intercept: f64,
    /// Added value for each unit of size.
    pub slope: f64,
    /// Largest distance of a measurement from the line, relative to the
    /// largest measurement.
    pub residual: f64,
}

impl Fit {
    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line through points of size and value.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    if count < 2.0 {
        return Fit::default();
    }
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(size, value)| (size - mean_size) * (value - mean_value))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|(size, _)| (size - mean_size).powi(2))
        .sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let intercept = mean_value - slope * mean_size;
    let line = Fit {
        intercept,
        slope,
        residual: 0.0,
    };
    let largest = points
        .iter()
        .map(|(_, value)| value.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let distance = points
        .iter()
        .map(|(size, value)| (value - line.at(*size)).abs());
    let residual = distance.fold(0.0, f64::max) / largest;
    Fit { residual, ..line }
}
