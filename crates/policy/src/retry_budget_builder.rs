use crate::{RetryBudget, builder::builder};

const DEFAULT_PERCENT: u32 = 10;
const DEFAULT_FLOOR_PER_SECOND: u32 = 1;
const DEFAULT_MAX_RETRIES: u32 = 500;

builder! {
    /// Settings of a [`RetryBudget`].
    pub struct RetryBudgetBuilder {
        /// Retries earned by 100 successes; 10 by default.
        percent: u32 = DEFAULT_PERCENT,
        /// Retries per second that are allowed without any success; 1 by default.
        floor_per_second: u32 = DEFAULT_FLOOR_PER_SECOND,
        /// Most retries that can be saved up; 500 by default.
        max_retries: u32 = DEFAULT_MAX_RETRIES,
    }
}

impl RetryBudgetBuilder {
    /// Creates a budget with these settings; the floor counts from `now_us` on.
    pub fn build(self, now_us: u64) -> RetryBudget {
        RetryBudget::with_settings(self, now_us)
    }
}
