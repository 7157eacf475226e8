use ports::Offset;

types::wire! {
    /// Body of a stream whose state is recorded from time to time, so that it outlives
    /// the log's retention.
    #[serde(rename_all = "snake_case")]
    pub enum Snapshotted<B, S> {
        /// A change of the state.
        Change(B),
        /// The state after every record before `next`.
        Snapshot {
            /// Offset of the first record that the state does not include.
            next: Offset,
            /// The state.
            state: S,
        },
    }
}
