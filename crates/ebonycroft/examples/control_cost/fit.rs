use std::fmt;

/// A least-squares line through measured points.
pub(crate) struct Fit {
    intercept: f64,
    slope: f64,
}

impl Fit {
    /// Fits a line to points `(x, y)`, of which at least two must differ in `x`.
    pub(crate) fn of(points: impl Iterator<Item = (f64, f64)>) -> Self {
        let points: Vec<_> = points.collect();
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        Self { intercept: mean_y - slope * mean_x, slope }
    }

    /// Returns the value of the line at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} + {:.4} * agents", self.intercept, self.slope)
    }
}
