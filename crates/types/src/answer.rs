use crate::Payload;

crate::wire! {
    /// The answer of an upstream to one task.
    pub struct Answer {
        /// The upstream's JSON document.
        pub payload: Payload,
        /// Run time on the upstream in microseconds.
        pub run_us: u64,
    }
}
