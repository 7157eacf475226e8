types::plain! {
    /// Outcome of an attempt on an upstream.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The upstream answered.
        Success {
            /// Run time in microseconds.
            run_us: u64,
            /// Run time predicted for this upstream in microseconds; 0 if unknown.
            expected_us: u64,
        },
        /// The upstream failed the task.
        Failure,
        /// No answer arrived in time, or the connection was lost.
        NoAnswer,
    }
}

impl Outcome {
    /// Returns whether the outcome is bad, that is, counts against the upstream: a failure,
    /// no answer, or a success that took more than `slow_factor` times the predicted run
    /// time.
    pub(crate) fn is_bad(self, slow_factor: u32) -> bool {
        match self {
            Self::Success { run_us, expected_us } => {
                expected_us > 0 && run_us > expected_us.saturating_mul(slow_factor.into())
            }
            Self::Failure | Self::NoAnswer => true,
        }
    }
}
