use hdrhistogram::Histogram;

/// Factor from reported values to the integers that the histogram records.
const RESOLUTION: f64 = 1_000.0;
const MAX_RECORDED: u64 = 10_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

types::wire! {
    /// Summary of a distribution.
    #[derive(Copy, Default)]
    pub struct Distribution {
        /// Number of values.
        pub count: u64,
        /// Mean.
        pub mean: f64,
        /// Median.
        pub p50: f64,
        /// 90th percentile.
        pub p90: f64,
        /// 99th percentile.
        pub p99: f64,
        /// Largest value.
        pub max: f64,
    }
}

/// A histogram with three significant digits and a resolution of a thousandth of the unit.
#[derive(Debug)]
pub(crate) struct ValueHistogram(Histogram<u64>);

impl ValueHistogram {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }

    pub(crate) fn record(&mut self, value: f64) {
        self.0.saturating_record((value * RESOLUTION).round() as u64);
    }

    pub(crate) fn summary(&self) -> Distribution {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / RESOLUTION;
        Distribution {
            count: self.0.len(),
            mean: self.0.mean() / RESOLUTION,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: self.0.max() as f64 / RESOLUTION,
        }
    }
}
