use types::Resources;

types::plain! {
    /// Size of a kind's tasks as declared by the operator; the initial estimate for learning.
    #[derive(Copy, Eq)]
    pub struct DeclaredSize {
        /// Run time in microseconds on an upstream of speed 1.
        pub run_us: u64,
        /// Resources of a task.
        pub resources: Resources,
    }
}
