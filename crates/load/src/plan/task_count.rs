use rand::{RngExt, rngs::StdRng};

types::settings! {
    /// Number of tasks in a job, uniformly distributed between two bounds.
    #[derive(Copy, Eq)]
    pub struct TaskCount {
        /// Fewest tasks.
        pub min: u32,
        /// Most tasks.
        pub max: u32,
    }
}

impl Default for TaskCount {
    fn default() -> Self {
        Self { min: 1, max: 1 }
    }
}

impl TaskCount {
    pub(crate) fn mean(self) -> f64 {
        f64::midpoint(f64::from(self.min), f64::from(self.max))
    }

    pub(crate) fn draw(self, rng: &mut StdRng) -> u32 {
        rng.random_range(self.min..=self.max)
    }
}
