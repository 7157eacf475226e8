use serde_json::Value;
use types::Resources;

types::wire! {
    /// Options of the emulated run that every payload may contain beside the fields of its kind.
    pub(crate) struct RunOptions {
        /// Nominal run time in milliseconds.
        pub(crate) run_ms: Option<f64>,
        /// Resources that the run uses, when they differ from the declared ones.
        pub(crate) uses: Option<Resources>,
        /// A value that the answer repeats, together with the actual run time as `ran_ms`.
        pub(crate) echo: Option<Value>,
        /// Whether the task fails at the end of its run.
        #[serde(default)]
        pub(crate) fail: bool,
    }
}
