use crate::{HealthTracker, builder::builder};

const DEFAULT_MAX_EJECTED_PERCENT: u8 = 30;
const DEFAULT_EJECTION_US: u64 = 2_000_000;
const DEFAULT_MAX_EJECTION_US: u64 = 60_000_000;
const DEFAULT_RAMP_US: u64 = 5_000_000;
const DEFAULT_SLOW_FACTOR: u32 = 4;

builder! {
    /// Settings of [`HealthTracker`].
    pub struct HealthTrackerBuilder {
        /// Largest percentage of the pool that may be ejected at once; 30 by default.  Unless
        /// it is 0, one of two or more upstreams may always be ejected.
        max_ejected_percent: u8 = DEFAULT_MAX_EJECTED_PERCENT,
        /// Length of a first ejection in microseconds, which doubles with each further one;
        /// 2 s by default.
        ejection_us: u64 = DEFAULT_EJECTION_US,
        /// Longest ejection in microseconds, and the healthy time after which one recent
        /// ejection is forgotten; 60 s by default.
        max_ejection_us: u64 = DEFAULT_MAX_EJECTION_US,
        /// Time in microseconds over which an upstream in probation regains its full weight;
        /// 5 s by default.
        ramp_us: u64 = DEFAULT_RAMP_US,
        /// Multiple of the predicted run time beyond which a success counts as a bad outcome;
        /// 4 by default.
        slow_factor: u32 = DEFAULT_SLOW_FACTOR,
    }
}

impl HealthTrackerBuilder {
    /// Creates a tracker for an empty pool with these settings.
    pub fn build(self) -> HealthTracker {
        HealthTracker::with_settings(self)
    }
}
