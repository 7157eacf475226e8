use ports::Offset;

types::wire! {
    /// Body of a stream to which snapshots of the state are written from time to time, so
    /// that the state outlives the log's retention.
    #[serde(rename_all = "snake_case")]
    pub enum ChangeOrSnapshot<B, S> {
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
