types::settings! {
    /// Capacity of the upstreams of a service, from which rates and ideal response times are
    /// computed.
    #[derive(Copy)]
    pub struct ServiceCapacity {
        /// Slots of all upstreams together.
        pub slots: u32,
        /// Mean speed of the upstreams.
        #[serde(default = "default_speed")]
        pub mean_speed: f64,
        /// Round trip between caller and upstream in milliseconds.
        #[serde(default)]
        pub round_trip_ms: f64,
    }
}

fn default_speed() -> f64 {
    1.0
}

impl ServiceCapacity {
    /// Returns the work that can be done in a second, in seconds of nominal run time.
    pub(crate) fn work_per_s(&self) -> f64 {
        f64::from(self.slots) * self.mean_speed
    }

    /// Returns the ideal response time in milliseconds of a job that is alone at the upstreams:
    /// the longer of its longest task and its whole work divided by all slots.
    pub(crate) fn ideal_ms(&self, run_ms: &[f32]) -> f64 {
        let longest = run_ms.iter().copied().fold(0.0, f32::max);
        let spread = run_ms.iter().map(|ms| f64::from(*ms)).sum::<f64>() / f64::from(self.slots);
        f64::from(longest).max(spread) / self.mean_speed + self.round_trip_ms
    }
}
