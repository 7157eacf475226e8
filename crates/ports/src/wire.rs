types::wire! {
    /// Body of a request to renew a lease.
    pub struct RenewBody {
        /// Milliseconds from now after which the lease lapses.
        pub lease_ms: u64,
    }

    /// Body of a request to throttle a task.
    pub struct ThrottleBody {
        /// Percentage of the full speed; 0 pauses the task.
        pub percent: u8,
    }

    /// Body of an error response of the log, a worker or an executor.
    pub struct ErrorBody {
        /// Cause of the error.
        pub error: String,
        /// Whether it is guaranteed that the request had no effect.
        pub not_run: bool,
    }
}
