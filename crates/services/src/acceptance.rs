types::identifier! {
    /// When the record that accepts a job must be durable.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Acceptance {
        /// Before any task of the job starts.
        BeforeStart,
        /// Soon after the job starts; only for idempotent kinds.
        #[default]
        Behind,
    }
}
