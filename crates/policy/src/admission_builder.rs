use crate::{Admission, ClassFloors, builder::builder};

const DEFAULT_MAX_WAIT_US: u64 = 30_000_000;
const DEFAULT_MARGIN_PERCENT: u8 = 30;
const DEFAULT_MIN_RETRY_MS: u64 = 50;
const DEFAULT_MAX_RETRY_MS: u64 = 30_000;

builder! {
    /// Settings of [`Admission`].
    pub struct AdmissionBuilder {
        /// Floors of the urgency classes; the same as in the queue.
        floors: ClassFloors = ClassFloors::default(),
        /// Longest predicted wait in microseconds of an admitted job, whatever its deadline;
        /// 30 s by default.
        max_wait_us: u64 = DEFAULT_MAX_WAIT_US,
        /// Safety margin in percent that is added to a predicted wait; 30 by default.
        margin_percent: u8 = DEFAULT_MARGIN_PERCENT,
        /// Shortest advised delay of a retry in milliseconds; 50 by default.
        min_retry_ms: u64 = DEFAULT_MIN_RETRY_MS,
        /// Longest advised delay of a retry in milliseconds, before jitter of up to a half is
        /// added; 30 s by default.
        max_retry_ms: u64 = DEFAULT_MAX_RETRY_MS,
    }
}

impl AdmissionBuilder {
    /// Creates an [`Admission`] with these settings.
    pub fn build(self) -> Admission {
        Admission::with_settings(self)
    }
}
