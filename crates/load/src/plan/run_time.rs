use rand::{RngExt, rngs::StdRng};

const PERCENT: f64 = 100.0;

types::settings! {
    /// Distribution of nominal run times: log-uniform between two bounds, with a tail that is
    /// log-uniform beyond the upper one.
    #[derive(Copy)]
    pub struct RunTime {
        /// Shortest run time in milliseconds.
        pub min_ms: f64,
        /// Longest run time outside the tail, in milliseconds.
        pub max_ms: f64,
        /// Percentage of tasks in the tail.
        #[serde(default)]
        pub tail_percent: f64,
        /// Longest run time in the tail, in milliseconds.
        #[serde(default)]
        pub tail_max_ms: f64,
    }
}

impl RunTime {
    pub(crate) fn mean_ms(self) -> f64 {
        let tail = self.tail_percent / PERCENT;
        let body_mean = log_uniform_mean(self.min_ms, self.max_ms);
        if tail == 0.0 {
            return body_mean;
        }
        (1.0 - tail) * body_mean + tail * log_uniform_mean(self.max_ms, self.tail_max_ms)
    }

    pub(crate) fn draw_ms(self, rng: &mut StdRng) -> f64 {
        let is_tail = rng.random::<f64>() * PERCENT < self.tail_percent;
        let (min, max) =
            if is_tail { (self.max_ms, self.tail_max_ms) } else { (self.min_ms, self.max_ms) };
        min * (max / min).powf(rng.random())
    }
}

fn log_uniform_mean(min: f64, max: f64) -> f64 {
    if max <= min { min } else { (max - min) / (max / min).ln() }
}
