use serde_json::Value;

types::settings! {
    /// Injection of faults into an emulated server at one instant.
    pub struct FaultStep {
        /// Seconds from the start of the run.
        pub at_s: f64,
        /// Base URL of the emulated server.
        pub url: String,
        /// The faults, as the body of the server's `POST /faults`.
        pub set: Value,
    }
}
